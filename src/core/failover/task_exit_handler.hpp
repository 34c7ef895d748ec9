/// @file
/// Handles tasks that an agent reports as exited: records completions, requeues tasks that must run
/// again, and attributes failures to the job or to the machine. Owns no state; changes jobs and
/// machines.
#pragma once

#include "core/failover/assignments.hpp"
#include "core/scheduling/gang_scheduler.hpp"

namespace violetpulley::core {

/// Applies the exit cause of a task to its assignment, its job and its machine.
class TaskExitHandler {
 public:
  TaskExitHandler(const ControllerSettings& settings, Outbox& out, Fleet& fleet, Jobs& jobs,
                  RunTimeEstimator& estimator, Assignments& assignments, GangScheduler& gangs,
                  EndedAttempts& ended_attempts, const MachineTokens& tokens, AttemptAudit& audit)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        estimator_(estimator),
        assignments_(assignments),
        gang_scheduler_(gangs),
        ended_attempts_(ended_attempts),
        tokens_(tokens),
        audit_(audit) {}

  /// Ends the assignment of a task that has exited on this machine. The assignment must exist.
  void handle(Machine& machine, const TaskStatus& status, TimePoint now);
  /// Records a task as done; a gang is done with its first task.
  void record_done(Job& job, TaskIndex index, TimePoint now);
  /// Ends the assignment of a task that is done and that the machine has lost although a delayed
  /// start may run it again.
  void handle_loss_of_done_task(Machine& machine, const TaskKey& key, TimePoint now);
  /// Ends the assignment of a task that the machine has lost, and holds the task until no copy of
  /// its start can run it there.
  void handle_loss_of_unfenced_task(Machine& machine, const TaskKey& key, TimePoint now);

 private:
  /// Whether a copy of the attempt's start may run it on the machine if the agent forgets it.
  bool may_run_again(const Machine& machine, const Assignment& assignment) const;
  void record_ended(const Machine& machine, const TaskKey& key, const Assignment& assignment,
                    EndedTask task, TimePoint now);
  /// Records the end if a copy of the start may run the attempt again.
  void record_if_unfenced(const Machine& machine, const TaskKey& key, const Assignment& assignment,
                          EndedTask task, TimePoint now);
  /// Makes the task wait for another start, or holds it if a copy of its start may run its ended
  /// attempt again.
  void requeue(Machine& machine, const TaskKey& key, const Assignment& assignment, Job& job,
               TimePoint now);
  /// Whether no task of the job is on a machine or done.
  bool all_tasks_ended(const Job& job) const;
  void handle_exit_of_closed_job(const Machine& machine, const TaskKey& key,
                                 const Assignment& assignment, TimePoint now);
  void handle_completion(Machine& machine, const Assignment& assignment, Job& job, TaskIndex index,
                         TimePoint now);
  static void delay_restart(Job& job, TimePoint now);
  /// Attributes a failure to the job or to the machine, and backs off or quarantines accordingly.
  void handle_failure(Machine& machine, Job& job, TimePoint now);
  /// Marks the job, whose tasks have all failed on several machines, as suspected: it is retried
  /// with an increasing backoff.
  void suspect_job(Job& job, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  Fleet& fleet_;
  Jobs& jobs_;
  RunTimeEstimator& estimator_;
  Assignments& assignments_;
  GangScheduler& gang_scheduler_;
  EndedAttempts& ended_attempts_;
  const MachineTokens& tokens_;
  AttemptAudit& audit_;
};

}  // namespace violetpulley::core
