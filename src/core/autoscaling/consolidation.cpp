#include "core/autoscaling/consolidation.hpp"

#include <algorithm>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

void Consolidation::consolidate(TimePoint now) {
  const auto& tuning = settings_.tuning;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing || catalog_.types().empty()) continue;
    // A mute machine is idle because nothing is started there: how long it is waited for is
    // Contact's to decide. One that tasks are bound to waits for its turn: cleared, it took nobody,
    // and they waited for it for ever (seed 2647 of Hunted).
    if (!machine.reserved_for.empty() || machine.outbound_partition_since || bindings_.holds(id)) {
      fleet_.set(machine, &Machine::idle_since, {});
      fleet_.set(machine, &Machine::underused_since, {});
      continue;
    }
    // A start that was never answered, of a job that has ended: nothing but the machine's return
    // proves that it will not be executed yet.
    const bool only_limbo =
        std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
          const auto& task = entry.second;
          return !task.seen && task.orphaned &&
                 now - task.placed > to_duration(settings_.workers.lease);
        });
    if (only_limbo && machine.confirmed) {
      if (!machine.idle_since) fleet_.set(machine, &Machine::idle_since, {now});
      // For work that may use no others, ordinary machines are not dear.
      const bool expensive_offering = !scarcity_.ordinary_work() &&
                                      catalog_.types().contains(machine.type) &&
                                      catalog_.expensive(machine.type, machine.spot);
      const auto wait = expensive_offering ? tuning.on_demand_idle_wait : tuning.idle_wait;
      const bool waited = now - *machine.idle_since >= to_duration(wait);
      if (waited || machine.draining) watch_.request_release(machine, "idle", now);
      continue;
    }
    fleet_.set(machine, &Machine::idle_since, {});
    // Other work fills what replicas leave free; moving one costs replica time, and moving one task
    // of a gang stops them all (docs/design.md, "Services", "Gangs").
    const bool stays = std::any_of(machine.tasks.begin(), machine.tasks.end(),
                                   [](const auto& t) { return t.second.shape != Shape::array; });
    if (stays || !underused(machine, tuning.consolidation_threshold)) {
      fleet_.set(machine, &Machine::underused_since, {});
      continue;
    }
    if (!machine.underused_since) fleet_.set(machine, &Machine::underused_since, {now});
    if (machine.draining || now - *machine.underused_since < to_duration(tuning.consolidation_wait))
      continue;
    fleet_.set(machine, &Machine::draining, true);
    const auto type = catalog_.types().find(machine.type);
    Seconds boot = type == catalog_.types().end() ? Seconds(60) : type->second.boot;
    Seconds fetch{0};
    bool movable = true;
    for (const auto& [key, assignment] : machine.tasks) {
      const auto job = jobs_.find(key.job);
      if (job == jobs_.end()) continue;
      fetch = std::max(fetch, fetch_time(job->second.spec(), machine.fetch_gb_per_s));
      movable = movable && !job->second.tasks[key.index].restarted && !assignment.stop;
    }
    if (!movable || !worth_restarting(machine, now, boot, fetch)) continue;
    for (auto& [key, assignment] : machine.tasks) {
      const auto job = jobs_.find(key.job);
      if (job == jobs_.end()) continue;
      jobs_.before_change(job->second);
      job->second.tasks[key.index].restarted = true;
      jobs_.progress_changed(job->second, key.index);
      commands_.stop_with_checkpoint(machine, key, assignment, settings_.workers.lease, now);
    }
  }
}

}  // namespace violetpulley::core
