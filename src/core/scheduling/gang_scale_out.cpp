#include "core/scheduling/gang_scale_out.hpp"

#include <algorithm>

#include "core/model/limits.hpp"

namespace violetpulley::core {

namespace {

/// Scores with a smaller relative difference count as equal, so that rounding errors do not decide.
constexpr double kScoreTolerance = 1e-9;

/// Slots that one machine of the offering would provide, at most as many as are missing.
TaskIndex useful_slots(const InstanceOffering& offering, const JobSpec& spec, TaskIndex missing) {
  return std::min(slots_in(offering.type->capacity, spec), missing);
}

/// Appends one group per machine that is needed for this many slots.
void append_groups(const JobSpec& spec, const InstanceOffering& offering, TaskIndex needed,
                   std::vector<ScaleOutGroup>& groups) {
  const auto slots_per_machine = slots_in(offering.type->capacity, spec);
  while (needed > 0) {
    const auto slots = std::min(needed, slots_per_machine);
    groups.push_back({{}, spec.id, slots, ScaleOutRank::gang});
    needed -= slots;
  }
}

}  // namespace

void GangScaleOut::add_groups(const std::vector<Candidate>& queue,
                              const GangReservations& reservations, ScaleOutPlan& plan,
                              TimePoint now) const {
  const auto offerings = offerings_.available(now);
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    if (!job.gang()) continue;
    const auto& spec = job.spec();
    const auto* reservation = reservations.find(spec.id);
    if (reservation == nullptr || reservation->missing == 0) continue;
    Need need{job, *reservation, reserved_slots(spec, *reservation)};
    const auto* best = best_offering(need, offerings, now);
    if (best == nullptr) continue;
    const auto allowed_in_zone = max_tasks_in_zone(spec) - need.reserved_slots[best->zone];
    append_groups(spec, *best, std::min(reservation->missing, allowed_in_zone),
                  plan[{best->type->name, best->zone, best->spot}]);
  }
}

const InstanceOffering* GangScaleOut::best_offering(const Need& need,
                                                    const std::vector<InstanceOffering>& offerings,
                                                    TimePoint now) const {
  const auto missing = need.reservation.missing;
  const InstanceOffering* best = nullptr;
  double best_score = 0;
  for (const auto& offering : offerings) {
    if (!may_use(offering, need, now)) continue;
    const auto slots = useful_slots(offering, need.job.spec(), missing);
    if (slots == 0) continue;
    const auto machines = (missing + slots - 1) / slots;
    const double score = missing / (machines * offering.price);
    if (best != nullptr && score <= best_score * (1 + kScoreTolerance)) continue;
    best = &offering;
    best_score = score;
  }
  return best;
}

bool GangScaleOut::may_use(const InstanceOffering& offering, const Need& need,
                           TimePoint now) const {
  const auto& spec = need.job.spec();
  if (!need.reservation.covers_zone(offering.zone)) return false;
  if (!allowed_on(spec, offering.type->name, offering.zone, offering.spot)) return false;
  const auto reserved = need.reserved_slots.find(offering.zone);
  if (reserved != need.reserved_slots.end() && reserved->second >= max_tasks_in_zone(spec))
    return false;
  const bool waited =
      !spec.spot_allowed || forecaster_.age(need.job, now) > settings_.tuning.on_demand_wait;
  return waited || !catalog_.expensive(offering.type->name, offering.spot);
}

ZoneUse GangScaleOut::reserved_slots(const JobSpec& spec,
                                     const GangReservation& reservation) const {
  ZoneUse slots;
  for (const auto& id : reservation.machines)
    if (const auto* machine = fleet_.find(id))
      slots[machine->zone] += slots_in(machine->free_after_stops(), spec);
  return slots;
}

}  // namespace violetpulley::core
