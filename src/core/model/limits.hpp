/// @file
/// Limits that the parts of the controller that place tasks share: duration of reservations, team
/// limits, tasks per zone.
#pragma once

#include <limits>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// Longest time for which machines or a team's limit stay reserved for one waiting job, counted
/// from the start of the reservation or from the last time the job got more of them. Without this
/// bound one starving job after the other kept a team's limit reserved while machines had free
/// capacity for the team's small tasks.
inline constexpr std::chrono::seconds kMaxReservationTime{60};
/// Time after the expiry of a reservation in which nothing is reserved.
inline constexpr std::chrono::seconds kReservationBackoff{5};

/// Maximum resources of the team; infinite where the team has no limit.
inline Resources limit_of(const Team& team) {
  const double unlimited = std::numeric_limits<double>::infinity();
  return {team.max_cpus > 0 ? team.max_cpus : unlimited,
          team.max_gpus > 0 ? team.max_gpus : unlimited, unlimited};
}

/// Maximum number of tasks of a job in one zone (PROTOCOL, `spread`).
inline TaskIndex max_tasks_in_zone(const JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace violetpulley::core
