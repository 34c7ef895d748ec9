#include "core/scheduling/replica_consolidation.hpp"

#include <algorithm>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/autoscaling/scaler.hpp"
#include "core/model/limits.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

namespace {
// One replica in so many may be on the move.
constexpr std::size_t kReplicasPerMove = 300;
constexpr std::chrono::milliseconds kGatherEvery{1000};
}  // namespace

// Where a replica could go: beside other replicas, with its image, in a zone that its job allows.
Machine* ReplicaConsolidation::place_for(const Job& job, const Machine& from,
                                         const std::vector<Machine*>& hosts,
                                         const std::map<MachineId, Resources>& taken) const {
  const auto& spec = job.spec();
  auto zones = task_starter_.zone_use(job);
  if (const auto here = zones.find(from.zone); here != zones.end()) --here->second;
  for (auto* machine : hosts) {
    if (machine->id == from.id || machine->draining) continue;
    const auto claimed = taken.find(machine->id);
    const auto room = claimed == taken.end() ? machine->free() : machine->free() - claimed->second;
    if (!spec.per_task.fits_in(room) || image_rank(*machine, spec.image) < 2) continue;
    if (!allowed_on(spec, machine->type, machine->zone, machine->spot)) continue;
    if (spec.same_zone && machine->zone != from.zone) continue;
    if (spec.spread && zones[machine->zone] + 1 > max_tasks_in_zone(spec)) continue;
    return machine;
  }
  return nullptr;
}

void ReplicaConsolidation::consolidate(TimePoint now) {
  if (now - last_gather_ < kGatherEvery) return;
  last_gather_ = now;
  std::size_t replicas = 0;
  std::size_t moving = 0;
  std::vector<Machine*> hosting;
  std::vector<Machine*> sparse;
  for (auto& [id, machine] : fleet_.all()) {
    const bool hosts = !machine.tasks.empty() &&
                       std::all_of(machine.tasks.begin(), machine.tasks.end(), [](const auto& t) {
                         return t.second.shape == Shape::service && !t.second.orphaned;
                       });
    for (const auto& [key, task] : machine.tasks)
      if (task.shape == Shape::service) ++(task.running_since && !task.stop ? replicas : moving);
    if (!hosts || !machine.reserved_for.empty() || bindings_.holds(id)) {
      fleet_.set(machine, &Machine::sparse_since, {});
      continue;
    }
    if (task_starter_.placeable(machine, now)) hosting.push_back(&machine);
    // At half of its room or less it is worth clearing: two such machines make one.
    if (!underused(machine, settings_.tuning.consolidation_threshold + 1e-6)) {
      fleet_.set(machine, &Machine::sparse_since, {});
      continue;
    }
    if (!machine.sparse_since) fleet_.set(machine, &Machine::sparse_since, {now});
    if (machine.draining ||
        (now - *machine.sparse_since >= to_duration(settings_.tuning.consolidation_wait) &&
         task_starter_.placeable(machine, now)))
      sparse.push_back(&machine);
  }
  out_.note_inspections(fleet_.all().size());
  for (const auto& [id, job] : jobs_)
    if (job.service()) moving += job.waiting.size();
  const auto most = std::max<std::size_t>(1, replicas / kReplicasPerMove);
  // Those being cleared come first, then those with the fewest replicas.
  std::stable_sort(sparse.begin(), sparse.end(), [](const Machine* a, const Machine* b) {
    if (a->draining != b->draining) return a->draining;
    return a->tasks.size() < b->tasks.size();
  });
  for (auto* machine : sparse) {
    if (moving >= most) return;
    std::map<MachineId, Resources> taken;
    const bool all = std::all_of(machine->tasks.begin(), machine->tasks.end(), [&](auto& entry) {
      const auto job = jobs_.find(entry.first.job);
      if (job == jobs_.end() || job->second.tasks[entry.first.index].restarted) return false;
      if (entry.second.stop) return true;
      auto* target = place_for(job->second, *machine, hosting, taken);
      if (target == nullptr) return false;
      taken[target->id] += entry.second.resources;
      return true;
    });
    if (!all) {
      fleet_.set(*machine, &Machine::draining,
                 false);  // its replicas stay, and others may join them
      continue;
    }
    fleet_.set(*machine, &Machine::draining, true);
    for (auto& [key, assignment] : machine->tasks) {
      if (moving >= most) return;
      if (assignment.stop) continue;
      commands_.stop(*machine, assignment, now);
      ++moving;
    }
  }
}

}  // namespace violetpulley::core
