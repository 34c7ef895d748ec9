/// @file
/// Run-time estimates. The design predicts the average past run time of a job class. Because users
/// also give an estimate with each job, the estimator averages the ratio of the measured run time
/// to the user's estimate instead (docs/design.md, "Estimator"). Owns these averages.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// Predicts the run time of a task from its job's class and the user's estimate.
class RunTimeEstimator {
 public:
  /// Updates the average of the job's class with the run time of a successful task. Services, whose
  /// tasks have no expected end, are ignored.
  void record_run_time(const JobSpec& spec, Seconds run_time) {
    if (spec.shape == Shape::service) return;
    if (spec.estimate <= Seconds(0) || run_time <= Seconds(0)) return;
    auto& average = averages_[spec.job_class];
    average.count = std::min(average.count + 1, kMaxCount);
    const double ratio = std::clamp(run_time / spec.estimate, kMinRatio, kMaxRatio);
    average.ratio += (ratio - average.ratio) / average.count;
  }

  /// Whether no run time has been recorded.
  bool empty() const { return averages_.empty(); }

  /// Expected run time of a whole task; `kUnboundedRunTime` for services. The user's estimate is
  /// not corrected until `kMinTrustedCount` tasks of the class have ended.
  Seconds estimate(const JobSpec& spec) const {
    if (spec.shape == Shape::service) return kUnboundedRunTime;
    const auto known = averages_.find(spec.job_class);
    const bool trusted = known != averages_.end() && known->second.count >= kMinTrustedCount;
    return spec.estimate * (trusted ? known->second.ratio : 1.0);
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.averages_);
  }

 private:
  static constexpr int kMinTrustedCount = 5;
  /// Bounds the weight of old run times, so that the average follows newer ones.
  static constexpr int kMaxCount = 50;
  static constexpr double kMinRatio = 0.05;
  static constexpr double kMaxRatio = 20.0;

  struct Average {
    int count = 0;
    double ratio = 1.0;  // run time / user's estimate

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.count, s.ratio);
    }
  };

  std::map<std::string, Average> averages_;  // by job class
};

}  // namespace violetpulley::core
