/// @file
/// The queue of a scheduling round: which jobs have tasks that may start, and in which order free
/// capacity goes to them (docs/design.md, "Order of the queue"). Owns no state.
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
  /// `team_demand`: what the team uses and what its older jobs wait for; the job's waiting tasks
  /// are added. `may_prioritize`: the round may still put a starving job before all others.
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
