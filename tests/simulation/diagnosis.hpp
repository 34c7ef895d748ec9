/// @file
/// Texts that describe a simulated world in the messages of failed checks. Stateless.
#pragma once

#include <iosfwd>

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Describes the true state of machines and tasks and the state that the leader knows.
class Diagnosis {
 public:
  Diagnosis(const Environment& environment, const Store& store, const Leaders& leaders,
            const AgentFleet& fleet, const JobFacts& facts)
      : environment_(environment), store_(store), leaders_(leaders), fleet_(fleet), facts_(facts) {}

  /// Describes a machine and the leader's state of it.
  std::string describe(const SimulatedAgent& agent) const;
  /// Describes the live tasks of a team and their machines.
  std::string describe_team(const std::string& team) const;
  /// Describes a waiting task, the leader's state of it, and the machines that could run it.
  std::string describe_waiting(const TaskKey& key, const ZoneCounts& zones) const;
  /// Describes the unfinished jobs; begins with the leader's summary.
  std::string describe_jobs() const;

 private:
  double seconds_since(TimePoint then) const;
  void describe_leader(std::ostream& text) const;
  void describe_known_machine(std::ostream& text, const Machine& machine) const;
  void describe_team_task(std::ostream& text, const TaskKey& key, Attempt attempt) const;
  void describe_known_task(std::ostream& text, const Job& job, const TaskKey& key) const;
  void describe_waiting_jobs(std::ostream& text, const std::string& team) const;
  void describe_counted_tasks(std::ostream& text, const std::string& team) const;
  void describe_counted_task(std::ostream& text, const Machine& machine, const TaskKey& key,
                             const Assignment& assignment) const;
  bool is_live(const MachineId& id, const TaskKey& key, Attempt attempt) const;
  void describe_candidate(std::ostream& text, const SimulatedAgent& agent, const Job& job) const;

  const Environment& environment_;
  const Store& store_;
  const Leaders& leaders_;
  const AgentFleet& fleet_;
  const JobFacts& facts_;
};

}  // namespace violetpulley::core::simulated
