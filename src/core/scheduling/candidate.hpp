// A job with waiting tasks in the order in which room goes to them (docs/design.md, "Order of the
// queue"). Values only, made anew each round.
#pragma once

#include "core/jobs/deadline_forecaster.hpp"

namespace violetpulley::core {

struct Candidate {
  Job* job = nullptr;
  Seconds estimate{0};
  bool guaranteed = false;
  DeadlineForecast forecast = DeadlineForecast::missed;
  double work = 0;    // of its waiting tasks
  bool aged = false;  // a gang or a large job that has waited long: smaller ones pass it no more
  bool starving = false;  // it must begin now: it stands ahead of all others until it has
};

}  // namespace violetpulley::core
