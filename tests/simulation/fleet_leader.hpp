/// @file
/// The leader of a fleet simulation. Owns the leader's core and the contents of the store.
#pragma once

#include <functional>
#include <memory>

#include "simulation/fleet_agents.hpp"

namespace violetpulley::core::fleet_simulation {

/// Runs the core on a controller and executes its actions.
class FleetLeader {
 public:
  FleetLeader(FleetEnvironment& environment, FleetNodes& nodes, FleetAgents& agents,
              const FleetConfig& config, FleetResult& result);

  /// Makes the controller the leader. A new core recovers from the store.
  void elect(std::size_t node);
  /// Ends the leader's process, and copies the statistics of its core to the result.
  void end();
  bool exists() const { return controller_ != nullptr; }
  /// Returns the core. Requires `exists()`.
  Controller& controller() { return *controller_; }
  FencingToken token() const { return token_; }
  /// Advances the core by one step, unless the processor is still busy with earlier events.
  void step();
  /// Calls `handle` once the processor is free for the event. Drops the event if the leader has
  /// ended before that.
  void queue_event(FleetEnvironment::Callback handle);
  /// Sets whether the cloud fails all requests to return machines.
  void set_cloud_down(bool down) { cloud_down_ = down; }
  /// Copies the statistics of the core to the result.
  void copy_statistics();

 private:
  ControllerSettings make_settings() const;
  RecoveredState read_recovered_state() const;
  void submit_job();
  void count_command_batch();
  void deliver(FleetAgent& agent, const SendCommands& batch, FencingToken token);
  void commands_answered(const MachineId& id, FencingToken token, const Heartbeat* heartbeat);
  void return_machines(const std::vector<MachineId>& machines);

  void execute(const SendCommands& batch);
  void execute(const SaveMachine& save);
  void execute(const DeleteMachine& deletion);
  void execute(const SaveProgress& save);
  void execute(const FinishJob& finish);
  void execute(const ScaleOut& request);
  void execute(const ScaleIn& request);
  template <class Other>
  void execute(const Other&) {}

  FleetEnvironment& environment_;
  FleetNodes& nodes_;
  FleetAgents& agents_;
  const FleetConfig& config_;
  FleetResult& result_;
  std::unique_ptr<Controller> controller_;
  FencingToken token_ = 0;
  TimePoint elected_at_{};
  Revision revision_ = 0;
  std::map<MachineId, MachineRecord> machines_;
  std::map<JobId, JobRecord> jobs_;
  std::map<std::pair<JobId, TaskIndex>, ProgressRecord> progress_;  // by job and chunk
  std::map<std::int64_t, std::size_t> batches_by_second_;
  bool cloud_down_ = false;
};

}  // namespace violetpulley::core::fleet_simulation
