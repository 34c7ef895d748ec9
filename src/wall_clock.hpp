// The time of day, for the shells; the core is told it.
#pragma once

#include "core/model/types.hpp"

namespace violetpulley {

inline core::WallTime wall_now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

}  // namespace violetpulley
