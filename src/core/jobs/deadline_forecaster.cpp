#include "core/jobs/deadline_forecaster.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/scheduling/run_time_bins.hpp"

namespace violetpulley::core {

// What is left of a task, as far as saves tell.
Seconds DeadlineForecaster::estimate_left(const Job& job, TaskIndex index) const {
  return remaining_run_time(estimate(job.spec()), job.tasks[job.gang() ? 0 : index].saved);
}

Seconds DeadlineForecaster::age(const Job& job, TimePoint now) const {
  const Seconds before = settings_.wall_at_start - job.record.submitted;
  // Never less than what was seen here: a wrong time of day must not hold a job back.
  return std::max(Seconds(now - job.opened), before + Seconds(now - elected_at_));
}

// Until the job's deadline or the next aim of its class that it can still meet; infinite if none.
Seconds DeadlineForecaster::time_left(const Job& job, TimePoint now) const {
  const auto lived = age(job, now);
  const auto& spec = job.spec();
  Seconds best{std::numeric_limits<double>::infinity()};
  const auto needed = estimate(spec);
  const auto consider = [&](Seconds within) {
    if (lived + needed < within) best = std::min(best, within - lived);
  };
  if (spec.deadline) consider(*spec.deadline);
  for (const auto& aim : settings_.completion_objectives)
    if (aim.job_class == spec.job_class) consider(aim.within);
  return best;
}

DeadlineForecast DeadlineForecaster::forecast(const Job& job, TimePoint now) const {
  // A service has no time to be done by.
  if (job.service() || std::isfinite(time_left(job, now).count())) return DeadlineForecast::in_time;
  const auto& spec = job.spec();
  const auto done = age(job, now) + estimate(spec);
  const bool late =
      spec.deadline &&
      std::any_of(settings_.tardiness_objectives.begin(), settings_.tardiness_objectives.end(),
                  [&](const TardinessObjective& aim) {
                    return aim.job_class == spec.job_class && done < *spec.deadline * aim.times;
                  });
  return late ? DeadlineForecast::late : DeadlineForecast::missed;
}

}  // namespace violetpulley::core
