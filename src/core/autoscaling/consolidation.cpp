#include "core/autoscaling/consolidation.hpp"

#include <algorithm>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

namespace {

/// Boot time of a machine whose type is not in the catalog.
constexpr Seconds kUnknownBootTime{60};

/// Whether the machine runs replicas or tasks of gangs. Other work fills what replicas leave free;
/// moving one costs replica time, and moving one task of a gang stops them all (docs/design.md,
/// "Services", "Gangs").
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
  if (is_kept(machine)) {
    fleet_.set(machine, &Machine::idle_since, {});
    fleet_.set(machine, &Machine::underused_since, {});
    return;
  }
  if (is_idle(machine, now) && machine.confirmed) return review_idle(machine, now);
  fleet_.set(machine, &Machine::idle_since, {});
  review_use(machine, now);
}

// A machine behind an outbound partition is idle because nothing is started there: how long it is
// waited for is the failure detector's to decide. A machine that tasks are bound to waits until it
// is ready: drained, it took no task, and the bound tasks waited for ever (seed 2647 of Hunted).
bool Consolidation::is_kept(const Machine& machine) const {
  return !machine.reserved_for.empty() || machine.outbound_partition_since ||
         bindings_.has_group(machine.id);
}

// A start that was never answered, of a job that has ended: nothing but the machine's return
// proves that it will not be executed yet.
bool Consolidation::is_idle(const Machine& machine, TimePoint now) const {
  const auto lease = to_duration(settings_.workers.lease);
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    const auto& task = entry.second;
    return !task.seen && task.orphaned && now - task.placed > lease;
  });
}

void Consolidation::review_idle(Machine& machine, TimePoint now) {
  const auto& tuning = settings_.tuning;
  if (!machine.idle_since) fleet_.set(machine, &Machine::idle_since, {now});
  // For work that may use no others, on-demand machines are not expensive.
  const bool expensive = !scarcity_.on_demand_only_work() &&
                         catalog_.types().contains(machine.type) &&
                         catalog_.expensive(machine.type, machine.spot);
  const auto wait = expensive ? tuning.on_demand_idle_wait : tuning.idle_wait;
  const bool waited = now - *machine.idle_since >= to_duration(wait);
  if (waited || machine.draining) watch_.request_release(machine, "idle", now);
}

void Consolidation::review_use(Machine& machine, TimePoint now) {
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
  const auto boot = type == catalog_.types().end() ? kUnknownBootTime : type->second.boot;
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
