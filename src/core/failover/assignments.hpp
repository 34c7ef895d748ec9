/// @file
/// Ends assignments: what the end of a task on a machine changes in its job, and how much of its
/// run time a restart need not repeat (PROTOCOL, "Gangs", for what checkpoints are worth). Owns no
/// state; connects jobs and machines.
#pragma once

#include "core/failover/recovery.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/ended_attempts.hpp"

namespace violetpulley::core {

/// The assignment of an attempt that is placed at `now`. `estimate`: expected run time from its
/// last checkpoint on.
Assignment assignment_of(const JobSpec& spec, Attempt attempt, Seconds estimate, TimePoint now);

/// Keeps the assignments of machines and the tasks of jobs consistent.
class Assignments {
 public:
  Assignments(Outbox& out, Fleet& fleet, Jobs& jobs, Recovery& recovery,
              EndedAttempts& ended_attempts)
      : out_(out),
        fleet_(fleet),
        jobs_(jobs),
        recovery_(recovery),
        ended_attempts_(ended_attempts) {}

  /// Marks the task as running since `now`. `job`: null if it has ended.
  void mark_running(Assignment& assignment, Job* job, TimePoint now);
  /// Removes the assignment: nothing of it is on the machine any more. The task of the job keeps
  /// its phase. `checkpoint_saved`: its progress was saved when it was stopped.
  void drop(Machine& machine, const TaskKey& key, TimePoint now, bool checkpoint_saved = false);
  /// Makes a running task one whose start is unanswered: the machine has lost the task, and a
  /// delayed start command may bring it back under the same attempt.
  void reset_to_unseen(Machine& machine, const TaskKey& key, TimePoint now);
  /// Makes the task wait for another start. Its former attempt is proven to have ended.
  void requeue(const TaskKey& key);
  /// Removes all assignments of a machine that has lost its tasks, and its ended attempts that a
  /// delayed start might have run again; requeues the tasks that are still needed.
  void requeue_all(Machine& machine, TimePoint now);

 private:
  void record_saved_progress(Job& job, const TaskKey& key, const Assignment& assignment,
                             TimePoint now, bool checkpoint_saved);

  Outbox& out_;
  Fleet& fleet_;
  Jobs& jobs_;
  Recovery& recovery_;
  EndedAttempts& ended_attempts_;
};

}  // namespace violetpulley::core
