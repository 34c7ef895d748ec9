// What a leader has learned and hands to the next one: estimates, saved run time, faulty machines,
// refused types, how long jobs have waited. It is belief and never proof: nothing here says what is
// on a machine, and a wrong or missing belief costs time, never a rule (docs/safety.md, "Beliefs").
#pragma once

#include "core/jobs/run_time_estimator.hpp"

namespace violetpulley::core {

struct LearnedJob {
  JobId id;
  Seconds waited{0};  // since a leader first saw it
  std::vector<std::pair<TaskIndex, Seconds>> saved;
  std::vector<MachineId> failed_on;
  int failures = 0;
  Seconds pause{0};  // left of the pause after failures

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.waited, s.saved, s.failed_on, s.failures, s.pause);
  }
};

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

struct OfferingCooldown {
  OfferingKey option;
  Seconds left{0};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.option, s.left);
  }
};

struct LearnedState {
  WallTime as_of{};
  Estimator estimates;
  std::vector<LearnedJob> jobs;
  std::vector<LearnedMachine> machines;
  std::vector<OfferingCooldown> cooldowns;

  bool empty() const {
    return estimates.empty() && jobs.empty() && machines.empty() && cooldowns.empty();
  }
  // Since it was written; a time of day that stepped back gives none.
  Seconds elapsed(WallTime now) const { return std::max(Seconds(0), Seconds(now - as_of)); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.as_of, s.estimates, s.jobs, s.machines, s.cooldowns);
  }
};

}  // namespace violetpulley::core
