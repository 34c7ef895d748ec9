// Run-time estimates. The design starts from the average past run time per job name; owners also
// give an estimate per job, so what is averaged per name is run time over the owner's estimate
// (docs/design.md, "Estimator").
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/model/types.hpp"

namespace violetpulley::core {

class Estimator {
 public:
  void finished(const JobSpec& spec, Seconds ran) {
    if (spec.shape == Shape::service) return;
    if (spec.estimate <= Seconds(0) || ran <= Seconds(0)) return;
    auto& average = averages_[spec.job_class];
    average.count = std::min(average.count + 1, 50);
    const double ratio = std::clamp(ran / spec.estimate, 0.05, 20.0);
    average.ratio += (ratio - average.ratio) / average.count;
  }

  bool empty() const { return averages_.empty(); }

  Seconds estimate(const JobSpec& spec) const {
    if (spec.shape == Shape::service) return kEndless;
    const auto known = averages_.find(spec.job_class);
    const bool trusted = known != averages_.end() && known->second.count >= 5;
    return spec.estimate * (trusted ? known->second.ratio : 1.0);
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.averages_);
  }

 private:
  struct Average {
    int count = 0;
    double ratio = 1.0;

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.count, s.ratio);
    }
  };
  std::map<std::string, Average> averages_;
};

}  // namespace violetpulley::core
