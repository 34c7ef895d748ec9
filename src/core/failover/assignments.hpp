// Tasks that end on a machine: what that makes of the job, and what a restart need not repeat
// (PROTOCOL, "Gangs", for what saves are worth). Owns nothing; joins jobs and machines.
#pragma once

#include "core/failover/recovery.hpp"
#include "core/jobs/jobs.hpp"

namespace violetpulley::core {

// What a job's task is on a machine from `now` on; its estimate is of what is left.
Assignment assignment_of(const JobSpec& spec, Attempt attempt, Seconds estimate, TimePoint now);

class Assignments {
 public:
  Assignments(Outbox& out, Fleet& fleet, Jobs& jobs, Recovery& recovery)
      : out_(out), fleet_(fleet), jobs_(jobs), recovery_(recovery) {}

  // `job`: null if it has ended.
  void mark_running(Assignment& assignment, Job* job, TimePoint now);
  // `stored`: its progress was saved when it was stopped.
  void drop(Machine& machine, const TaskKey& key, TimePoint now, bool stored = false);
  // It is not there any more, and a start that was held may bring it back under this attempt.
  void unseen(Machine& machine, const TaskKey& key, TimePoint now);
  // The task is proven gone and must run again.
  void lost(const TaskKey& key);
  void lose_all(Machine& machine, TimePoint now);

 private:
  Outbox& out_;
  Fleet& fleet_;
  Jobs& jobs_;
  Recovery& recovery_;
};

}  // namespace violetpulley::core
