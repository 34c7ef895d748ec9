// When an underused machine is cleared (paper 3.4, heuristic 2; DESIGN).
#pragma once

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

inline bool underused(const Machine& machine, double below) {
  const auto part = [](double used, double capacity) { return capacity > 0 ? used / capacity : 0; };
  return part(machine.used.cpus, machine.capacity.cpus) < below &&
         part(machine.used.gpus, machine.capacity.gpus) < below &&
         part(machine.used.memory_gb, machine.capacity.memory_gb) < below;
}

// Tasks restart elsewhere only if the longest remaining estimate exceeds the run time they lose
// plus the time to boot a machine and fetch the image. All of a machine's tasks move, or none.
inline bool worth_restarting(const Machine& machine, TimePoint now, Seconds boot, Seconds fetch) {
  Seconds longest{0};
  Seconds lost{0};
  for (const auto& [key, task] : machine.tasks) {
    longest = std::max(longest, remaining_of(task, now));
    lost = std::max(lost, cost_of_stop(task, now));
  }
  return longest > lost + boot + fetch;
}

}  // namespace violetpulley::core
