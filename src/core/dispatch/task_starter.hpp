/// @file
/// Starts tasks on machines. All starts go through this module, which checks team limits, machine
/// types, zones and spot permission regardless of the part of the scheduler that chose the machine
/// (docs/safety.md, "Limits and places"; PROTOCOL, "Rules"). Owns the counter of attempts.
#pragma once

#include "core/dispatch/command_dispatcher.hpp"
#include "core/failover/recovery.hpp"
#include "core/jobs/deadline_forecaster.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/ended_attempts.hpp"

namespace violetpulley::core {

/// Number of tasks of a job by zone.
using ZoneUse = std::map<std::string, TaskIndex>;

/// Whether one more task may start in the zone. `use`: zones in which the job's other tasks are or
/// may be.
bool zone_allowed(const JobSpec& spec, const ZoneUse& use, const std::string& zone);

/// Time to fetch the job's image at this rate; zero if the rate is unknown.
Seconds fetch_time(const JobSpec& spec, double gb_per_s);

/// Checks whether tasks may start on machines, and starts them.
class TaskStarter {
 public:
  /// `token`: this leader's fencing token, from which its attempts are derived.
  TaskStarter(const ControllerSettings& settings, const Catalog& catalog, Fleet& fleet, Jobs& jobs,
              CommandDispatcher& commands, const DeadlineForecaster& forecaster,
              const Recovery& recovery, const EndedAttempts& ended_attempts,
              const MachineTokens& tokens, AttemptAudit& audit, FencingToken token)
      : settings_(settings),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        forecaster_(forecaster),
        recovery_(recovery),
        ended_attempts_(ended_attempts),
        tokens_(tokens),
        audit_(audit),
        next_attempt_((token << kAttemptCounterBits) + 1) {}

  /// A new attempt number, unique among the attempts of all leaders.
  Attempt next_attempt() { return next_attempt_++; }

  /// Assigns a waiting task to the machine and marks the machine due for commands. Returns false
  /// and changes nothing if a rule forbids the start.
  bool start(Job& job, TaskIndex index, Machine& machine, Attempt attempt, TimePoint now);

  /// Whether the task may still be running on a machine, so that it must not start.
  bool is_blocked(const Job& job, TaskIndex index) const {
    return recovery_.is_blocked(job, index);
  }

  /// Number of waiting tasks that are not blocked.
  TaskIndex startable_tasks(const Job& job) const {
    return static_cast<TaskIndex>(job.waiting.size() - recovery_.blocked_tasks(job));
  }

  /// Whether the machine accepts new tasks: it is up, confirmed, registered, responsive and not
  /// partitioned, and is neither being returned, drained or retired, nor quarantined, nor under a
  /// reclaim notice.
  bool accepts_new_tasks(const Machine& machine, TimePoint now) const;

  /// Whether one more task of the job fits its team's limit.
  bool within_limit(const JobSpec& spec) const { return within_limit(spec, 1); }
  /// Whether `tasks` more tasks of the job fit its team's limit. False for unknown teams.
  bool within_limit(const JobSpec& spec, std::size_t tasks) const;
  /// The same, not counting ended attempts that a delayed start may run again.
  bool within_limit_without_ended(const JobSpec& spec, std::size_t tasks) const;

  /// Resources that the team may still use; null for unknown teams.
  std::optional<Resources> remaining_quota(const std::string& team) const;

  /// The zones in which tasks of the job are or may be; empty unless the job has `same_zone` or
  /// `spread`.
  ZoneUse zone_use(const Job& job) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.next_attempt_);
  }

 private:
  // An attempt number is the fencing token followed by a counter of this many bits, so that numbers
  // of different leaders differ.
  static constexpr unsigned kAttemptCounterBits = 24;

  bool may_start(const Job& job, TaskIndex index, const Machine& machine, TimePoint now) const;
  bool fits_limit(const JobSpec& spec, std::size_t tasks, const Resources& use) const;
  /// Resources that the team uses or may use: its assignments, its ended attempts that a delayed
  /// start may run again, and resources whose use is unknown after a failover.
  Resources possible_use(const std::string& team) const;
  Assignment make_assignment(Job& job, TaskIndex index, const Machine& machine, Attempt attempt,
                             TimePoint now);

  const ControllerSettings& settings_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  const DeadlineForecaster& forecaster_;
  const Recovery& recovery_;
  const EndedAttempts& ended_attempts_;
  const MachineTokens& tokens_;
  AttemptAudit& audit_;
  Attempt next_attempt_;
};

}  // namespace violetpulley::core
