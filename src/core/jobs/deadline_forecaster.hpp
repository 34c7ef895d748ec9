// How long a task still takes and what its job can still gain: estimates with the halfway rule
// (paper 3.4, DESIGN), deadlines and the operators' aims. Owns nothing but the start's times.
#pragma once

#include "core/jobs/job.hpp"
#include "core/jobs/run_time_estimator.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

// What is left to gain: a deadline or an aim, an aim for being little late, or nothing.
enum class DeadlineForecast { in_time, late, missed };

class DeadlineForecaster {
 public:
  DeadlineForecaster(const ControllerSettings& settings, const Estimator& estimator,
                     TimePoint elected_at)
      : settings_(settings), estimator_(estimator), elected_at_(elected_at) {}

  Seconds estimate(const JobSpec& spec) const { return estimator_.estimate(spec); }
  Seconds estimate_left(const Job& job, TaskIndex index) const;
  // Since the job was submitted.
  Seconds age(const Job& job, TimePoint now) const;
  Seconds time_left(const Job& job, TimePoint now) const;
  DeadlineForecast forecast(const Job& job, TimePoint now) const;

 private:
  const ControllerSettings& settings_;
  const Estimator& estimator_;
  TimePoint elected_at_;
};

}  // namespace violetpulley::core
