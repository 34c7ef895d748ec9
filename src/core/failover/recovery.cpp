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
      return machine == nullptr || !machine->last_heartbeat ||
             last_proven - *machine->last_heartbeat > to_duration(full_lease());
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

bool Recovery::is_blocked(const Job& job, TaskIndex index) const {
  if (!recovering_ || !job.from_former_leader) return false;
  if (job.placements_complete && !job.gang()) return is_recorded_on_unconfirmed(job, index);
  return blocked_on_reconciliation(job);
}

std::size_t Recovery::blocked_tasks(const Job& job) const {
  if (!recovering_ || !job.from_former_leader) return 0;
  if (!job.placements_complete || job.gang())
    return blocked_on_reconciliation(job) ? job.waiting.size() : 0;
  return static_cast<std::size_t>(
      std::count_if(job.waiting.begin(), job.waiting.end(),
                    [&](TaskIndex index) { return is_blocked(job, index); }));
}

// Counts the whole capacity of each machine that has not answered yet or that lists tasks of an
// unknown job, as the team of such a job is unknown too.
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

void Recovery::update_unknown_tasks(Machine& machine, TimePoint now) {
  const bool has_unknown_task = std::any_of(
      machine.task_statuses.begin(), machine.task_statuses.end(), [&](const TaskStatus& status) {
        return status.state != TaskState::exited && !machine.tasks.contains(status.task);
      });
  if (has_unknown_task)
    unknown_tasks_since_.emplace(machine.id, now);
  else
    unknown_tasks_since_.erase(machine.id);
}

void Recovery::refresh() {
  possible_use_ = compute_possible_use();
  unconfirmed_offerings_.clear();
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id))
      unconfirmed_offerings_.insert({machine->type, machine->zone, machine->spot});
}

}  // namespace violetpulley::core
