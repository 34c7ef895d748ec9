#include "core/failover/recovery.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"

namespace violetpulley::core {

// Until every machine registered at the takeover is accounted for, tasks of older jobs that were
// seen nowhere may be on any of the others (docs/safety.md, "One copy of a task", 3).
void Recovery::check(TimePoint proved) {
  if (!recovering_) return;
  // One that we have answered since, without knowing all that it runs, has its lease from us: its
  // report may have been answered unread, or an older order may have come after it.
  if (proved >= former_leases_end_)
    std::erase_if(unconfirmed_, [&](const MachineId& id) {
      const auto* machine = fleet_.find(id);
      return machine == nullptr || !machine->last_heartbeat ||
             proved - *machine->last_heartbeat > to_duration(full_lease());
    });
  if (!unconfirmed_.empty()) return;
  recovering_ = false;
  out_.want_placing();
}

void Recovery::former_leaders_gone(TimePoint now) {
  former_leases_end_ = std::min(former_leases_end_, now + to_duration(full_lease()));
}

// A task of an older job that was seen nowhere may be on an unconfirmed machine, if its job may run
// there at all: no leader ever starts a task where its job does not allow it.
bool Recovery::blocked_on_reconciliation(const Job& job) const {
  if (!recovering_ || !job.from_former_leader) return false;
  if (job.placements_complete) {
    return std::any_of(job.waiting.begin(), job.waiting.end(),
                       [&](TaskIndex i) { return recorded_in_doubt(job, i); });
  }
  return std::any_of(unconfirmed_kinds_.begin(), unconfirmed_kinds_.end(),
                     [&](const OfferingKey& kind) {
                       return allowed_on(job.spec(), kind.type, kind.zone, kind.spot);
                     });
}

// With records of all starts only those machines matter that the records name (docs/safety.md,
// "Committed starts").
bool Recovery::recorded_in_doubt(const Job& job, TaskIndex index) const {
  return index < job.placed.size() && unconfirmed_.contains(job.placed[index]);
}

bool Recovery::held(const Job& job, TaskIndex index) const {
  if (!recovering_ || !job.from_former_leader) return false;
  if (job.placements_complete && !job.gang()) return recorded_in_doubt(job, index);
  return blocked_on_reconciliation(job);
}

std::size_t Recovery::held(const Job& job) const {
  if (!recovering_ || !job.from_former_leader) return 0;
  if (!job.placements_complete || job.gang())
    return blocked_on_reconciliation(job) ? job.waiting.size() : 0;
  return static_cast<std::size_t>(std::count_if(job.waiting.begin(), job.waiting.end(),
                                                [&](TaskIndex i) { return held(job, i); }));
}

// What may be on machines beyond what is known: on a machine that has not answered yet, as much as
// it holds; the same while one lists tasks whose job has ended and whose team is unknown.
Resources Recovery::uncertain_use() const {
  Resources total;
  for (const auto& [id, since] : unknown_tasks_since_)
    if (const auto* machine = fleet_.find(id)) total += machine->capacity;
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id);
        machine != nullptr && !unknown_tasks_since_.contains(id))
      total += machine->capacity;
  return total;
}

// Live tasks of jobs that are unknown here take room and count for a team that is unknown.
void Recovery::update_unknown_tasks(Machine& machine, TimePoint now) {
  const bool foreign = std::any_of(
      machine.task_statuses.begin(), machine.task_statuses.end(), [&](const TaskStatus& entry) {
        return entry.state != TaskState::exited && !machine.tasks.contains(entry.task);
      });
  if (foreign)
    unknown_tasks_since_.emplace(machine.id, now);
  else
    unknown_tasks_since_.erase(machine.id);
}

void Recovery::refresh() {
  uncertain_ = uncertain_use();
  unconfirmed_kinds_.clear();
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id))
      unconfirmed_kinds_.insert({machine->type, machine->zone, machine->spot});
}

}  // namespace violetpulley::core
