/// @file
/// A job with waiting tasks and its sort criteria in one scheduling round (docs/design.md, "Order
/// of the queue"). Rebuilt in each round.
#pragma once

#include "core/jobs/deadline_forecaster.hpp"

namespace violetpulley::core {

/// A job with waiting tasks and the values that decide its position in the queue.
struct Candidate {
  Job* job = nullptr;
  /// Expected remaining run time of its first waiting task.
  Seconds estimate{0};
  /// Whether all of the job's waiting tasks fit into the guarantee of its team.
  bool guaranteed = false;
  DeadlineForecast forecast = DeadlineForecast::missed;
  /// Expected work of all waiting tasks, in GPU seconds if they need GPUs, else in CPU seconds.
  double work = 0;
  /// A gang or one of the largest jobs of its class that has waited for long: it comes first within
  /// its priority.
  bool aged = false;
  /// A starving job (`StarvationGuard::starving`): its first task comes before all other jobs.
  bool starving = false;
};

}  // namespace violetpulley::core
