/// @file
/// A job with waiting tasks, as one scheduling round sees it (docs/design.md, "Order of the
/// queue"). Plain values, built anew in each round.
#pragma once

#include "core/jobs/deadline_forecaster.hpp"

namespace violetpulley::core {

/// A job with waiting tasks and what decides its position in the queue.
struct Candidate {
  Job* job = nullptr;
  /// Expected run time that is left of one of its tasks.
  Seconds estimate{0};
  /// All of the job's waiting tasks are within the guarantee of its team.
  bool guaranteed = false;
  DeadlineForecast forecast = DeadlineForecast::missed;
  /// Work of all waiting tasks, in GPU seconds if they need GPUs, else in CPU seconds.
  double work = 0;
  /// A gang or a large job that has waited long: within its priority it comes first.
  bool aged = false;
  /// The job has to start now: it comes before all others, with its first task only.
  bool starving = false;
};

}  // namespace violetpulley::core
