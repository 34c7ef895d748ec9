/// @file
/// The queue of a scheduling round: the jobs with tasks that may start, in the order in which they
/// are offered free capacity (docs/design.md, "Order of the queue"). Owns no state.
#pragma once

#include "core/model/catalog.hpp"
#include "core/scheduling/starvation_guard.hpp"

namespace violetpulley::core {

/// Builds the queue of each scheduling round.
class CandidateQueue {
 public:
  CandidateQueue(const Catalog& catalog, const Fleet& fleet, Jobs& jobs,
                 const DeadlineForecaster& forecaster, const TaskStarter& task_starter,
                 const StarvationGuard& starvation_guard)
      : catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        forecaster_(forecaster),
        task_starter_(task_starter),
        starvation_guard_(starvation_guard) {}

  /// The jobs with tasks that may start now, in scheduling order.
  std::vector<Candidate> build(TimePoint now) const;

 private:
  std::vector<Job*> startable_jobs_by_age(TimePoint now) const;
  /// `team_demand`: the team's current use plus the needs of its older waiting jobs; the needs of
  /// the job's waiting tasks are added. `may_prioritize`: whether the round may put one more
  /// starving job before all others.
  Candidate make_candidate(Job& job, Resources& team_demand, bool may_prioritize,
                           TimePoint now) const;

  const Catalog& catalog_;
  const Fleet& fleet_;
  Jobs& jobs_;
  const DeadlineForecaster& forecaster_;
  const TaskStarter& task_starter_;
  const StarvationGuard& starvation_guard_;
};

}  // namespace violetpulley::core
