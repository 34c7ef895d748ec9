/// @file
/// Estimates the remaining run time of tasks with the halfway rule (paper 3.4, DESIGN) and
/// forecasts which deadline or objective of the operators a job can still meet. Owns only the time
/// of the election.
#pragma once

#include "core/jobs/job.hpp"
#include "core/jobs/run_time_estimator.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// The best outcome that a job can still reach.
enum class DeadlineForecast {
  in_time,  ///< Can meet its deadline or a completion objective.
  late,     ///< Can meet a tardiness objective.
  missed    ///< Can meet neither its deadline nor any objective.
};

/// Compares the estimated completion times of jobs with their deadlines and objectives.
class DeadlineForecaster {
 public:
  DeadlineForecaster(const ControllerSettings& settings, const RunTimeEstimator& estimator,
                     TimePoint elected_at)
      : settings_(settings), estimator_(estimator), elected_at_(elected_at) {}

  /// Expected run time of a whole task of the job.
  Seconds estimate(const JobSpec& spec) const { return estimator_.estimate(spec); }
  /// Expected run time of the task from its last checkpoint on.
  Seconds remaining_estimate(const Job& job, TaskIndex index) const;
  /// Time since the job was submitted.
  Seconds age(const Job& job, TimePoint now) const;
  /// Time until the job's deadline or the next objective of its class that the job can still meet;
  /// infinite if there is none.
  Seconds time_until_objective(const Job& job, TimePoint now) const;
  /// Always `in_time` for services, which have neither a deadline nor a completion objective.
  DeadlineForecast forecast(const Job& job, TimePoint now) const;

 private:
  bool meets_tardiness_objective(const JobSpec& spec, Seconds age_at_end) const;

  const ControllerSettings& settings_;
  const RunTimeEstimator& estimator_;
  TimePoint elected_at_;
};

}  // namespace violetpulley::core
