/// @file
/// Lets large jobs start, too: the order of the queue favours small work, and a steady flow of it
/// would keep a large job waiting for ever (PROTOCOL, "How aims are counted": a class's largest
/// jobs are judged by themselves; docs/design.md, "Large jobs begin"). Owns the one machine that is
/// reserved for such a job; decides which jobs come before all others, with their first task only,
/// and which teams have to leave their quota to such a job.
#pragma once

#include <map>
#include <set>

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// Prioritizes jobs that have waited for too long without a start.
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

  /// Nothing of the job has started, and part of the time in which it should have is used up.
  bool starving(const Job& job, TimePoint now) const;
  /// How many starving jobs may come before all others in this round. The other starving jobs keep
  /// their usual position: where more jobs come than can ever start, first tasks alone would take
  /// all capacity, and no job would end (LargestJobs.AGangThatCannotFitHoldsNobodyUp).
  std::size_t prioritized_starts_allowed() const {
    return static_cast<std::size_t>(prioritized_starts_);
  }
  /// A task of the candidate was started: a prioritized start is used up, or a part of one earned.
  void note_start(const Candidate& candidate);

  /// Whether the job is one of its class's largest and still has tasks to start after that time:
  /// within its priority all of its tasks come before all others, the oldest such job first.
  bool all_tasks_prioritized(const Job& job, TimePoint now) const;

  /// Forgets the last round's blocked teams and finds the largest jobs of each class.
  void new_round();
  /// The round has passed a starving job. If it has not started because of its team's quota, what
  /// the team frees is kept for it.
  void reserve_quota_if_blocked(const Job& job, TimePoint now);
  /// Whether the candidate has to leave its team's quota to a starving job in this round.
  bool must_leave_quota(const Candidate& candidate) const {
    return !candidate.starving && blocked_teams_.contains(candidate.job->spec().team);
  }
  /// At the end of a round: reserves a machine for the first starving job that did not fit, until
  /// it has started.
  void reserve_machine(const std::vector<Candidate>& queue, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reserved_machine_, s.reserved_for_job_, s.prioritized_starts_, s.reserved_since_,
      s.no_reservation_before_, s.quota_reservations_);
  }

 private:
  /// Allowed before any start has earned one.
  static constexpr double kInitialPrioritizedStarts = 4;

  /// A team's quota that is left to a starving job.
  struct QuotaReservation {
    TimePoint since{};
    TimePoint last{};

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.since, s.last);
    }
  };

  /// Whether the quota will suffice for the tasks once the team's other work has ended.
  bool quota_suffices_in_time(const Job& job, std::size_t tasks) const;
  /// Whether a reserved machine would let the starving job start.
  bool needs_machine(const Job& job, TimePoint now) const;
  bool reservation_is_valid(TimePoint now) const;
  void release_reservation();
  /// Ends the reservation if it is no longer valid or has lasted for too long.
  void review_reservation(TimePoint now);
  bool may_reserve(const Machine& machine, const Job& job, const ZoneUse& zones,
                   TimePoint now) const;
  /// The machine that has capacity for one of the job's tasks soonest, or null.
  Machine* soonest_free_machine(const Job& job, TimePoint now);
  /// When the ends of running tasks leave capacity for one of the job's tasks, if nothing else
  /// starts.
  Seconds time_until_capacity(const Machine& machine, const JobSpec& spec, TimePoint now) const;

  const ControllerSettings& settings_;
  Fleet& fleet_;
  const Jobs& jobs_;
  const TaskStarter& task_starter_;
  const DeadlineForecaster& forecaster_;
  const TaskBindings& bindings_;
  /// Starts before all other jobs that are allowed now, with fractions.
  double prioritized_starts_ = kInitialPrioritizedStarts;
  std::map<std::string, QuotaReservation> quota_reservations_;  // by team
  TimePoint reserved_since_{};
  TimePoint no_reservation_before_{};
  MachineId reserved_machine_;  // empty: none
  JobId reserved_for_job_;
  std::set<std::string> blocked_teams_;  // in this round
  /// How many tasks make a job one of its class's largest, by class, in this round.
  std::map<std::string, TaskIndex> largest_job_sizes_;
};

}  // namespace violetpulley::core
