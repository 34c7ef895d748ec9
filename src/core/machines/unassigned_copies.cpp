/// @file
/// Maintains the table of copies without an assignment.
#include "core/machines/unassigned_copies.hpp"

#include <limits>

namespace violetpulley::core {

void UnassignedCopies::replace(const MachineId& machine, OfMachine copies) {
  clear_machine(machine);
  if (copies.empty()) return;
  for (const auto& [task, state] : copies) copies_[task].emplace(machine, state);
  by_machine_.emplace(machine, std::move(copies));
}

void UnassignedCopies::clear_machine(const MachineId& machine) {
  const auto found = by_machine_.find(machine);
  if (found == by_machine_.end()) return;
  for (const auto& [task, state] : found->second) {
    const auto entry = copies_.find(task);
    entry->second.erase(machine);
    if (entry->second.empty()) copies_.erase(entry);
  }
  by_machine_.erase(found);
}

std::pair<UnassignedCopies::Table::const_iterator, UnassignedCopies::Table::const_iterator>
UnassignedCopies::of_job(const JobId& job) const {
  return {copies_.lower_bound({job, 0}),
          copies_.upper_bound({job, std::numeric_limits<TaskIndex>::max()})};
}

// Called for every waiting job in each scheduling round, nearly always without any copies.
bool UnassignedCopies::contains_job(const JobId& job) const {
  if (copies_.empty()) return false;
  const auto [first, last] = of_job(job);
  return first != last;
}

}  // namespace violetpulley::core
