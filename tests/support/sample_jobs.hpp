/// @file
/// Small jobs and machines for tests of the core's parts.
#pragma once

#include <string>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// The present in these tests.
inline const TimePoint kNow = TimePoint{} + std::chrono::hours(1);

/// A job of one task that may use spot machines.
JobSpec make_spec(double cpus, double memory_gb, Seconds estimate, std::string image = "i");

/// Adds a machine to the fleet; with a task if `remaining` is positive, with the image "i" if
/// `image`.
Machine& add_machine(Fleet& fleet, const MachineId& id, double cpus, Seconds remaining,
                     bool has_image = true);

}  // namespace violetpulley::core
