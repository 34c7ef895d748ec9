/// @file
/// Wall-clock time for the layers that do input and output. The core reads no clock: every event
/// carries its time.
#pragma once

#include "core/model/types.hpp"

namespace violetpulley {

/// Returns the system time, rounded down to milliseconds.
inline core::WallTime wall_now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace violetpulley
