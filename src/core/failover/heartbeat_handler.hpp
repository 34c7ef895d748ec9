/// @file
/// Applies what agents report to machines, tasks and jobs: periodic heartbeats and the responses to
/// commands (PROTOCOL, "POST /agent/beat", "Delayed messages"; docs/design.md: a new leader
/// rebuilds its state from heartbeats). Owns no state; connects the parts that a heartbeat changes.
#pragma once

#include "core/failover/assignments.hpp"
#include "core/failover/reconciler.hpp"
#include "core/failover/task_exit_handler.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

/// Single entry point for heartbeats. Every effect of a heartbeat on the core happens here, in a
/// fixed order that recorded histories depend on.
class HeartbeatHandler {
 public:
  HeartbeatHandler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                   Fleet& fleet, FailureDetector& failure_detector, Jobs& jobs,
                   RunTimeEstimator& estimator, const DeadlineForecaster& forecaster,
                   Recovery& recovery, Reconciler& reconciler, MachineRegistry& registry,
                   CommandDispatcher& commands, Assignments& assignments, GangScheduler& gangs,
                   EndedAttempts& ended_attempts, FencingToken token)
      : out_(out),
        catalog_(catalog),
        fleet_(fleet),
        failure_detector_(failure_detector),
        jobs_(jobs),
        forecaster_(forecaster),
        recovery_(recovery),
        reconciler_(reconciler),
        registry_(registry),
        commands_(commands),
        assignments_(assignments),
        task_exits_(settings, out, fleet, jobs, estimator, assignments, gangs, ended_attempts),
        token_(token) {}

  /// Applies a periodic heartbeat. A heartbeat with a higher fencing token than ours ends this
  /// leader; a heartbeat that is not newer than the newest one of its machine changes nothing.
  void heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    handle(heartbeat, HeartbeatSource::periodic, now);
  }
  /// Applies the end of a command batch sent to the machine `id`. `response`: null if none came.
  void commands_answered(const MachineId& id, const Heartbeat* response, TimePoint now);

 private:
  void handle(const Heartbeat& heartbeat, HeartbeatSource source, TimePoint now);

  /// The machine with this id, added if it is unknown; null if it has been returned.
  Machine* find_or_add(const MachineId& id, TimePoint now);
  /// Whether a heartbeat that is as new or newer has been applied already.
  static bool is_stale(const Heartbeat& heartbeat, const Machine& machine);
  /// Takes over epoch and sequence; a grown epoch proves that all earlier tasks have ended.
  void update_epoch(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
  /// Takes over endpoint, type, zone and spot, and marks a machine as up at its first heartbeat.
  void update_identity(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
  /// The agent has answered under our fencing token, so its task list is complete.
  void confirm(Machine& machine, TimePoint now);
  /// The cloud reclaims the machine after `notice`: tasks that end later are stopped.
  void accept_reclaim_notice(Machine& machine, Seconds notice, TimePoint now);
  void remove_missing_tasks(Machine& machine, const std::vector<TaskStatus>& statuses,
                            TimePoint now);
  void remove_missing_task(Machine& machine, const TaskKey& key, TimePoint now);

  /// Applies one task status to its assignment.
  void update_assignment(Machine& machine, const TaskStatus& status, TimePoint now);
  /// A listed attempt without an assignment: adopted, recorded as done, or counted and left for a
  /// stop command.
  void reconcile_unassigned_task(Machine& machine, const TaskStatus& status, TimePoint now);
  /// Makes a task that an older leader started an assignment of this machine.
  void adopt_task(Machine& machine, Job& job, const TaskStatus& status, TimePoint now);

  void handle_missed_response(Machine& machine, TimePoint now);
  /// Decides whether and when commands that the response has not settled are sent.
  void schedule_next_commands(Machine& machine, bool was_confirmed, TimePoint now);

  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  FailureDetector& failure_detector_;
  Jobs& jobs_;
  const DeadlineForecaster& forecaster_;
  Recovery& recovery_;
  Reconciler& reconciler_;
  MachineRegistry& registry_;
  CommandDispatcher& commands_;
  Assignments& assignments_;
  TaskExitHandler task_exits_;
  FencingToken token_;
};

}  // namespace violetpulley::core
