/// @file
/// Formats the state of a controller as one line for the log. Owns no state.
#pragma once

#include <string>

#include "core/dispatch/attempt_audit.hpp"
#include "core/failover/recovery.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/ended_attempts.hpp"
#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// The line: numbers of jobs and tasks, use of the machines by type, and progress of the recovery.
std::string summary_line(const Jobs& jobs, const Fleet& fleet, const Recovery& recovery);

/// Held tasks, and how often on-call was told of attempts since the election. Empty if there is
/// nothing to tell.
std::string attempts_summary(const EndedAttempts& ended_attempts, const AttemptAudit& audit);

}  // namespace violetpulley::core
