/// @file
/// Iteration over the assignments of a job.
#pragma once

#include "core/jobs/job.hpp"
#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// Calls `visit(machine, key, assignment)` for each task of the job that is or may be on a machine,
/// in the order of task indexes. `visit` may remove the assignment that is passed to it, but no
/// other.
template <class Visit>
void for_each_assignment(Fleet& fleet, const Job& job, const Visit& visit) {
  for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
    const auto& task = job.tasks[index];
    if (task.phase != Phase::assigned) continue;
    auto* machine = fleet.find(task.machine);
    if (machine == nullptr) continue;
    const TaskKey key{job.spec().id, index};
    const auto assignment = machine->tasks.find(key);
    if (assignment != machine->tasks.end()) visit(*machine, key, assignment->second);
  }
}

}  // namespace violetpulley::core
