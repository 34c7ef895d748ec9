/// @file
/// Small jobs and machines for unit tests of the core.
#pragma once

#include <string>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// The current time in these tests.
inline const TimePoint kNow = TimePoint{} + std::chrono::hours(1);

/// The specification of a job of one task that may use spot machines.
JobSpec make_spec(double cpus, double memory_gb, Seconds estimate, std::string image = "i");

/// Adds a machine to the fleet. If `remaining` is positive, the machine runs a task with that
/// remaining run time; if `has_image`, its cache holds the image "i".
Machine& add_machine(Fleet& fleet, const MachineId& id, double cpus, Seconds remaining,
                     bool has_image = true);

}  // namespace violetpulley::core
