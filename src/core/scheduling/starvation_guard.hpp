// Large jobs begin, too: the order of the queue favours small work, and a steady flow of it would
// hold a large job up for ever (PROTOCOL, "How aims are counted": a class's largest jobs are judged
// by themselves; docs/design.md, "Large jobs begin"). Owns the one machine that is held for such a
// job; decides which jobs stand ahead of all others, with their first task only, and which teams
// have to leave their limit to one.
#pragma once

#include <map>
#include <set>

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

class StarvationGuard {
 public:
  StarvationGuard(const ControllerSettings& settings, Fleet& fleet, const Jobs& jobs,
                  const TaskStarter& starts, const DeadlineForecaster& forecaster,
                  const TaskBindings& bindings)
      : settings_(settings),
        fleet_(fleet),
        jobs_(jobs),
        task_starter_(starts),
        forecaster_(forecaster),
        bindings_(bindings) {}

  // Nothing of it has begun, and the time in which it should is partly used up.
  bool starving(const Job& job, TimePoint now) const;
  // How many jobs may stand ahead in this round. The others that are due have their place in the
  // usual order: where more jobs come than can ever begin, first tasks alone would take all room,
  // and none would end (LargestJobs.AGangThatCannotFitHoldsNobodyUp).
  std::size_t starts_allowed_ahead() const { return static_cast<std::size_t>(credit_); }
  void started(bool ahead);

  // One of its class's largest that still has tasks to start after that time: within its priority
  // it comes before all others, whole, the oldest first.
  bool prioritized_whole(const Job& job, TimePoint now) const;

  void new_round();
  // A job that is due was looked at and has not begun: where its team's limit is in the way, what
  // the team frees is kept for it.
  void note_not_started(const Job& job, TimePoint now);
  bool yields_quota(const Candidate& candidate) const {
    return !candidate.starving && blocked_teams_.contains(candidate.job->spec().team);
  }
  // At the end of a round: holds a machine for the first that found no room, until it has begun.
  void reserve_machine(const std::vector<Candidate>& queue, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reserved_machine_, s.reserved_for_job_, s.credit_, s.reserved_since_,
      s.no_reservation_before_, s.yielded_quotas_);
  }

 private:
  void release_reservation();
  bool fits_in_time(const Job& job, std::size_t tasks) const;
  bool waits(const Job& job, TimePoint now) const;
  Seconds time_until_capacity(const Machine& machine, const JobSpec& spec, TimePoint now) const;

  const ControllerSettings& settings_;
  Fleet& fleet_;
  const Jobs& jobs_;
  const TaskStarter& task_starter_;
  const DeadlineForecaster& forecaster_;
  const TaskBindings& bindings_;
  // A team's limit that is left to a due job: since when, and when last.
  struct YieldedQuota {
    TimePoint since{};
    TimePoint last{};

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.since, s.last);
    }
  };

  double credit_ = 4;  // starts ahead of others that are allowed now
  std::map<std::string, YieldedQuota> yielded_quotas_;  // by team
  TimePoint reserved_since_{};
  TimePoint no_reservation_before_{};  // nothing is held before
  MachineId reserved_machine_;
  JobId reserved_for_job_;
  std::set<std::string> blocked_teams_;       // in this round
  std::map<std::string, TaskIndex> largest_;  // by class: from how many tasks on, in this round
};

}  // namespace violetpulley::core
