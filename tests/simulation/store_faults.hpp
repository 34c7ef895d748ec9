/// @file
/// Combined faults of the state service (docs/combined-failures.md): it refuses the leader, then is
/// down for all, then is back before the changes of jobs are. Owns the count of these faults.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Injects faults of the state service.
class StoreFaults {
 public:
  StoreFaults(Environment& environment, Store& store, const Leaders& leaders, JobRegistry& jobs)
      : environment_(environment), store_(store), leaders_(leaders), jobs_(jobs) {}

  /// One step: each fault begins with its probability; the first one at a fixed time at the latest.
  void step();
  /// Gaps, from the refusal of the leader to the delivery of the held changes.
  std::size_t disruptions() const { return disruptions_; }

 private:
  bool disruption_due();
  void begin_disruption();
  void begin_outage();
  void end_outage();

  Environment& environment_;
  Store& store_;
  const Leaders& leaders_;
  JobRegistry& jobs_;
  std::size_t disruptions_ = 0;
};

}  // namespace violetpulley::core::simulated
