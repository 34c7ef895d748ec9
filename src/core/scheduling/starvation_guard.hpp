/// @file
/// Prevents starvation of large jobs: the order of the queue favours small jobs, so a steady flow
/// of these would keep a large job waiting indefinitely (PROTOCOL, "How aims are counted": the
/// largest jobs of a class are judged separately; docs/design.md, "Large jobs begin"). Decides
/// which jobs start their first task before all others, and reserves one machine and teams' quotas
/// for starving jobs. Owns these reservations and the number of prioritized starts that are
/// allowed.
#pragma once

#include <map>
#include <set>

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// Prioritizes jobs that have waited for too long without starting a task.
class StarvationGuard {
 public:
  StarvationGuard(const ControllerSettings& settings, Fleet& fleet, const Jobs& jobs,
                  const TaskStarter& task_starter, const DeadlineForecaster& forecaster,
                  const TaskBindings& bindings)
      : settings_(settings),
        fleet_(fleet),
        jobs_(jobs),
        task_starter_(task_starter),
        forecaster_(forecaster),
        bindings_(bindings) {}

  /// Whether no task of the job has started although a large part of the time within which the job
  /// must start (`begin_within`) has passed.
  bool starving(const Job& job, TimePoint now) const;
  /// How many starving jobs may come before all others in this round. The number is limited because
  /// under overload the first tasks of starving jobs would take all capacity, and no job would end.
  /// The other starving jobs keep their usual position.
  std::size_t prioritized_starts_allowed() const {
    return static_cast<std::size_t>(prioritized_starts_);
  }
  /// Updates the number of prioritized starts after a task of the candidate was started: a starving
  /// candidate uses one up, any other earns a fraction of one.
  void update_prioritized_starts(const Candidate& candidate);

  /// Whether all tasks of the job come first within its priority: it is one of the largest jobs of
  /// its class, and its age exceeds the age at which jobs start to count as starving. The oldest of
  /// these jobs goes first.
  bool all_tasks_prioritized(const Job& job, TimePoint now) const;

  /// Clears the blocked teams of the last round and finds the largest jobs of each class.
  void new_round();
  /// If the starving job could not start because of its team's quota, blocks the team's jobs that
  /// are not starving in this round, so that the quota that ending tasks free remains for this job.
  void reserve_quota_if_blocked(const Job& job, TimePoint now);
  /// Whether the candidate may not start in this round because its team's quota is reserved for a
  /// starving job.
  bool blocked_by_quota_reservation(const Candidate& candidate) const {
    return !candidate.starving && blocked_teams_.contains(candidate.job->spec().team);
  }
  /// Called at the end of a round: reserves a machine for the first starving job that did not fit,
  /// until the job has started or the reservation has expired.
  void reserve_machine(const std::vector<Candidate>& queue, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reserved_machine_, s.reserved_for_job_, s.prioritized_starts_, s.reserved_since_,
      s.no_reservation_before_, s.quota_reservations_);
  }

 private:
  /// Number of prioritized starts that are allowed initially.
  static constexpr double kInitialPrioritizedStarts = 4;

  /// A team's quota that is reserved for a starving job.
  struct QuotaReservation {
    TimePoint since{};         // start of the reservation
    TimePoint last_renewed{};  // last round in which it was in force

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.since, s.last_renewed);
    }
  };

  /// Whether the quota suffices for the tasks once all of the team's tasks with an expected end
  /// have ended.
  bool quota_suffices_in_time(const Job& job, std::size_t tasks) const;
  /// Whether the job is starving and only lacks a machine to start.
  bool needs_machine(const Job& job, TimePoint now) const;
  bool reservation_is_valid(TimePoint now) const;
  void release_reservation();
  /// Ends the reservation if it is no longer valid or has lasted for `kMaxReservationTime`.
  void expire_reservation(TimePoint now);
  bool may_reserve(const Machine& machine, const Job& job, const ZoneUse& zones,
                   TimePoint now) const;
  /// The machine that is expected to have capacity for one of the job's tasks first, or null.
  Machine* soonest_free_machine(const Job& job, TimePoint now);
  /// Time until the expected ends of running tasks leave capacity for one of the job's tasks, if no
  /// other task starts.
  Seconds time_until_capacity(const Machine& machine, const JobSpec& spec, TimePoint now) const;

  const ControllerSettings& settings_;
  Fleet& fleet_;
  const Jobs& jobs_;
  const TaskStarter& task_starter_;
  const DeadlineForecaster& forecaster_;
  const TaskBindings& bindings_;
  /// Number of prioritized starts that are allowed now; may be fractional.
  double prioritized_starts_ = kInitialPrioritizedStarts;
  std::map<std::string, QuotaReservation> quota_reservations_;  // by team
  TimePoint reserved_since_{};
  TimePoint no_reservation_before_{};
  MachineId reserved_machine_;  // empty if no machine is reserved
  JobId reserved_for_job_;
  std::set<std::string> blocked_teams_;  // teams with a reserved quota in this round
  /// By job class: the number of tasks from which on a job is one of the largest of its class in
  /// this round.
  std::map<std::string, TaskIndex> largest_job_sizes_;
};

}  // namespace violetpulley::core
