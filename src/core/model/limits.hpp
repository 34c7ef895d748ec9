// Small rules shared by the parts of the controller that place tasks.
#pragma once

#include <limits>

#include "core/model/types.hpp"

namespace violetpulley::core {

// What is kept for one job beside others that wait, machines or its team's limit, is kept for so
// long at a time, or since it last got more; then others have a turn. One due job after the other
// kept a team's limit for 150 s, beside room for its small tasks (seed 1206 of Hunted).
inline constexpr std::chrono::seconds kReservationTime{60};
inline constexpr std::chrono::seconds kReservationPause{5};

inline Resources limit_of(const Team& team) {
  const double none = std::numeric_limits<double>::infinity();
  return {team.max_cpus > 0 ? team.max_cpus : none, team.max_gpus > 0 ? team.max_gpus : none, none};
}

// How many tasks of a job one zone may have (PROTOCOL, `spread`).
inline TaskIndex max_tasks_in_zone(const JobSpec& spec) {
  return spec.spread ? (spec.tasks + 1) / 2 : spec.tasks;
}

}  // namespace violetpulley::core
