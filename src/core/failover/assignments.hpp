/// @file
/// Begins and ends assignments, and keeps the tasks of jobs consistent with them. When an
/// assignment ends, records how much run time the saved checkpoints cover, which a restart does not
/// repeat (PROTOCOL, "Gangs"). Owns no state; changes jobs and machines.
#pragma once

#include "core/dispatch/attempt_audit.hpp"
#include "core/failover/recovery.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/ended_attempts.hpp"

namespace violetpulley::core {

/// Returns the assignment of an attempt that is placed at `now`. `estimate`: expected run time from
/// the last checkpoint on.
Assignment assignment_of(const JobSpec& spec, Attempt attempt, Seconds estimate, TimePoint now);

/// Keeps the assignments of machines and the tasks of jobs consistent.
class Assignments {
 public:
  Assignments(Outbox& out, Fleet& fleet, Jobs& jobs, Recovery& recovery,
              EndedAttempts& ended_attempts, AttemptAudit& audit)
      : out_(out),
        fleet_(fleet),
        jobs_(jobs),
        recovery_(recovery),
        ended_attempts_(ended_attempts),
        audit_(audit) {}

  /// Marks the task as running since `now`. `job`: null if the job has ended.
  void mark_running(Assignment& assignment, Job* job, TimePoint now);
  /// Removes the assignment of a task that is no longer on the machine. The task keeps its phase in
  /// the job. `checkpoint_saved`: a checkpoint was saved when the task was stopped.
  void drop(Machine& machine, const TaskKey& key, TimePoint now, bool checkpoint_saved = false);
  /// Resets the assignment of a task that the machine has lost to the state before its start was
  /// answered: a delayed start command may run the task again under the same attempt.
  void reset_to_unreported(Machine& machine, const TaskKey& key, TimePoint now);
  /// Makes the task wait for another start. `proof`: why its former attempt cannot run any more.
  void requeue(const TaskKey& key, EndProof proof);
  /// Removes all assignments of a machine that has lost its tasks, and the machine's ended attempts
  /// that a delayed start could have run again; requeues the tasks of jobs that still need them.
  void requeue_all(Machine& machine, EndProof proof, TimePoint now);

 private:
  void record_saved_progress(Job& job, const TaskKey& key, const Assignment& assignment,
                             TimePoint now, bool checkpoint_saved);

  Outbox& out_;
  Fleet& fleet_;
  Jobs& jobs_;
  Recovery& recovery_;
  EndedAttempts& ended_attempts_;
  AttemptAudit& audit_;
};

}  // namespace violetpulley::core
