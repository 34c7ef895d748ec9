/// @file
/// Behaviour of the gangs of a simulated world. Owns no task.
#pragma once

#include <vector>

#include "simulation/agent_fleet.hpp"

namespace violetpulley::core::simulated {

/// Runs the attempts of gangs: their tasks start together, complete together, and exit some time
/// after one of them is missing.
class GangRunner {
 public:
  GangRunner(Environment& environment, AgentFleet& fleet, JobFacts& facts)
      : environment_(environment), fleet_(fleet), facts_(facts) {}

  /// Advances all gangs by one step.
  void step();

 private:
  using GangAttempt = std::pair<JobId, Attempt>;
  struct Member {
    SimulatedAgent* agent;
    AgentTask* task;
  };
  using Members = std::vector<Member>;

  std::map<GangAttempt, Members> collect_members();
  void step(const GangAttempt& name, Members& members);
  std::size_t count(const Members& members, TaskState state) const;
  void start(const GangAttempt& name, const JobSpec& spec, Members& members, GangRun& run);
  void update(const GangAttempt& name, const JobSpec& spec, Member& member, const GangRun& run);
  /// Marks the task as exited, unless its machine hangs.
  void end(Member& member, ExitCause cause);

  Environment& environment_;
  AgentFleet& fleet_;
  JobFacts& facts_;
};

}  // namespace violetpulley::core::simulated
