#include "core/scheduling/replica_consolidation.hpp"

#include <algorithm>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/autoscaling/scaler.hpp"
#include "core/model/limits.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

namespace {

/// At most one in this many replicas may be moving at a time (docs/design.md, "Sparse replicas").
constexpr std::size_t kReplicasPerConcurrentMove = 300;
constexpr std::chrono::milliseconds kPassInterval{1000};
/// Makes the threshold inclusive: a machine at exactly half of its capacity is worth draining,
/// since the replicas of two such machines fit on one.
constexpr double kThresholdSlack = 1e-6;

bool runs_only_replicas(const Machine& machine) {
  return !machine.tasks.empty() &&
         std::all_of(machine.tasks.begin(), machine.tasks.end(), [](const auto& entry) {
           return entry.second.shape == Shape::service && !entry.second.orphaned;
         });
}

/// Draining machines come first, then machines with the fewest replicas.
bool drained_before(const Machine* a, const Machine* b) {
  if (a->draining != b->draining) return a->draining;
  return a->tasks.size() < b->tasks.size();
}

}  // namespace

void ReplicaConsolidation::consolidate(TimePoint now) {
  if (now - last_pass_ < kPassInterval) return;
  last_pass_ = now;
  auto state = scan_fleet(now);
  const auto max_moving = std::max<std::size_t>(1, state.running / kReplicasPerConcurrentMove);
  std::stable_sort(state.sparse.begin(), state.sparse.end(), drained_before);
  for (auto* machine : state.sparse) {
    if (state.moving >= max_moving) return;
    const bool movable = can_move_all(*machine, state.targets);
    // If any replica cannot move, the machine is not drained and may take new tasks.
    fleet_.set(*machine, &Machine::draining, movable);
    if (movable) move_replicas(*machine, state.moving, max_moving, now);
  }
}

ReplicaConsolidation::FleetState ReplicaConsolidation::scan_fleet(TimePoint now) {
  FleetState state;
  for (auto& [id, machine] : fleet_.all()) scan_machine(machine, state, now);
  out_.count_inspections(fleet_.all().size());
  for (const auto& [id, job] : jobs_)
    if (job.service()) state.moving += job.waiting.size();
  return state;
}

void ReplicaConsolidation::scan_machine(Machine& machine, FleetState& state, TimePoint now) {
  for (const auto& [key, task] : machine.tasks)
    if (task.shape == Shape::service)
      ++(task.running_since && !task.stop ? state.running : state.moving);
  if (!runs_only_replicas(machine) || !machine.reserved_for.empty() ||
      bindings_.has_group(machine.id)) {
    fleet_.set(machine, &Machine::sparse_since, {});
    return;
  }
  if (task_starter_.accepts_new_tasks(machine, now)) state.targets.push_back(&machine);
  if (!underused(machine, settings_.tuning.consolidation_threshold + kThresholdSlack)) {
    fleet_.set(machine, &Machine::sparse_since, {});
    return;
  }
  if (!machine.sparse_since) fleet_.set(machine, &Machine::sparse_since, {now});
  if (is_drainable(machine, now)) state.sparse.push_back(&machine);
}

bool ReplicaConsolidation::is_drainable(const Machine& machine, TimePoint now) const {
  if (machine.draining) return true;
  const auto wait = to_duration(settings_.tuning.consolidation_wait);
  return now - *machine.sparse_since >= wait && task_starter_.accepts_new_tasks(machine, now);
}

bool ReplicaConsolidation::can_move_all(const Machine& machine,
                                        const std::vector<Machine*>& targets) const {
  PlannedMoves planned;
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    const auto& [key, assignment] = entry;
    const auto job = jobs_.find(key.job);
    if (job == jobs_.end() || job->second.tasks[key.index].restarted) return false;
    return assignment.stop || plan_move(job->second, machine, targets, planned);
  });
}

bool ReplicaConsolidation::plan_move(const Job& job, const Machine& from,
                                     const std::vector<Machine*>& targets,
                                     PlannedMoves& planned) const {
  const auto& spec = job.spec();
  const auto [entry, is_first] = planned.zones.try_emplace(spec.id);
  auto& zones = entry->second;
  if (is_first) zones = task_starter_.zone_use(job);
  if (const auto here = zones.find(from.zone); here != zones.end()) --here->second;
  const auto* target = find_target(spec, from, targets, planned, zones);
  if (target == nullptr) return false;
  planned.use[target->id] += spec.per_task;
  ++zones[target->zone];
  return true;
}

void ReplicaConsolidation::move_replicas(Machine& machine, std::size_t& moving,
                                         std::size_t max_moving, TimePoint now) {
  for (auto& [key, assignment] : machine.tasks) {
    if (moving >= max_moving) return;
    if (assignment.stop) continue;
    commands_.stop(machine, assignment, now);
    ++moving;
  }
}

Machine* ReplicaConsolidation::find_target(const JobSpec& spec, const Machine& from,
                                           const std::vector<Machine*>& targets,
                                           const PlannedMoves& planned, ZoneUse& zones) {
  for (auto* machine : targets) {
    if (machine->id == from.id || machine->draining) continue;
    const auto use = planned.use.find(machine->id);
    const auto free = use == planned.use.end() ? machine->free() : machine->free() - use->second;
    if (!spec.per_task.fits_in(free)) continue;
    if (image_rank(*machine, spec.image) != ImageRank::present) continue;
    if (!allowed_on(spec, machine->type, machine->zone, machine->spot)) continue;
    if (spec.same_zone && machine->zone != from.zone) continue;
    if (spec.spread && zones[machine->zone] + 1 > max_tasks_in_zone(spec)) continue;
    return machine;
  }
  return nullptr;
}

}  // namespace violetpulley::core
