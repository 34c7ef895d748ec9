#include "core/scheduling/gang_reservations.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::core {

TaskIndex slots_in(const Resources& free, const JobSpec& spec) {
  double slots = spec.tasks;
  const auto limit_by = [&](double available, double need) {
    if (need > 0)
      slots = std::min(slots, std::floor((available + Resources::kRoundingTolerance) / need));
  };
  limit_by(free.cpus, spec.per_task.cpus);
  limit_by(free.gpus, spec.per_task.gpus);
  limit_by(free.memory_gb, spec.per_task.memory_gb);
  return static_cast<TaskIndex>(std::max(0.0, slots));
}

GangReservation* GangReservations::find(const JobId& gang) {
  const auto found = reservations_.find(gang);
  return found == reservations_.end() ? nullptr : &found->second;
}

const GangReservation* GangReservations::find(const JobId& gang) const {
  const auto found = reservations_.find(gang);
  return found == reservations_.end() ? nullptr : &found->second;
}

GangReservation& GangReservations::open(const JobId& gang, const std::string& domain,
                                        TimePoint now) {
  auto& reservation = reservations_[gang];
  reservation.domain = domain;
  reservation.since = now;
  reservation.last_reserved = now;
  return reservation;
}

void GangReservations::close(Fleet& fleet, const JobId& gang) {
  const auto found = reservations_.find(gang);
  if (found == reservations_.end()) return;
  for (const auto& id : found->second.machines)
    if (auto* machine = fleet.find(id)) fleet.set(*machine, &Machine::reserved_for, JobId{});
  reservations_.erase(found);
}

void GangReservations::reserve(Fleet& fleet, const JobId& gang, Machine& machine) {
  fleet.set(machine, &Machine::reserved_for, gang);
  reservations_.at(gang).machines.insert(machine.id);
}

void GangReservations::release(Fleet& fleet, Machine& machine) {
  if (auto* reservation = find(machine.reserved_for)) reservation->machines.erase(machine.id);
  fleet.set(machine, &Machine::reserved_for, JobId{});
}

bool GangReservations::earlier_gang_is_short(const std::string& domain) const {
  return std::any_of(short_domains_.begin(), short_domains_.end(),
                     [&](const std::string& short_domain) {
                       return short_domain.empty() || domain.empty() || short_domain == domain;
                     });
}

bool GangReservations::allows_incomplete_reservation(const std::string& domain,
                                                     std::size_t zones) const {
  const auto max_short_domains = std::max<std::size_t>(1, zones / 2);
  return !earlier_gang_is_short(domain) && short_domains_.size() < max_short_domains;
}

}  // namespace violetpulley::core
