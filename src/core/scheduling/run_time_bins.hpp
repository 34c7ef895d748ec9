/// @file
/// Run-time bins (paper 3.2.1) and the remaining run time of tasks. Bin 0 spans [0, unit), bin i
/// spans [2^(i-1), 2^i) units.
#pragma once

#include <cmath>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// The bin of a remaining run time.
inline int bin_of(Seconds remaining, Seconds unit) {
  const double units = remaining / unit;
  if (!(units >= 1.0)) return 0;
  return static_cast<int>(std::floor(std::log2(units))) + 1;
}

/// The halfway rule (paper 3.4, heuristic 1): a task that has exceeded its estimate is assumed to
/// be halfway done, so as much time remains as has elapsed. `elapsed` is the run time so far.
inline Seconds remaining_run_time(Seconds estimate, Seconds elapsed) {
  return elapsed < estimate ? estimate - elapsed : elapsed;
}

}  // namespace violetpulley::core
