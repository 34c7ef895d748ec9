#include "core/scheduling/preemption.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

bool Preemption::preemptible(const TaskKey& key, const Assignment& assignment,
                             Priority priority) const {
  if (assignment.shape != Shape::array || assignment.stop || assignment.orphaned) return false;
  const auto job = jobs_.find(key.job);
  return job != jobs_.end() && job->second.spec().priority < priority &&
         !job->second.tasks[key.index].restarted;
}

void Preemption::preempt(Machine& machine, const TaskKey& key, Seconds available, TimePoint now) {
  auto& job = jobs_.at(key.job);
  jobs_.before_change(job);
  fleet_.before_change(machine);
  job.tasks[key.index].restarted = true;
  jobs_.progress_changed(job, key.index);
  auto& assignment = machine.tasks.at(key);
  assignment.preempted = true;
  commands_.stop_with_checkpoint(machine, key, assignment, available, now);
}

// Replicas that found no place get that of another task, at once and without a save: users wait.
void Preemption::preempt_for_services(const std::vector<Candidate>& queue, TimePoint now) {
  TaskIndex needed = 0;
  for (const auto& candidate : queue)
    if (candidate.job->service()) needed += task_starter_.startable(*candidate.job);
  if (needed == 0) return;
  struct Victim {
    Machine* machine;
    TaskKey key;
    Seconds cost;
  };
  std::vector<Victim> victims;
  TaskIndex coming = 0;
  for (auto& [id, machine] : fleet_.all()) {
    if (!task_starter_.placeable(machine, now) || !machine.reserved_for.empty()) continue;
    for (const auto& [key, assignment] : machine.tasks) {
      if (assignment.preempted && assignment.stop) ++coming;
      if (preemptible(key, assignment, Priority::production))
        victims.push_back({&machine, key, cost_of_stop(assignment, now)});
    }
  }
  out_.note_inspections(fleet_.all().size());
  std::stable_sort(victims.begin(), victims.end(),
                   [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    const auto& spec = job.spec();
    if (!job.service() || !task_starter_.within_limit(spec)) continue;
    auto zones = task_starter_.zone_use(job);
    auto wanted = task_starter_.startable(job);
    const auto spared = std::min(wanted, coming);  // room that is coming already
    wanted -= spared;
    coming -= spared;
    // First where the image is, then where other replicas are: whole machines stay free.
    for (const int least : {2, 1, 0})
      for (auto& victim : victims) {
        if (wanted == 0) break;
        if (victim.machine == nullptr) continue;
        auto& machine = *victim.machine;
        const bool shared = std::any_of(machine.tasks.begin(), machine.tasks.end(),
                                        [](auto& t) { return t.second.shape == Shape::service; });
        const int rank = image_rank(machine, spec.image) == 2 ? 2 : shared ? 1 : 0;
        const auto& room = machine.tasks.at(victim.key).resources;
        if (rank < least || !spec.per_task.fits_in(machine.free() + room)) continue;
        if (spec.priority <= jobs_.at(victim.key.job).spec().priority) continue;
        if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) continue;
        if (!zone_allowed(spec, zones, machine.zone)) continue;
        ++zones[machine.zone];
        preempt(machine, victim.key, Seconds(0), now);
        victim.machine = nullptr;
        --wanted;
      }
  }
}

// A gang that cannot rent what it misses gets whole machines on which only lesser work runs. They
// are its own from the first stop on, so that no more is stopped than it asked for.
void Preemption::preempt_for_gang(const Job& job, GangReservation& room,
                                  GangReservations& reservations, TimePoint now) {
  const auto& spec = job.spec();
  struct Place {
    Machine* machine;
    TaskIndex tasks;
    Seconds cost;
  };
  std::vector<Place> places;
  for (auto& [id, machine] : fleet_.all()) {
    if (!room.region.empty() && machine.zone != room.region) continue;
    if (!task_starter_.placeable(machine, now) || !machine.reserved_for.empty() ||
        machine.tasks.empty())
      continue;
    if (bindings_.holds(id) || job.avoids(id, now)) continue;
    if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) continue;
    Seconds cost{0};
    bool all = true;
    for (const auto& [key, assignment] : machine.tasks) {
      all = all && preemptible(key, assignment, spec.priority);
      cost += cost_of_stop(assignment, now);
    }
    const auto tasks = places_on(machine.capacity, spec);
    if (all && tasks > 0) places.push_back({&machine, tasks, cost});
  }
  out_.note_inspections(fleet_.all().size());
  std::stable_sort(places.begin(), places.end(),
                   [](const Place& a, const Place& b) { return a.cost < b.cost; });
  for (const auto& place : places) {
    if (room.missing == 0) return;
    reservations.claim(fleet_, spec.id, *place.machine);
    room.missing -= std::min(room.missing, place.tasks);
    std::vector<TaskKey> keys;
    for (const auto& [key, assignment] : place.machine->tasks) keys.push_back(key);
    for (const auto& key : keys) preempt(*place.machine, key, settings_.workers.lease, now);
  }
}

}  // namespace violetpulley::core
