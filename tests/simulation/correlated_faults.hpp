/// @file
/// Faults that affect many machines, leaders or jobs at once (docs/combined-failures.md): outbound
/// partitions of one machine, of a zone or of all machines; zones partitioned in both directions;
/// no leader for longer than a lease; chains of failovers; cancelled jobs whose machines hang. Owns
/// the counts of these faults.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Number of injected faults of each kind.
struct CorrelatedFaultCounts {
  std::size_t outbound_partitions = 0;
  std::size_t zone_partitions = 0;
  std::size_t leaderless_periods = 0;
  std::size_t failover_chains = 0;
  std::size_t mass_cancellations = 0;
};

/// Injects the correlated faults.
class CorrelatedFaults {
 public:
  CorrelatedFaults(Environment& environment, const Store& store, Leaders& leaders,
                   JobRegistry& jobs, AgentFleet& fleet)
      : environment_(environment), store_(store), leaders_(leaders), jobs_(jobs), fleet_(fleet) {}

  /// Advances by one step: each fault begins with its probability.
  void step();
  const CorrelatedFaultCounts& counts() const { return counts_; }

 private:
  std::string draw_zone();
  void partition_outbound(SimulatedAgent& agent, Seconds length);
  void partition_many_outbound();
  void partition_zone();
  void cancel_many();
  std::vector<JobId> draw_jobs_to_cancel();
  void hang_machines_of(const std::vector<JobId>& jobs, Seconds length);
  void begin_failover_chain();
  void begin_leaderless_period();

  Environment& environment_;
  const Store& store_;
  Leaders& leaders_;
  JobRegistry& jobs_;
  AgentFleet& fleet_;
  CorrelatedFaultCounts counts_;
};

}  // namespace violetpulley::core::simulated
