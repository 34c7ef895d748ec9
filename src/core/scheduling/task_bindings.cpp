#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

Job* TaskBindings::find_bound(const TaskKey& key, const std::string& bound) {
  const auto job = jobs_.find(key.job);
  if (job == jobs_.end() || job->second.tasks[key.index].bound_to != bound) return nullptr;
  return &job->second;
}

void TaskBindings::bind(const std::vector<TaskKey>& group, const std::string& request) {
  for (const auto& key : group) {
    auto& job = jobs_.at(key.job);
    jobs_.before_change(job);
    job.tasks[key.index].bound_to = request;
  }
}

void TaskBindings::rebind(std::vector<TaskKey> group, const std::string& request,
                          const MachineId& machine) {
  for (const auto& key : group)
    if (auto* job = find_bound(key, request)) {
      jobs_.before_change(*job);
      job->tasks[key.index].bound_to = machine;
    }
  if (!group.empty()) groups_[machine] = std::move(group);
}

void TaskBindings::unbind(const std::vector<TaskKey>& group, const std::string& bound) {
  for (const auto& key : group)
    if (auto* job = find_bound(key, bound)) {
      jobs_.before_change(*job);
      job->tasks[key.index].bound_to.clear();
    }
  out_.request_scheduling_round();
}

void TaskBindings::machine_gone(const MachineId& id) {
  const auto bound = groups_.find(id);
  if (bound == groups_.end()) return;
  unbind(bound->second, id);
  groups_.erase(bound);
}

}  // namespace violetpulley::core
