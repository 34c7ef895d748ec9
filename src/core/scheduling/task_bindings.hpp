// Groups of tasks that stay bound to the machine rented for them until it boots or the rental fails
// (DESIGN). Owns the groups of machines that boot; the tasks hold what they are bound to.
#pragma once

#include <map>

#include "core/jobs/jobs.hpp"

namespace violetpulley::core {

class TaskBindings {
 public:
  TaskBindings(Outbox& out, Jobs& jobs) : out_(out), jobs_(jobs) {}

  bool holds(const MachineId& id) const { return groups_.contains(id); }
  // Tasks wait for a rental's answer.
  void bind(const std::vector<TaskKey>& group, const std::string& request);
  // The rental has brought a machine for those that still wait for it.
  void rebind(std::vector<TaskKey> group, const std::string& request, const MachineId& machine);
  void unbind(const std::vector<TaskKey>& group, const std::string& bound);
  // The machine is gone.
  void machine_gone(const MachineId& id);

  // Calls `place(task, machine id)` for each group whose machine is `ready`, and frees what did not
  // start. `ready` tells of a machine whether its group's turn has come.
  template <class Ready, class Place>
  void settle(const Ready& ready, const Place& place) {
    for (auto bound = groups_.begin(); bound != groups_.end();) {
      if (!ready(bound->first)) {
        ++bound;
        continue;
      }
      for (const auto& key : bound->second) {
        const auto job = jobs_.find(key.job);
        if (job != jobs_.end() && job->second.tasks[key.index].bound == bound->first)
          place(job->second, key.index, bound->first);
      }
      unbind(bound->second, bound->first);
      bound = groups_.erase(bound);
    }
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.groups_);
  }

 private:
  Outbox& out_;
  Jobs& jobs_;
  std::map<MachineId, std::vector<TaskKey>> groups_;
};

}  // namespace violetpulley::core
