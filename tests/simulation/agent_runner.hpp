/// @file
/// What the agents of a simulated world do on their machines: run tasks, obey commands, enforce
/// the lease. Owns no agent.
#pragma once

#include "core/model/actions.hpp"
#include "simulation/agent_fleet.hpp"

namespace violetpulley::core::simulated {

/// Runs the tasks of all machines.
class AgentRunner {
 public:
  AgentRunner(Environment& environment, const AgentFleet& fleet, JobFacts& facts)
      : environment_(environment), fleet_(fleet), facts_(facts) {}

  /// Lets the tasks of arrays of two or three end far apart, the last one after more than the
  /// cancellation time.
  void enable_uneven_run_times() { uneven_run_times_ = true; }
  /// Carries a command out.
  void execute(SimulatedAgent& agent, const Command& command);
  /// One step of the machine. True if the agent sends a periodic heartbeat now.
  bool step(SimulatedAgent& agent);

 private:
  using TaskAttempt = std::pair<TaskKey, Attempt>;

  void start(SimulatedAgent& agent, const Command& command);
  void stop(const Command& command, AgentTask& task);
  /// Counts a running task of a gang that is stopped.
  void record_gang_stop(const Command& command, bool checkpoints);
  void enforce_lease(SimulatedAgent& agent);
  /// True if the state of the task has changed.
  bool update_task(SimulatedAgent& agent, const TaskAttempt& key, AgentTask& task);
  void finish_checkpoint(const TaskAttempt& key, const JobSpec& spec, AgentTask& task);
  void begin(SimulatedAgent& agent, const TaskKey& key, const JobSpec& spec, AgentTask& task);
  Seconds draw_run_time(const TaskKey& key, const JobSpec& spec);
  double run_time_factor(const TaskKey& key, const JobSpec& spec) const;
  bool heartbeat_due(SimulatedAgent& agent);

  Environment& environment_;
  const AgentFleet& fleet_;
  JobFacts& facts_;
  bool uneven_run_times_ = false;
};

}  // namespace violetpulley::core::simulated
