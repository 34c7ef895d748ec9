#include "core/scheduling/gang_slots.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {

/// How well a placement domain suits a gang; compared field by field.
struct DomainScore {
  bool fits_now = false;
  bool can_scale_out = false;
  TaskIndex free_slots = 0;

  friend auto operator<=>(const DomainScore&, const DomainScore&) = default;
};

/// Machines with the image come first, then machines that are reserved for the gang.
bool is_better(const GangSlots& a, const GangSlots& b) {
  if (a.image_rank != b.image_rank) return a.image_rank > b.image_rank;
  return a.machine->reserved_for.size() > b.machine->reserved_for.size();
}

/// The first slots of the list, at most as many as the gang needs in total and may use in each
/// zone.
std::vector<GangSlots> take_needed(const std::vector<GangSlots>& available, const JobSpec& spec) {
  std::vector<GangSlots> taken;
  ZoneUse use;
  TaskIndex needed = spec.tasks;
  for (auto slots : available) {
    auto& used_in_zone = use[slots.machine->zone];
    slots.tasks = std::min({slots.tasks, needed, max_tasks_in_zone(spec) - used_in_zone});
    if (slots.tasks == 0) continue;
    used_in_zone += slots.tasks;
    needed -= slots.tasks;
    taken.push_back(slots);
    if (needed == 0) break;
  }
  return taken;
}

TaskIndex slots_with_image(const std::vector<GangSlots>& slots) {
  TaskIndex tasks = 0;
  for (const auto& entry : slots)
    if (entry.image_rank == ImageRank::present) tasks += entry.tasks;
  return tasks;
}

}  // namespace

TaskIndex total_slots(const std::vector<GangSlots>& slots) {
  TaskIndex total = 0;
  for (const auto& entry : slots) total += entry.tasks;
  return total;
}

void GangSlotCount::add(const std::string& zone, TaskIndex slots) {
  auto& in_zone = by_zone_[zone];
  in_zone = std::min(in_zone + slots, max_in_zone_);
}

TaskIndex GangSlotCount::total() const {
  TaskIndex total = 0;
  for (const auto& [zone, slots] : by_zone_) total += slots;
  return total;
}

std::vector<std::string> GangSlotFinder::domains(const JobSpec& spec) const {
  if (spec.zone) return {*spec.zone};
  if (!spec.same_zone) return {""};
  std::set<std::string> zones;
  for (const auto& [name, type] : catalog_.types())
    if (spec.per_task.fits_in(type.capacity)) zones.insert(type.zones.begin(), type.zones.end());
  return {zones.begin(), zones.end()};
}

bool GangSlotFinder::may_use(const Machine& machine, const Job& job, const std::string& domain,
                             TimePoint now) const {
  const auto& spec = job.spec();
  if (!domain.empty() && machine.zone != domain) return false;
  if (!machine.reserved_for.empty() && machine.reserved_for != spec.id) return false;
  if (bindings_.has_group(machine.id) || job.avoids(machine.id, now)) return false;
  return allowed_on(spec, machine.type, machine.zone, machine.spot);
}

std::vector<GangSlots> GangSlotFinder::slots_on_machines(const Job& job, const std::string& domain,
                                                         const std::vector<Machine*>& schedulable,
                                                         TimePoint now) const {
  const auto& spec = job.spec();
  std::vector<GangSlots> slots;
  for (auto* machine : schedulable) {
    if (!may_use(*machine, job, domain, now)) continue;
    const auto tasks = slots_in(machine->free(), spec);
    if (tasks > 0) slots.push_back({machine, tasks, image_rank(*machine, spec.image)});
  }
  std::stable_sort(slots.begin(), slots.end(), is_better);
  return slots;
}

std::vector<GangSlots> GangSlotFinder::free_slots(const Job& job, const std::string& domain,
                                                  const std::vector<Machine*>& schedulable,
                                                  TimePoint now) const {
  return take_needed(slots_on_machines(job, domain, schedulable, now), job.spec());
}

std::vector<GangSlots> GangSlotFinder::best_complete_slots(const Job& job,
                                                           const std::vector<Machine*>& schedulable,
                                                           TimePoint now) const {
  std::vector<GangSlots> best;
  TaskIndex max_with_image = 0;
  for (const auto& domain : domains(job.spec())) {
    auto slots = free_slots(job, domain, schedulable, now);
    if (total_slots(slots) < job.spec().tasks) continue;
    const auto with_image = slots_with_image(slots);
    if (!best.empty() && with_image <= max_with_image) continue;
    best = std::move(slots);
    max_with_image = with_image;
  }
  return best;
}

std::optional<std::string> GangSlotFinder::choose_domain(const Job& job,
                                                         const GangReservations& reservations,
                                                         const std::vector<Machine*>& schedulable,
                                                         TimePoint now) const {
  const auto& spec = job.spec();
  std::optional<std::string> best;
  DomainScore best_score;
  for (const auto& domain : domains(spec)) {
    DomainScore score;
    score.free_slots = total_slots(free_slots(job, domain, schedulable, now));
    score.fits_now = score.free_slots >= spec.tasks;
    score.can_scale_out = offerings_.can_scale_out(spec, domain, now);
    if (!score.can_scale_out && !score.fits_now && reservations.earlier_gang_is_short(domain))
      continue;
    if (best && score <= best_score) continue;
    best = domain;
    best_score = score;
  }
  return best;
}

}  // namespace violetpulley::core
