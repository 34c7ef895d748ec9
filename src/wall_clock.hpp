/// @file
/// The time of day for the input and output layers. The core takes no clock: every event carries
/// its time.
#pragma once

#include "core/model/types.hpp"

namespace violetpulley {

/// Returns the system time, rounded down to milliseconds.
inline core::WallTime wall_now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace violetpulley
