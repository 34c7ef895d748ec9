/// @file
/// Conditions under which an underused machine is drained and its tasks are restarted elsewhere
/// (paper 3.4, heuristic 2; DESIGN). Owns no state.
#pragma once

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// Whether the used share of the machine's capacity is below `max_share` for every resource.
inline bool underused(const Machine& machine, double max_share) {
  const auto share = [](double used, double capacity) {
    return capacity > 0 ? used / capacity : 0;
  };
  return share(machine.used.cpus, machine.capacity.cpus) < max_share &&
         share(machine.used.gpus, machine.capacity.gpus) < max_share &&
         share(machine.used.memory_gb, machine.capacity.memory_gb) < max_share;
}

/// Whether a restart of the machine's tasks elsewhere pays off: the longest remaining run time
/// exceeds the largest cost of a stop plus the time to boot a machine and fetch the image. Either
/// all tasks of a machine are restarted or none.
inline bool worth_restarting(const Machine& machine, TimePoint now, Seconds boot, Seconds fetch) {
  Seconds max_remaining{0};
  Seconds max_lost{0};
  for (const auto& [key, task] : machine.tasks) {
    max_remaining = std::max(max_remaining, remaining_of(task, now));
    max_lost = std::max(max_lost, cost_of_stop(task, now));
  }
  return max_remaining > max_lost + boot + fetch;
}

}  // namespace violetpulley::core
