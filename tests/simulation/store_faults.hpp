/// @file
/// Combined faults of the state service (docs/combined-failures.md). A disruption has three stages:
/// the service refuses the leader, then is down for all clients, then answers again but does not
/// deliver changes of jobs yet. Owns the count of disruptions.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Injects disruptions and slow phases of the state service.
class StoreFaults {
 public:
  StoreFaults(Environment& environment, Store& store, const Leaders& leaders, JobRegistry& jobs)
      : environment_(environment), store_(store), leaders_(leaders), jobs_(jobs) {}

  /// Advances by one step: each fault begins with its probability. The first disruption begins at
  /// `kFirstDisruptionDeadline` at the latest.
  void step();
  /// Number of disruptions, each from the refusal of the leader to the delivery of the stalled
  /// changes.
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
