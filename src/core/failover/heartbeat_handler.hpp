/// @file
/// Applies what agents report to machines, tasks and jobs: periodic heartbeats and the responses to
/// commands (PROTOCOL, "POST /agent/beat", "Delayed messages"; docs/design.md: a new leader
/// rebuilds its state from heartbeats). Owns no state; calls the modules that a heartbeat affects.
#pragma once

#include "core/failover/assignments.hpp"
#include "core/failover/reconciler.hpp"
#include "core/failover/task_exit_handler.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

/// Single entry point for heartbeats. All effects of a heartbeat on the core are applied here, in a
/// fixed order on which the replay of recorded histories depends.
class HeartbeatHandler {
 public:
  HeartbeatHandler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                   Fleet& fleet, FailureDetector& failure_detector, Jobs& jobs,
                   RunTimeEstimator& estimator, const DeadlineForecaster& forecaster,
                   Recovery& recovery, Reconciler& reconciler, MachineRegistry& registry,
                   CommandDispatcher& commands, Assignments& assignments, GangScheduler& gangs,
                   EndedAttempts& ended_attempts, MachineTokens& tokens, AttemptAudit& audit,
                   FencingToken token)
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
        ended_attempts_(ended_attempts),
        tokens_(tokens),
        audit_(audit),
        task_exits_(settings, out, fleet, jobs, estimator, assignments, gangs, ended_attempts,
                    tokens, audit),
        token_(token) {}

  /// Applies a periodic heartbeat. A fencing token of a later leader makes this leader resign; a
  /// heartbeat that is not newer than the newest heartbeat of its machine changes nothing.
  void heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    handle(heartbeat, HeartbeatSource::periodic, now);
  }
  /// Applies the outcome of a command batch sent to the machine `id`. `response`: null if the batch
  /// was not answered.
  void commands_answered(const MachineId& id, const Heartbeat* response, TimePoint now);

 private:
  void handle(const Heartbeat& heartbeat, HeartbeatSource source, TimePoint now);

  /// The machine with this id, which is added if it is unknown; null if the machine was returned.
  Machine* find_or_add(const MachineId& id, TimePoint now);
  /// Whether a heartbeat with the same or a higher number has already been applied.
  static bool is_stale(const Heartbeat& heartbeat, const Machine& machine);
  /// Stores epoch and sequence; a higher epoch proves that all tasks of earlier epochs have ended.
  void update_epoch(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
  /// Stores endpoint, type, zone and spot, and marks the machine as up at its first heartbeat.
  void update_identity(Machine& machine, const Heartbeat& heartbeat, TimePoint now);
  /// Marks the machine as confirmed: its agent has answered under our fencing token, so the agent
  /// refuses commands of former leaders and its task list is complete.
  void confirm(Machine& machine, TimePoint now);
  /// Stops the tasks that would still run when the cloud reclaims the machine after `notice`.
  void accept_reclaim_notice(Machine& machine, Seconds notice, TimePoint now);
  void remove_missing_tasks(Machine& machine, const std::vector<TaskStatus>& statuses,
                            TimePoint now);
  void remove_missing_task(Machine& machine, const TaskKey& key, TimePoint now);
  /// Whether the task is done, or its job has completed.
  bool is_done(const TaskKey& key) const;

  /// Stores the token that the agent has seen; a lower one than before is sent again.
  void record_token(Machine& machine, const Heartbeat& heartbeat);
  /// Releases the ended attempts of which no copy can run any more: the agent has seen a higher
  /// token and does not run them.
  void release_fenced_attempts(Machine& machine);
  /// Requests a higher token for attempts that the agent has forgotten before they were fenced.
  void fence_forgotten_attempts(const Machine& machine, TimePoint now);

  /// Applies the task list. `is_list_trusted`: false if only its exits may be applied.
  void apply_statuses(Machine& machine, const std::vector<TaskStatus>& statuses,
                      bool is_list_trusted, TimePoint now);
  /// Applies one task status to its assignment. Adds the task to `copies` if the listed attempt is
  /// left without an assignment.
  void update_assignment(Machine& machine, const TaskStatus& status,
                         UnassignedCopies::OfMachine& copies, TimePoint now);
  /// Handles a listed attempt without an assignment: adopts the task or records it as done. If the
  /// task is done, assigned elsewhere or unknown, counts the difference, adds the task to `copies`
  /// and leaves the attempt to a stop command.
  void reconcile_unassigned_task(Machine& machine, const TaskStatus& status,
                                 UnassignedCopies::OfMachine& copies, TimePoint now);
  /// Records a task as done that has exited without an assignment. If the task is assigned
  /// elsewhere, adds it to `copies`: the agent lists the exit until the completion is recorded.
  void reconcile_exited_task(Job& job, const TaskStatus& status,
                             UnassignedCopies::OfMachine& copies, TimePoint now);
  /// Creates the assignment of a task that a former leader started on this machine.
  void adopt_task(Machine& machine, Job& job, const TaskStatus& status, TimePoint now);

  void handle_missed_response(Machine& machine, TimePoint now);
  /// Schedules another batch if commands are still pending after the response.
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
  EndedAttempts& ended_attempts_;
  MachineTokens& tokens_;
  AttemptAudit& audit_;
  TaskExitHandler task_exits_;
  FencingToken token_;
};

}  // namespace violetpulley::core
