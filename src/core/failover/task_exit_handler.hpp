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
                  EndedAttempts& ended_attempts)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        estimator_(estimator),
        assignments_(assignments),
        gang_scheduler_(gangs),
        ended_attempts_(ended_attempts) {}

  /// Ends the assignment of a task that has exited on this machine. The assignment must exist.
  void handle(Machine& machine, const TaskStatus& status, TimePoint now);
  /// Records a task as done; a gang is done with its first task.
  void record_done(Job& job, TaskIndex index, TimePoint now);
  /// Ends the assignment of a task that is done and that the machine has lost although a delayed
  /// start may run it again.
  void handle_loss_of_done_task(Machine& machine, const TaskKey& key, TimePoint now);

 private:
  /// Records the ended attempt if a delayed start may run it again on its machine; returns whether
  /// it was recorded.
  bool record_if_in_doubt(const Machine& machine, const TaskKey& key, const Assignment& assignment,
                          EndedTask task, TimePoint now);
  /// Makes the task wait for another start, or holds it if a delayed start may run its ended
  /// attempt again.
  void requeue(Machine& machine, const TaskStatus& status, const Assignment& assignment, Job& job,
               TimePoint now);
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
};

}  // namespace violetpulley::core
