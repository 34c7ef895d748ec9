#include "core/autoscaling/consolidation.hpp"

#include <algorithm>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

namespace {

constexpr Seconds kDefaultBootTime{60};  // of a machine type that is not in the catalog

/// Whether the machine runs replicas or tasks of gangs, which are not moved for consolidation. The
/// capacity that replicas leave free is used by other tasks, and moving a replica interrupts the
/// service; moving one task of a gang stops all of its tasks (docs/design.md, "Services", "Gangs").
bool has_unmovable_shape(const Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [](const auto& entry) { return entry.second.shape != Shape::array; });
}

}  // namespace

void Consolidation::consolidate(TimePoint now) {
  for (auto& [id, machine] : fleet_.all())
    if (machine.up() && !machine.releasing && !catalog_.types().empty()) consolidate(machine, now);
}

void Consolidation::consolidate(Machine& machine, TimePoint now) {
  if (is_exempt(machine)) {
    fleet_.set(machine, &Machine::idle_since, {});
    fleet_.set(machine, &Machine::underused_since, {});
    return;
  }
  if (is_idle(machine, now) && machine.confirmed) return check_idle(machine, now);
  fleet_.set(machine, &Machine::idle_since, {});
  check_utilization(machine, now);
}

// A machine in an outbound partition is idle only because no task is started there; the failure
// detector decides when it is returned. A machine that tasks are bound to must not be drained: it
// would take none of these tasks, and they would wait indefinitely.
bool Consolidation::is_exempt(const Machine& machine) const {
  return !machine.reserved_for.empty() || machine.outbound_partition_since ||
         bindings_.has_group(machine.id);
}

// A start that was never answered, of a job that has ended, does not count as use: only the return
// of the machine proves that the start will not be executed after all.
bool Consolidation::is_idle(const Machine& machine, TimePoint now) const {
  const auto lease = to_duration(settings_.workers.lease);
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    const auto& task = entry.second;
    return !task.reported && task.orphaned && now - task.placed > lease;
  });
}

void Consolidation::check_idle(Machine& machine, TimePoint now) {
  const auto& tuning = settings_.tuning;
  if (!machine.idle_since) fleet_.set(machine, &Machine::idle_since, {now});
  // On-demand machines do not count as expensive while some job may not use spot machines.
  const bool expensive = !scarcity_.has_on_demand_only_jobs() &&
                         catalog_.types().contains(machine.type) &&
                         catalog_.expensive(machine.type, machine.spot);
  const auto wait = expensive ? tuning.on_demand_idle_wait : tuning.idle_wait;
  const bool waited = now - *machine.idle_since >= to_duration(wait);
  if (waited || machine.draining) watch_.request_release(machine, "idle", now);
}

void Consolidation::check_utilization(Machine& machine, TimePoint now) {
  const auto& tuning = settings_.tuning;
  if (has_unmovable_shape(machine) || !underused(machine, tuning.consolidation_threshold)) {
    fleet_.set(machine, &Machine::underused_since, {});
    return;
  }
  if (!machine.underused_since) fleet_.set(machine, &Machine::underused_since, {now});
  if (machine.draining || now - *machine.underused_since < to_duration(tuning.consolidation_wait))
    return;
  fleet_.set(machine, &Machine::draining, true);
  if (may_restart_tasks(machine, now)) restart_tasks(machine, now);
}

bool Consolidation::may_restart_tasks(const Machine& machine, TimePoint now) const {
  const auto type = catalog_.types().find(machine.type);
  const auto boot = type == catalog_.types().end() ? kDefaultBootTime : type->second.boot;
  Seconds fetch{0};
  for (const auto& [key, assignment] : machine.tasks) {
    const auto job = jobs_.find(key.job);
    if (job == jobs_.end()) continue;
    if (job->second.tasks[key.index].restarted || assignment.stop) return false;
    fetch = std::max(fetch, fetch_time(job->second.spec(), machine.fetch_gb_per_s));
  }
  return worth_restarting(machine, now, boot, fetch);
}

void Consolidation::restart_tasks(Machine& machine, TimePoint now) {
  for (auto& [key, assignment] : machine.tasks) {
    const auto job = jobs_.find(key.job);
    if (job == jobs_.end()) continue;
    jobs_.before_change(job->second);
    job->second.tasks[key.index].restarted = true;
    jobs_.progress_changed(job->second, key.index);
    commands_.stop_with_checkpoint(machine, key, assignment, settings_.workers.lease, now);
  }
}

}  // namespace violetpulley::core
