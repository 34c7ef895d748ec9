/// @file
/// A seeded simulation of the core with an in-memory store, cloud, agents and users. Faults:
/// crashes, failovers, partitioned leaders that keep running, delayed and repeated commands, lost
/// answers, late writes, hangs, expired leases, faulty machines and spot notices. All safety rules
/// are checked after each step. Owns all parts of the world.
#pragma once

#include "simulation/cloud.hpp"
#include "simulation/correlated_faults.hpp"
#include "simulation/gang_runner.hpp"
#include "simulation/liveness_checker.hpp"
#include "simulation/network.hpp"
#include "simulation/process_faults.hpp"
#include "simulation/production_faults.hpp"
#include "simulation/rule_checker.hpp"
#include "simulation/store_faults.hpp"
#include "simulation/store_writer.hpp"
#include "simulation/users.hpp"

namespace violetpulley::core::simulated {

/// One simulated world. Equal seeds and settings give equal worlds.
class World {
 public:
  explicit World(std::uint64_t seed);

  /// Runs the simulation for `length`, or until a check fails.
  void run(Seconds length);

  /// Adds the production faults (ProductionFaults).
  void enable_production_faults(std::uint64_t seed);
  /// Adds the production faults and the combined faults (StoreFaults, late writes, uneven run
  /// times).
  void enable_combined_faults(std::uint64_t seed);
  /// Adds the production, combined and correlated faults (CorrelatedFaults), and measures how long
  /// tasks wait beside free capacity after the last fault (LivenessChecker).
  void enable_correlated_faults(std::uint64_t seed);
  /// Stops the injection of faults.
  void end_faults() { environment_.end_faults(); }

  /// Passes the events and actions of the current leader to the observer, as a history records
  /// them. Ends the current leader, so that the next one is observed from its election on.
  void observe(Observer observer) { leaders_.observe(std::move(observer)); }
  /// Sets which leaders store the placements of gangs and services before they send the start
  /// commands.
  void set_commit_policy(CommitPolicy policy) { leaders_.set_commit_policy(policy); }
  /// Makes each leader hand its learned state over to the next one.
  void enable_learned_state_handover() { leaders_.enable_learned_state_handover(); }
  /// Stops the submission of jobs.
  void stop_submitting() { users_.stop_submitting(); }
  /// Cancels all services.
  void cancel_services() { users_.cancel_services(); }

  /// Expects that the leader knows every accepted job.
  void expect_all_jobs_known() const;
  /// Whether a fault of the state service is active.
  bool store_fault_active() const { return store_.fault_active(); }
  std::size_t open_jobs() const { return store_.jobs.size(); }
  std::size_t finished_jobs() const { return facts_.finished.size(); }
  /// Number of replicas of services that should run but do not.
  std::size_t missing_replicas() const;
  /// Describes the unfinished jobs, for messages.
  std::string describe_jobs() const { return diagnosis_.describe_jobs(); }

  /// Digest of all actions of all leaders. A change of the code that must not change any decision
  /// leaves the digest of a seed unchanged.
  std::uint64_t actions_digest() const { return leaders_.actions_digest(); }
  std::size_t gang_starts() const { return facts_.gang_starts; }
  /// How often the placements were marked as complete.
  std::size_t placement_marks() const { return writer_.placement_marks(); }
  const Network& network() const { return network_; }
  const ProductionFaults& production_faults() const { return production_faults_; }
  const StoreFaults& store_faults() const { return store_faults_; }
  const CorrelatedFaultCounts& correlated_faults() const { return correlated_faults_.counts(); }
  const RuleChecker& rules() const { return rules_; }
  const LivenessChecker& liveness() const { return liveness_; }

 private:
  void step();
  void inject_faults();
  void step_agents();
  void check();
  void execute(LeaderProcess& leader, FencingToken token, Action& action);

  Environment environment_;
  JobFacts facts_;
  Store store_{environment_};
  AgentFleet fleet_{environment_, facts_};
  Leaders leaders_{environment_, store_, fleet_};
  JobRegistry jobs_{environment_, store_, leaders_, facts_};
  StoreWriter writer_{environment_, store_, leaders_, jobs_, facts_};
  Cloud cloud_{environment_, fleet_, leaders_};
  AgentRunner agents_{environment_, fleet_, facts_};
  GangRunner gangs_{environment_, fleet_, facts_};
  Network network_{environment_, leaders_, fleet_, agents_};
  Users users_{environment_, store_, jobs_};
  ProcessFaults process_faults_{environment_, leaders_, fleet_};
  ProductionFaults production_faults_{environment_, leaders_, fleet_};
  StoreFaults store_faults_{environment_, store_, leaders_, jobs_};
  CorrelatedFaults correlated_faults_{environment_, store_, leaders_, jobs_, fleet_};
  Diagnosis diagnosis_{environment_, store_, leaders_, fleet_, facts_};
  RuleChecker rules_{environment_, facts_, diagnosis_};
  LivenessChecker liveness_{environment_, fleet_, store_, leaders_, facts_, diagnosis_};
  bool combined_faults_enabled_ = false;
  bool correlated_faults_enabled_ = false;
};

}  // namespace violetpulley::core::simulated
