/// @file
/// How long a task still takes and which objective its job can still meet: estimates with the
/// halfway rule (paper 3.4, DESIGN), deadlines and the operators' objectives. Owns nothing but the
/// time of the election.
#pragma once

#include "core/jobs/job.hpp"
#include "core/jobs/run_time_estimator.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// What a job can still gain.
enum class DeadlineForecast {
  in_time,  ///< Can meet its deadline or a completion objective.
  late,     ///< Can meet a tardiness objective.
  missed    ///< Nothing.
};

/// Compares estimated ends of jobs with deadlines and objectives.
class DeadlineForecaster {
 public:
  DeadlineForecaster(const ControllerSettings& settings, const RunTimeEstimator& estimator,
                     TimePoint elected_at)
      : settings_(settings), estimator_(estimator), elected_at_(elected_at) {}

  /// Expected run time of a whole task of the job.
  Seconds estimate(const JobSpec& spec) const { return estimator_.estimate(spec); }
  /// Expected rest of the task's run time after its last checkpoint.
  Seconds estimate_left(const Job& job, TaskIndex index) const;
  /// Time since the submission.
  Seconds age(const Job& job, TimePoint now) const;
  /// Time until the job's deadline or the next objective of its class that the job can still meet;
  /// infinite if there is none.
  Seconds time_left(const Job& job, TimePoint now) const;
  /// Services, which have no time to be done by, are always in time.
  DeadlineForecast forecast(const Job& job, TimePoint now) const;

 private:
  bool meets_tardiness_objective(const JobSpec& spec, Seconds age_at_end) const;

  const ControllerSettings& settings_;
  const RunTimeEstimator& estimator_;
  TimePoint elected_at_;
};

}  // namespace violetpulley::core
