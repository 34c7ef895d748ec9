/// @file
/// Small rules shared by the parts of the controller that place tasks.
#pragma once

#include <limits>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// How long machines or a team's limit may be reserved for one waiting job, at a time or since the
/// job last got more of them; then other jobs have a turn. Without that bound one starving job
/// after the other kept a team's limit for 150 s, beside capacity for the team's small tasks (seed
/// 1206 of Hunted).
inline constexpr std::chrono::seconds kReservationTime{60};
/// Time in which nothing is reserved after a reservation has run out.
inline constexpr std::chrono::seconds kReservationPause{5};

/// The resources that the team may use at most; infinite where the team has no limit.
inline Resources limit_of(const Team& team) {
  const double unlimited = std::numeric_limits<double>::infinity();
  return {team.max_cpus > 0 ? team.max_cpus : unlimited,
          team.max_gpus > 0 ? team.max_gpus : unlimited, unlimited};
}

/// How many tasks of a job one zone may have (PROTOCOL, `spread`).
inline TaskIndex max_tasks_in_zone(const JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace violetpulley::core
