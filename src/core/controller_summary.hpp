/// @file
/// One line on the state of a controller, for the log. Reads the controller's parts; owns nothing.
#pragma once

#include <string>

#include "core/failover/recovery.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// Counts of jobs and tasks, use of the machines by type, and the progress of the recovery.
std::string summary_line(const Jobs& jobs, const Fleet& fleet, const Recovery& recovery);

}  // namespace violetpulley::core
