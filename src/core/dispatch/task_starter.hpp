// The one place where starts are made: limits, types, zones and kinds are checked here, whatever
// chose the machine (docs/safety.md, "Limits and places"; PROTOCOL, "Rules"). Owns the counter of
// attempts.
#pragma once

#include "core/dispatch/command_dispatcher.hpp"
#include "core/failover/recovery.hpp"
#include "core/jobs/deadline_forecaster.hpp"
#include "core/jobs/jobs.hpp"

namespace violetpulley::core {

// How many tasks of a job a zone has.
using ZoneUse = std::map<std::string, TaskIndex>;

// Whether one more task may go to the zone, given where the others possibly are.
bool zone_allowed(const JobSpec& spec, const ZoneUse& use, const std::string& zone);

// How long a machine of that rate fetches the job's image.
Seconds fetch_time(const JobSpec& spec, double gb_per_s);

class TaskStarter {
 public:
  TaskStarter(const ControllerSettings& settings, const Catalog& catalog, Fleet& fleet, Jobs& jobs,
              CommandDispatcher& commands, const DeadlineForecaster& forecaster,
              const Recovery& recovery, FencingToken token)
      : settings_(settings),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        forecaster_(forecaster),
        recovery_(recovery),
        // Attempts come from the token and a counter, so no two leaders ever choose the same one.
        next_attempt_((token << 24U) + 1) {}

  Attempt next_attempt() { return next_attempt_++; }
  bool start(Job& job, TaskIndex index, Machine& machine, Attempt attempt, TimePoint now);

  // It may still be where an older leader started it.
  bool held(const Job& job, TaskIndex index) const { return recovery_.is_blocked(job, index); }
  // Tasks that wait and are not held up.
  TaskIndex startable(const Job& job) const {
    return static_cast<TaskIndex>(job.waiting.size() - recovery_.blocked_tasks(job));
  }
  bool placeable(const Machine& machine, TimePoint now) const;
  bool within_limit(const JobSpec& spec) const { return within_limit(spec, 1); }
  bool within_limit(const JobSpec& spec, std::size_t tasks) const;
  // What a team may still use; unknown teams may use nothing.
  std::optional<Resources> quota_left(const std::string& team) const;
  // Where every task of the job possibly is, for same_zone and spread; empty for other jobs.
  ZoneUse zone_use(const Job& job) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.next_attempt_);
  }

 private:
  const ControllerSettings& settings_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  const DeadlineForecaster& forecaster_;
  const Recovery& recovery_;
  Attempt next_attempt_;
};

}  // namespace violetpulley::core
