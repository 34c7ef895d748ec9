/// @file
/// Behaviour of the agents of a simulated world: they run tasks, execute commands and enforce their
/// leases. Owns no agent.
#pragma once

#include "core/model/actions.hpp"
#include "simulation/agent_fleet.hpp"

namespace violetpulley::core::simulated {

/// Runs the tasks of all machines.
class AgentRunner {
 public:
  AgentRunner(Environment& environment, const AgentFleet& fleet, JobFacts& facts)
      : environment_(environment), fleet_(fleet), facts_(facts) {}

  /// Makes the run times of arrays of two or three tasks differ widely: the first task runs short,
  /// the last one longer than the cancellation time.
  void enable_uneven_run_times() { uneven_run_times_ = true; }
  /// Executes a command.
  void execute(SimulatedAgent& agent, const Command& command);
  /// Advances the machine by one step. Returns true if the agent sends a periodic heartbeat now.
  bool step(SimulatedAgent& agent);

 private:
  using TaskAttempt = std::pair<TaskKey, Attempt>;

  void start(SimulatedAgent& agent, const Command& command);
  void stop(const Command& command, AgentTask& task);
  /// Records the stop of a running gang task, and whether the task writes a checkpoint.
  void record_gang_stop(const Command& command, bool checkpoints);
  void enforce_lease(SimulatedAgent& agent);
  /// Returns true if the state of the task has changed.
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
