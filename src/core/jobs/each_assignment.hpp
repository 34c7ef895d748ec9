// The tasks of a job that are, or may be, on machines.
#pragma once

#include "core/jobs/job.hpp"
#include "core/machines/fleet.hpp"

namespace violetpulley::core {

// Calls `visit(machine, key, assignment)` for each. It may end that one assignment, no other.
template <class Visit>
void each_on_machines(Fleet& fleet, const Job& job, const Visit& visit) {
  for (TaskIndex i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase != Phase::assigned) continue;
    auto* machine = fleet.find(job.tasks[i].machine);
    if (machine == nullptr) continue;
    const TaskKey key{job.spec().id, i};
    const auto assignment = machine->tasks.find(key);
    if (assignment != machine->tasks.end()) visit(*machine, key, assignment->second);
  }
}

}  // namespace violetpulley::core
