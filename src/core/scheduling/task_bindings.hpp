/// @file
/// Binds groups of tasks to the machine that was requested for them, until it has booted or the
/// request has failed (DESIGN). Owns the groups of booting machines; `Task::bound_to` names the
/// request or machine that a task is bound to.
#pragma once

#include <map>

#include "core/jobs/jobs.hpp"

namespace violetpulley::core {

/// Keeps track of the tasks that wait for a requested machine.
class TaskBindings {
 public:
  TaskBindings(Outbox& out, Jobs& jobs) : out_(out), jobs_(jobs) {}

  /// Whether a group of tasks waits for the machine.
  bool has_group(const MachineId& id) const { return groups_.contains(id); }
  /// Binds the tasks to a scale-out request in flight.
  void bind(const std::vector<TaskKey>& group, const std::string& request);
  /// Rebinds the tasks that are still bound to the request to the machine that it has provided.
  void rebind(std::vector<TaskKey> group, const std::string& request, const MachineId& machine);
  /// Unbinds the tasks that are still bound to `bound`, a request or a machine.
  void unbind(const std::vector<TaskKey>& group, const std::string& bound);
  /// Unbinds the tasks that are bound to a machine that no longer exists.
  void machine_gone(const MachineId& id);

  /// Calls `place(job, task index, machine id)` for each task that is bound to a ready machine, and
  /// unbinds the tasks that did not start. `is_ready(machine id)`: whether the machine can take
  /// tasks or no longer exists.
  template <class IsReady, class Place>
  void place_ready_groups(const IsReady& is_ready, const Place& place) {
    for (auto bound = groups_.begin(); bound != groups_.end();) {
      if (!is_ready(bound->first)) {
        ++bound;
        continue;
      }
      for (const auto& key : bound->second)
        if (auto* job = find_bound(key, bound->first)) place(*job, key.index, bound->first);
      unbind(bound->second, bound->first);
      bound = groups_.erase(bound);
    }
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.groups_);
  }

 private:
  /// The task's job if the task is still bound to `bound`, else null.
  Job* find_bound(const TaskKey& key, const std::string& bound);

  Outbox& out_;
  Jobs& jobs_;
  std::map<MachineId, std::vector<TaskKey>> groups_;
};

}  // namespace violetpulley::core
