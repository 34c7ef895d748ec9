/// @file
/// Maintains the table of in-doubt attempts that have ended, and the resources they use by team.
#include "core/machines/ended_attempts.hpp"

#include <algorithm>
#include <limits>

namespace violetpulley::core {

void EndedAttempts::add(const TaskKey& task, EndedAttempt ended, TimePoint now) {
  if (const auto known = attempts_.find(task); known != attempts_.end()) remove(known);
  if (tokens_.enabled())
    tokens_.request_fence(ended.machine, ended.attempt, now);
  else if (ended.task != EndedTask::done)
    retire(ended.machine, now);
  by_machine_[ended.machine].insert(task);
  use_by_team_[ended.team] += ended.resources;
  attempts_.emplace(task, std::move(ended));
}

std::pair<EndedAttempts::Table::const_iterator, EndedAttempts::Table::const_iterator>
EndedAttempts::of_job(const JobId& job) const {
  return {attempts_.lower_bound({job, 0}),
          attempts_.upper_bound({job, std::numeric_limits<TaskIndex>::max()})};
}

void EndedAttempts::cancel_job(const JobId& job, TimePoint now) {
  const auto [first, last] = of_job(job);
  for (auto entry = first; entry != last; ++entry) {
    attempts_.at(entry->first).task = EndedTask::cancelled;
    if (!tokens_.enabled()) retire(entry->second.machine, now);
  }
}

std::size_t EndedAttempts::held_tasks(const JobId& job) const {
  const auto [first, last] = of_job(job);
  return static_cast<std::size_t>(std::count_if(
      first, last, [](const auto& entry) { return entry.second.task == EndedTask::held; }));
}

std::vector<TaskKey> EndedAttempts::remove_if(const MachineId& machine, const IsOver& is_over) {
  std::vector<TaskKey> held;
  const auto found = by_machine_.find(machine);
  if (found == by_machine_.end()) return held;
  for (const auto& task : std::set(found->second)) {
    const auto entry = attempts_.find(task);
    if (!is_over(task, entry->second)) continue;
    if (entry->second.task == EndedTask::held) held.push_back(task);
    remove(entry);
  }
  if (!by_machine_.at(machine).empty()) return held;
  by_machine_.erase(machine);
  retiring_.erase(machine);
  return held;
}

std::vector<TaskKey> EndedAttempts::clear_machine(const MachineId& machine) {
  std::vector<TaskKey> held;
  retiring_.erase(machine);
  const auto found = by_machine_.find(machine);
  if (found == by_machine_.end()) return held;
  const auto tasks = std::move(found->second);
  for (const auto& task : tasks) {
    const auto entry = attempts_.find(task);
    if (entry->second.task == EndedTask::held) held.push_back(task);
    remove(entry);
  }
  by_machine_.erase(machine);
  return held;
}

void EndedAttempts::clear() {
  attempts_.clear();
  by_machine_.clear();
  retiring_.clear();
  use_by_team_.clear();
}

void EndedAttempts::remove(Table::iterator entry) {
  const auto& ended = entry->second;
  auto& use = use_by_team_.at(ended.team);
  use -= ended.resources;
  by_machine_[ended.machine].erase(entry->first);
  attempts_.erase(entry);
  // Repeated subtraction leaves rounding errors, so the sums are reset when no attempt is left.
  if (attempts_.empty()) use_by_team_.clear();
}

Resources EndedAttempts::use_of(const std::string& team) const {
  const auto found = use_by_team_.find(team);
  return found == use_by_team_.end() ? Resources{} : found->second;
}

}  // namespace violetpulley::core
