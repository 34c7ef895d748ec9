#include "core/jobs/deadline_forecaster.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/scheduling/run_time_bins.hpp"

namespace violetpulley::core {

Seconds DeadlineForecaster::remaining_estimate(const Job& job, TaskIndex index) const {
  return remaining_run_time(estimate(job.spec()), job.checkpointed_run_time(index));
}

Seconds DeadlineForecaster::age(const Job& job, TimePoint now) const {
  const Seconds age_at_election = settings_.wall_at_start - job.record.submitted;
  // The lower bound is the time since a leader opened the job: if the wall clock was wrong at the
  // submission or at the election, the difference between them may be too small, which would delay
  // the job.
  return std::max(Seconds(now - job.opened_at), age_at_election + Seconds(now - elected_at_));
}

Seconds DeadlineForecaster::time_until_objective(const Job& job, TimePoint now) const {
  const auto& spec = job.spec();
  const auto current_age = age(job, now);
  const auto needed = estimate(spec);
  Seconds shortest{std::numeric_limits<double>::infinity()};
  const auto consider = [&](Seconds within) {
    if (current_age + needed < within) shortest = std::min(shortest, within - current_age);
  };
  if (spec.deadline) consider(*spec.deadline);
  for (const auto& objective : settings_.completion_objectives)
    if (objective.job_class == spec.job_class) consider(objective.within);
  return shortest;
}

bool DeadlineForecaster::meets_tardiness_objective(const JobSpec& spec, Seconds age_at_end) const {
  if (!spec.deadline) return false;
  const auto& objectives = settings_.tardiness_objectives;
  return std::any_of(objectives.begin(), objectives.end(),
                     [&](const TardinessObjective& objective) {
                       return objective.job_class == spec.job_class &&
                              age_at_end < *spec.deadline * objective.deadline_multiple;
                     });
}

DeadlineForecast DeadlineForecaster::forecast(const Job& job, TimePoint now) const {
  if (job.service() || std::isfinite(time_until_objective(job, now).count()))
    return DeadlineForecast::in_time;
  const auto age_at_end = age(job, now) + estimate(job.spec());
  return meets_tardiness_objective(job.spec(), age_at_end) ? DeadlineForecast::late
                                                           : DeadlineForecast::missed;
}

}  // namespace violetpulley::core
