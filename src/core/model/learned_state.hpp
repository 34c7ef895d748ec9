/// @file
/// What a leader has learned and hands over to the next leader: estimates, checkpointed run time,
/// faulty machines, refused offerings, waiting times of jobs. These are hints: none of them states
/// which tasks a machine runs, and a wrong or missing hint costs time but violates no safety
/// property (docs/safety.md, "Learned state").
#pragma once

#include "core/jobs/run_time_estimator.hpp"

namespace violetpulley::core {

/// Run time of a task that is covered by a checkpoint, so that a restart does not repeat it.
struct CheckpointedRunTime {
  TaskIndex task = 0;
  Seconds checkpointed{0};
  friend bool operator==(const CheckpointedRunTime&, const CheckpointedRunTime&) = default;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.task, s.checkpointed);
  }
};

/// Hints on an unfinished job.
struct LearnedJob {
  JobId id;
  Seconds waited{0};  ///< Since a leader first saw the job.
  std::vector<CheckpointedRunTime> checkpointed;
  std::vector<MachineId> failed_on;
  int failures = 0;
  Seconds backoff{0};  ///< Remaining backoff after failures.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.waited, s.checkpointed, s.failed_on, s.failures, s.backoff);
  }
};

/// Hints on a machine on which tasks failed.
struct LearnedMachine {
  MachineId id;
  int errors = 0;
  std::vector<JobId> error_jobs;
  bool quarantined = false;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.errors, s.error_jobs, s.quarantined);
  }
};

/// An offering that the cloud refused and that is not requested until the cooldown has passed.
struct OfferingCooldown {
  OfferingKey offering;
  Seconds remaining{0};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.offering, s.remaining);
  }
};

/// All hints of a leader.
struct LearnedState {
  WallTime as_of{};  ///< When the hints were written.
  RunTimeEstimator estimates;
  std::vector<LearnedJob> jobs;
  std::vector<LearnedMachine> machines;
  std::vector<OfferingCooldown> cooldowns;

  bool empty() const {
    return estimates.empty() && jobs.empty() && machines.empty() && cooldowns.empty();
  }

  /// Time since the hints were written; zero if the time of day has stepped back.
  Seconds elapsed(WallTime now) const { return std::max(Seconds(0), Seconds(now - as_of)); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.as_of, s.estimates, s.jobs, s.machines, s.cooldowns);
  }
};

}  // namespace violetpulley::core
