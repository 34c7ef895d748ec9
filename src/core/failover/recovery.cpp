/// @file
/// End of the recovery, and the tasks that are blocked until then.
#include "core/failover/recovery.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"

namespace violetpulley::core {

// Until every machine registered at the election is confirmed or gone, tasks of jobs of a former
// leader that no machine has listed may run on an unconfirmed machine (docs/safety.md, "One copy of
// a task", 3).
void Recovery::check(TimePoint last_proven) {
  if (!recovering_) return;
  // Answering a heartbeat renews the lease even if the machine stays unconfirmed: the heartbeat may
  // have been answered before it was processed, or a command of a former leader may have arrived
  // after the heartbeat. So the lease counts from the last heartbeat of the machine.
  if (last_proven >= former_leases_end_)
    std::erase_if(unconfirmed_, [&](const MachineId& id) {
      const auto* machine = fleet_.find(id);
      const bool lease_expired = machine == nullptr || !machine->last_heartbeat ||
                                 last_proven - *machine->last_heartbeat > to_duration(full_lease());
      if (lease_expired) unassigned_copies_.clear_machine(id);
      return lease_expired;
    });
  if (!unconfirmed_.empty()) return;
  recovering_ = false;
  out_.request_scheduling_round();
}

void Recovery::former_leaders_gone(TimePoint now) {
  former_leases_end_ = std::min(former_leases_end_, now + to_duration(full_lease()));
}

// A task of a job of a former leader that no machine has listed may be on an unconfirmed machine if
// the job is allowed there: no leader starts a task on a machine that its job does not allow.
bool Recovery::blocked_on_reconciliation(const Job& job) const {
  if (!recovering_ || !job.from_former_leader) return false;
  if (job.placements_complete) {
    return std::any_of(job.waiting.begin(), job.waiting.end(),
                       [&](TaskIndex index) { return is_recorded_on_unconfirmed(job, index); });
  }
  return std::any_of(unconfirmed_offerings_.begin(), unconfirmed_offerings_.end(),
                     [&](const OfferingKey& offering) {
                       return allowed_on(job.spec(), offering.type, offering.zone, offering.spot);
                     });
}

// If all starts are recorded, a task can only be on the machine in its placement record
// (docs/safety.md, "Committed starts").
bool Recovery::is_recorded_on_unconfirmed(const Job& job, TaskIndex index) const {
  return index < job.placed_on.size() && unconfirmed_.contains(job.placed_on[index]);
}

bool Recovery::blocked_on_reconciliation(const Job& job, TaskIndex index) const {
  if (!recovering_ || !job.from_former_leader) return false;
  if (job.placements_complete && !job.gang()) return is_recorded_on_unconfirmed(job, index);
  return blocked_on_reconciliation(job);
}

bool Recovery::has_unassigned_copy(const Job& job, TaskIndex index) const {
  if (unassigned_copies_.empty()) return false;
  const auto& id = job.spec().id;
  return job.gang() ? unassigned_copies_.contains_job(id)
                    : unassigned_copies_.contains({id, index});
}

bool Recovery::is_blocked(const Job& job, TaskIndex index) const {
  return has_unassigned_copy(job, index) || blocked_on_reconciliation(job, index);
}

std::size_t Recovery::blocked_tasks(const Job& job) const {
  const bool has_copies = unassigned_copies_.contains_job(job.spec().id);
  const bool is_older_job = recovering_ && job.from_former_leader;
  if (!has_copies && !is_older_job) return 0;
  // Without placement records, and for a gang, the reconciliation blocks all tasks or none.
  const bool blocked_alike = job.gang() || !job.placements_complete;
  if (blocked_alike && (blocked_on_reconciliation(job) || (job.gang() && has_copies)))
    return job.waiting.size();
  if (blocked_alike && !has_copies) return 0;
  return static_cast<std::size_t>(
      std::count_if(job.waiting.begin(), job.waiting.end(),
                    [&](TaskIndex index) { return is_blocked(job, index); }));
}

// Counts the whole capacity of each machine that has not answered yet or that lists live tasks
// without an assignment, as their job and thus their team may be unknown.
Resources Recovery::compute_possible_use() const {
  Resources total;
  for (const auto& [id, since] : unknown_tasks_since_)
    if (const auto* machine = fleet_.find(id)) total += machine->capacity;
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id);
        machine != nullptr && !unknown_tasks_since_.contains(id))
      total += machine->capacity;
  return total;
}

void Recovery::update_unassigned_copies(const Machine& machine, UnassignedCopies::OfMachine copies,
                                        TimePoint now) {
  const bool has_live_copy = std::any_of(copies.begin(), copies.end(), [](const auto& copy) {
    return copy.second == CopyState::live;
  });
  if (has_live_copy)
    unknown_tasks_since_.emplace(machine.id, now);
  else
    unknown_tasks_since_.erase(machine.id);
  unassigned_copies_.replace(machine.id, std::move(copies));
}

void Recovery::clear_unassigned_copies(const Machine& machine) {
  unknown_tasks_since_.erase(machine.id);
  unassigned_copies_.clear_machine(machine.id);
}

void Recovery::add_zones_of_copies(const Job& job, std::map<std::string, TaskIndex>& use) const {
  if (unassigned_copies_.empty()) return;
  const auto [first, last] = unassigned_copies_.of_job(job.spec().id);
  for (auto entry = first; entry != last; ++entry)
    for (const auto& [id, state] : entry->second)
      if (const auto* machine = fleet_.find(id); machine != nullptr && state == CopyState::live)
        ++use[machine->zone];
}

void Recovery::refresh() {
  possible_use_ = compute_possible_use();
  unconfirmed_offerings_.clear();
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id))
      unconfirmed_offerings_.insert({machine->type, machine->zone, machine->spot});
}

}  // namespace violetpulley::core
