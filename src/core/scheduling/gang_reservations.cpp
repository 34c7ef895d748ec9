#include "core/scheduling/gang_reservations.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::core {

TaskIndex places_on(const Resources& free, const JobSpec& spec) {
  double places = spec.tasks;
  const auto consider = [&](double room, double need) {
    if (need > 0)
      places = std::min(places, std::floor((room + Resources::kRoundingTolerance) / need));
  };
  consider(free.cpus, spec.per_task.cpus);
  consider(free.gpus, spec.per_task.gpus);
  consider(free.memory_gb, spec.per_task.memory_gb);
  return static_cast<TaskIndex>(std::max(0.0, places));
}

GangReservation* GangReservations::find(const JobId& gang) {
  const auto found = reservations_.find(gang);
  return found == reservations_.end() ? nullptr : &found->second;
}

GangReservation& GangReservations::open(const JobId& gang, const std::string& region,
                                        TimePoint now) {
  auto& room = reservations_[gang];
  room.region = region;
  room.since = room.grown = now;
  return room;
}

void GangReservations::close(Fleet& fleet, const JobId& gang) {
  const auto found = reservations_.find(gang);
  if (found == reservations_.end()) return;
  for (const auto& id : found->second.machines)
    if (auto* machine = fleet.find(id)) fleet.set(*machine, &Machine::reserved_for, JobId{});
  reservations_.erase(found);
}

void GangReservations::claim(Fleet& fleet, const JobId& gang, Machine& machine) {
  fleet.set(machine, &Machine::reserved_for, gang);
  reservations_.at(gang).machines.insert(machine.id);
}

void GangReservations::release(Fleet& fleet, Machine& machine) {
  if (auto* room = find(machine.reserved_for)) room->machines.erase(machine.id);
  fleet.set(machine, &Machine::reserved_for, JobId{});
}

bool GangReservations::another_is_short(const std::string& region) const {
  return std::any_of(short_regions_.begin(), short_regions_.end(), [&](const std::string& other) {
    return other.empty() || region.empty() || other == region;
  });
}

}  // namespace violetpulley::core
