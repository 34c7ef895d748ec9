#include "core/scheduling/preemption.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

namespace {

/// How well a machine suits a replica that replaces one of its tasks.
enum class Suitability { empty_of_replicas, has_replicas, has_image };

Suitability suitability(const Machine& machine, const std::string& image) {
  if (image_rank(machine, image) == ImageRank::present) return Suitability::has_image;
  const bool has_replicas =
      std::any_of(machine.tasks.begin(), machine.tasks.end(),
                  [](const auto& entry) { return entry.second.shape == Shape::service; });
  return has_replicas ? Suitability::has_replicas : Suitability::empty_of_replicas;
}

/// Sums the costs in the order of the machine's tasks.
Seconds cost_of_stopping_all(const Machine& machine, TimePoint now) {
  Seconds cost{0};
  for (const auto& [key, assignment] : machine.tasks) cost += cost_of_stop(assignment, now);
  return cost;
}

template <class Victim>
bool is_cheaper(const Victim& a, const Victim& b) {
  return a.cost < b.cost;
}

}  // namespace

bool Preemption::preemptible(const TaskKey& key, const Assignment& assignment,
                             Priority priority) const {
  if (assignment.shape != Shape::array || assignment.stop || assignment.orphaned) return false;
  const auto job = jobs_.find(key.job);
  return job != jobs_.end() && job->second.spec().priority < priority &&
         !job->second.tasks[key.index].restarted;
}

void Preemption::preempt(Machine& machine, const TaskKey& key, Seconds grace, TimePoint now) {
  auto& job = jobs_.at(key.job);
  jobs_.before_change(job);
  fleet_.before_change(machine);
  job.tasks[key.index].restarted = true;
  jobs_.progress_changed(job, key.index);
  auto& assignment = machine.tasks.at(key);
  assignment.preempted = true;
  commands_.stop_with_checkpoint(machine, key, assignment, grace, now);
}

void Preemption::preempt_for_services(const std::vector<Candidate>& queue, TimePoint now) {
  if (startable_replicas(queue) == 0) return;
  auto victims = find_victims(now);
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    if (job.service() && task_starter_.within_limit(job.spec()))
      preempt_for_service(job, victims, now);
  }
}

TaskIndex Preemption::startable_replicas(const std::vector<Candidate>& queue) const {
  TaskIndex replicas = 0;
  for (const auto& candidate : queue)
    if (candidate.job->service()) replicas += task_starter_.startable_tasks(*candidate.job);
  return replicas;
}

Preemption::Victims Preemption::find_victims(TimePoint now) {
  Victims victims;
  for (auto& [id, machine] : fleet_.all()) {
    if (!task_starter_.accepts_new_tasks(machine, now) || !machine.reserved_for.empty()) continue;
    for (const auto& [key, assignment] : machine.tasks) {
      if (assignment.preempted && assignment.stop) ++victims.stopping;
      if (preemptible(key, assignment, Priority::production))
        victims.tasks.push_back({&machine, key, cost_of_stop(assignment, now)});
    }
  }
  out_.count_inspections(fleet_.all().size());
  std::stable_sort(victims.tasks.begin(), victims.tasks.end(), is_cheaper<Victim>);
  return victims;
}

void Preemption::preempt_for_service(const Job& job, Victims& victims, TimePoint now) {
  const auto& spec = job.spec();
  auto zones = task_starter_.zone_use(job);
  auto needed = task_starter_.startable_tasks(job);
  const auto being_freed = std::min(needed, victims.stopping);
  needed -= being_freed;
  victims.stopping -= being_freed;
  // Machines with the image come first, then machines with other replicas, so that replicas
  // occupy fewer machines.
  for (const auto min_suitability :
       {Suitability::has_image, Suitability::has_replicas, Suitability::empty_of_replicas})
    for (auto& victim : victims.tasks) {
      if (needed == 0) return;
      if (victim.machine == nullptr) continue;
      auto& machine = *victim.machine;
      if (suitability(machine, spec.image) < min_suitability) continue;
      if (!fits_in_place_of(victim, spec, zones)) continue;
      ++zones[machine.zone];
      preempt(machine, victim.key, Seconds(0), now);
      victim.machine = nullptr;
      --needed;
    }
}

bool Preemption::fits_in_place_of(const Victim& victim, const JobSpec& spec,
                                  const ZoneUse& zones) const {
  const auto& machine = *victim.machine;
  const auto& freed = machine.tasks.at(victim.key).resources;
  if (!spec.per_task.fits_in(machine.free() + freed)) return false;
  if (spec.priority <= jobs_.at(victim.key.job).spec().priority) return false;
  return allowed_on(spec, machine.type, machine.zone, machine.spot) &&
         zone_allowed(spec, zones, machine.zone);
}

void Preemption::preempt_for_gang(const Job& job, GangReservation& reservation,
                                  GangReservations& reservations, TimePoint now) {
  for (const auto& victim : find_gang_victims(job, reservation.domain, now)) {
    if (reservation.missing == 0) return;
    reservations.reserve(fleet_, job.spec().id, *victim.machine);
    reservation.missing -= std::min(reservation.missing, victim.slots);
    preempt_all(*victim.machine, now);
  }
}

std::vector<Preemption::GangVictim> Preemption::find_gang_victims(const Job& job,
                                                                  const std::string& domain,
                                                                  TimePoint now) {
  const auto& spec = job.spec();
  std::vector<GangVictim> victims;
  for (auto& [id, machine] : fleet_.all()) {
    if (!may_host_gang(machine, job, domain, now)) continue;
    const auto slots = slots_in(machine.capacity, spec);
    if (slots > 0 && all_preemptible(machine, spec.priority))
      victims.push_back({&machine, slots, cost_of_stopping_all(machine, now)});
  }
  out_.count_inspections(fleet_.all().size());
  std::stable_sort(victims.begin(), victims.end(), is_cheaper<GangVictim>);
  return victims;
}

bool Preemption::may_host_gang(const Machine& machine, const Job& job, const std::string& domain,
                               TimePoint now) const {
  if (!domain.empty() && machine.zone != domain) return false;
  if (!task_starter_.accepts_new_tasks(machine, now) || !machine.reserved_for.empty()) return false;
  if (machine.tasks.empty() || bindings_.has_group(machine.id)) return false;
  if (job.avoids(machine.id, now)) return false;
  return allowed_on(job.spec(), machine.type, machine.zone, machine.spot);
}

bool Preemption::all_preemptible(const Machine& machine, Priority priority) const {
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    return preemptible(entry.first, entry.second, priority);
  });
}

// Iterates over a copy of the keys, since each stop may change the assignments.
void Preemption::preempt_all(Machine& machine, TimePoint now) {
  std::vector<TaskKey> keys;
  for (const auto& [key, assignment] : machine.tasks) keys.push_back(key);
  for (const auto& key : keys) preempt(machine, key, settings_.workers.lease, now);
}

}  // namespace violetpulley::core
