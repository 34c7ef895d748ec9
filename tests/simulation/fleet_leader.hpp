/// @file
/// The leader of a fleet simulation. Owns its core, what the store holds, and the load on its
/// processor.
#pragma once

#include <functional>
#include <memory>

#include "simulation/fleet_agents.hpp"

namespace violetpulley::core::fleet_simulation {

/// Runs the core on a controller and carries its actions out.
class FleetLeader {
 public:
  FleetLeader(FleetEnvironment& environment, FleetNodes& nodes, FleetAgents& agents,
              const FleetConfig& config, FleetResult& result);

  /// Makes the controller the leader: a new core recovers from the store.
  void elect(std::size_t node);
  /// The leader's process ends; the statistics of its core are kept.
  void end();
  bool exists() const { return controller_ != nullptr; }
  /// The core; there must be a leader.
  Controller& controller() { return *controller_; }
  FencingToken token() const { return token_; }
  /// One step, if the processor has come to the end of its work.
  void step();
  /// Calls `handle` once the processor has come to it, unless the leader has ended by then.
  void queue_event(FleetEnvironment::Callback handle);
  /// From here on the cloud returns no machines, or returns them again.
  void set_cloud_down(bool down) { cloud_down_ = down; }
  /// Takes the statistics of the core over into the outcome.
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
