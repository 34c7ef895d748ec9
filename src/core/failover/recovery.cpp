/// @file
/// End of the recovery, and which tasks are blocked until then.
#include "core/failover/recovery.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"

namespace violetpulley::core {

// Until every machine registered at the election is confirmed or gone, tasks of older jobs that
// were seen nowhere may be on any other machine (docs/safety.md, "One copy of a task", 3).
void Recovery::check(TimePoint last_proven) {
  if (!recovering_) return;
  // A machine that we have answered since, without knowing all its tasks, has its lease from us:
  // its heartbeat may have been answered unread, or a command of an older leader may have come
  // after it.
  if (last_proven >= former_leases_end_)
    std::erase_if(unconfirmed_, [&](const MachineId& id) {
      const auto* machine = fleet_.find(id);
      return machine == nullptr || !machine->last_heartbeat ||
             last_proven - *machine->last_heartbeat > to_duration(full_lease());
    });
  if (!unconfirmed_.empty()) return;
  recovering_ = false;
  out_.want_placing();
}

void Recovery::former_leaders_gone(TimePoint now) {
  former_leases_end_ = std::min(former_leases_end_, now + to_duration(full_lease()));
}

// A task of an older job that was seen nowhere may be on an unconfirmed machine if its job may run
// there at all: no leader starts a task where its job does not allow it.
bool Recovery::blocked_on_reconciliation(const Job& job) const {
  if (!recovering_ || !job.from_former_leader) return false;
  if (job.placements_complete) {
    return std::any_of(job.waiting.begin(), job.waiting.end(),
                       [&](TaskIndex index) { return is_recorded_on_unconfirmed(job, index); });
  }
  return std::any_of(unconfirmed_kinds_.begin(), unconfirmed_kinds_.end(),
                     [&](const OfferingKey& kind) {
                       return allowed_on(job.spec(), kind.type, kind.zone, kind.spot);
                     });
}

// If all starts are recorded, only the machines of the records matter (docs/safety.md, "Committed
// starts").
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

// The whole capacity of a machine that has not answered yet, and of a machine that lists tasks of
// an unknown job, whose team is unknown too.
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
  unconfirmed_kinds_.clear();
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id))
      unconfirmed_kinds_.insert({machine->type, machine->zone, machine->spot});
}

}  // namespace violetpulley::core
