#include "core/scheduling/gang_scheduler.hpp"

#include <algorithm>
#include <tuple>

#include "core/jobs/each_assignment.hpp"
#include "core/model/limits.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

namespace {

// A machine that boots for longer than this times its usual time is no longer counted on.
constexpr double kLateForGang = 1.5;
constexpr std::chrono::seconds kBootSlack{2};
constexpr std::chrono::seconds kRegisters{5};
// A gang that cannot get on in its zone looks for another one after this.
constexpr std::chrono::seconds kMoveAfter{3};

}  // namespace

// The zones that a gang may collect in: one of them if it has to be together, else any.
std::vector<std::string> GangScheduler::regions(const JobSpec& spec) const {
  if (spec.zone) return {*spec.zone};
  if (!spec.same_zone) return {""};
  std::set<std::string> zones;
  for (const auto& [name, type] : catalog_.types())
    if (spec.per_task.fits_in(type.capacity))
      for (const auto& zone : type.zones) zones.insert(zone);
  return {zones.begin(), zones.end()};
}

// Places for the gang's tasks on machines that could take them now, best first, at most as many
// as it needs.
std::vector<GangScheduler::GangPlace> GangScheduler::places_for(const Job& job,
                                                                const std::string& region,
                                                                const std::vector<Machine*>& open,
                                                                TimePoint now) const {
  const auto& spec = job.spec();
  std::vector<GangPlace> found;
  for (auto* machine : open) {
    if (!region.empty() && machine->zone != region) continue;
    if (!machine->reserved_for.empty() && machine->reserved_for != spec.id) continue;
    if (bindings_.holds(machine->id) || job.avoids(machine->id, now)) continue;
    if (!allowed_on(spec, machine->type, machine->zone, machine->spot)) continue;
    const auto places = places_on(machine->free(), spec);
    if (places > 0) found.push_back({machine, places, image_rank(*machine, spec.image)});
  }
  std::stable_sort(found.begin(), found.end(), [&](const GangPlace& a, const GangPlace& b) {
    if (a.image_rank != b.image_rank) return a.image_rank > b.image_rank;
    return a.machine->reserved_for.size() > b.machine->reserved_for.size();
  });
  std::vector<GangPlace> out;
  ZoneUse use;
  TaskIndex left = spec.tasks;
  for (auto& place : found) {
    auto& here = use[place.machine->zone];
    place.tasks = std::min({place.tasks, left, max_tasks_in_zone(spec) - here});
    if (place.tasks == 0) continue;
    here += place.tasks;
    left -= place.tasks;
    out.push_back(place);
    if (left == 0) break;
  }
  return out;
}

TaskIndex GangScheduler::total(const std::vector<GangPlace>& places) {
  TaskIndex sum = 0;
  for (const auto& place : places) sum += place.tasks;
  return sum;
}

void GangScheduler::place(const Candidate& candidate, const std::vector<Machine*>& open,
                          TimePoint now) {
  auto& job = *candidate.job;
  const auto& spec = job.spec();
  // Every machine that it may be on is accounted for: what is not seen of it is lost.
  if (job.waiting.size() < job.tasks.size()) jobs_.note_broken(spec.id);
  if (!task_starter_.within_limit(spec, job.waiting.size()))
    return reservations_.close(fleet_, spec.id);
  if (job.waiting.size() == job.tasks.size()) {
    std::vector<GangPlace> best;
    TaskIndex max_holders = 0;
    for (const auto& region : regions(spec)) {
      auto places = places_for(job, region, open, now);
      if (total(places) < spec.tasks) continue;
      TaskIndex holders = 0;
      for (const auto& place : places) holders += place.image_rank == 2 ? place.tasks : 0;
      if (!best.empty() && holders <= max_holders) continue;
      best = std::move(places);
      max_holders = holders;
    }
    if (!best.empty() && start(job, best, now)) return reservations_.close(fleet_, spec.id);
  }
  collect(job, open, now);
}

// Starts all tasks or none. Everything is checked for the whole gang before the first start, and
// for each task again where it is made.
bool GangScheduler::start(Job& job, const std::vector<GangPlace>& places, TimePoint now) {
  const auto& spec = job.spec();
  if (job.waiting.size() != job.tasks.size() ||
      !task_starter_.within_limit(spec, job.waiting.size()))
    return false;
  ZoneUse zones;
  for (const auto& place : places) {
    zones[place.machine->zone] += place.tasks;
    const auto whole = spec.per_task * static_cast<double>(place.tasks);
    if (!task_starter_.placeable(*place.machine, now) || !whole.fits_in(place.machine->free()))
      return false;
  }
  if (spec.same_zone && zones.size() > 1) return false;
  for (const auto& [zone, count] : zones)
    if (count > max_tasks_in_zone(spec)) return false;
  const auto attempt = task_starter_.next_attempt();
  TaskIndex index = 0;
  for (const auto& place : places)
    for (TaskIndex n = 0; n < place.tasks; ++n, ++index)
      if (!task_starter_.start(job, index, *place.machine, attempt, now)) {
        jobs_.note_broken(spec.id);
        return false;
      }
  jobs_.before_change(job);
  job.attempt = attempt;
  return true;
}

bool GangScheduler::counts(const Machine& machine, TimePoint now) const {
  if (machine.releasing || machine.draining || machine.quarantined || machine.notice_ends)
    return false;
  if (machine.up())
    return task_starter_.placeable(machine, now) ||
           (!machine.registered && now - machine.up_since.value_or(now) < kRegisters);
  const auto type = catalog_.types().find(machine.type);
  if (type == catalog_.types().end()) return false;
  return now - machine.since < to_duration(type->second.boot * kLateForGang) + kBootSlack;
}

// Where a gang should collect: best where it finds enough at once, then where machines can be
// rented, then by how much is free. None if another gang is short wherever it could.
std::optional<std::string> GangScheduler::choose_region(const Job& job,
                                                        const std::vector<Machine*>& open,
                                                        TimePoint now) const {
  const auto& spec = job.spec();
  std::optional<std::string> best;
  std::tuple<bool, bool, TaskIndex> best_score{};
  for (const auto& region : regions(spec)) {
    const auto free = total(places_for(job, region, open, now));
    const bool can_scale_out = offerings_.rentable(spec, region, now);
    if (!can_scale_out && free < spec.tasks && reservations_.another_is_short(region)) continue;
    const std::tuple score{free >= spec.tasks, can_scale_out, free};
    if (best && score <= best_score) continue;
    best = region;
    best_score = score;
  }
  return best;
}

void GangScheduler::collect(Job& job, const std::vector<Machine*>& open, TimePoint now) {
  const auto& spec = job.spec();
  auto* room = reservations_.find(spec.id);
  // Others wait beside what it keeps: if it gets nothing more, they have a turn.
  if (room != nullptr && room->missing > 0 && room->asked == 0 &&
      now - room->grown > kReservationTime) {
    reservations_.close(fleet_, spec.id);
    jobs_.before_change(job);
    job.backoff_until = now + kReservationPause;
    return;
  }
  if (room != nullptr && room->missing > 0 && room->asked == 0 &&
      !offerings_.rentable(spec, room->region, now)) {
    const bool give_way = reservations_.another_is_short(room->region);
    bool elsewhere = false;
    if (now - room->since > kMoveAfter)
      for (const auto& region : regions(spec))
        elsewhere = elsewhere || (region != room->region && offerings_.rentable(spec, region, now));
    if (give_way || elsewhere) {
      reservations_.close(fleet_, spec.id);
      room = nullptr;
    }
  }
  if (room == nullptr) {
    const auto region = choose_region(job, open, now);
    if (!region) return;
    room = &reservations_.open(spec.id, *region, now);
  }
  ZoneUse use;
  const auto add = [&](const std::string& zone, TaskIndex places) {
    auto& here = use[zone];
    here = std::min(here + places, max_tasks_in_zone(spec));
  };
  for (const auto& id : std::set<MachineId>(room->machines)) {
    auto* machine = fleet_.find(id);
    if (!counts(*machine, now))
      reservations_.release(fleet_, *machine);
    else
      add(machine->zone, places_on(machine->free_after_stops(), spec));
  }
  // Where its tasks of an attempt that has failed still end, their places come back.
  for (const auto& task : job.tasks)
    if (task.phase == Phase::assigned)
      if (const auto* machine = fleet_.find(task.machine);
          machine != nullptr && task_starter_.placeable(*machine, now) &&
          (room->region.empty() || room->region == machine->zone))
        add(machine->zone, 1);
  const auto covered = [&] {
    TaskIndex sum = room->asked;
    for (const auto& [zone, places] : use) sum += places;
    return sum;
  };
  for (const auto& place : places_for(job, room->region, open, now)) {
    if (covered() >= spec.tasks) break;
    if (!place.machine->reserved_for.empty()) continue;
    reservations_.claim(fleet_, spec.id, *place.machine);
    room->grown = now;
    add(place.machine->zone, place.tasks);
  }
  const auto sum = covered();
  room->missing = spec.tasks > sum ? spec.tasks - sum : 0;
  if (room->missing > 0 && room->asked == 0 && !offerings_.rentable(spec, room->region, now)) {
    std::set<std::string> zones;
    for (const auto& [name, type] : catalog_.types())
      zones.insert(type.zones.begin(), type.zones.end());
    if (!reservations_.may_be_short(room->region, zones.size()))
      return reservations_.close(fleet_, spec.id);
    reservations_.note_short(room->region);
    preemption_.preempt_for_gang(job, *room, reservations_, now);
  }
}

// The gang is one group over several machines: scored whole on type, zone and kind, and rented in
// as few calls as can be.
void GangScheduler::add_scale_out_groups(const std::vector<Candidate>& queue, ScaleOutPlan& chosen,
                                         TimePoint now) {
  const auto options = offerings_.options(now);
  for (const auto& candidate : queue) {
    if (!candidate.job->gang()) continue;
    const auto& job = *candidate.job;
    const auto& spec = job.spec();
    const auto* room = reservations_.find(spec.id);
    if (room == nullptr || room->missing == 0) continue;
    ZoneUse claimed;
    for (const auto& id : room->machines)
      if (const auto* machine = fleet_.find(id))
        claimed[machine->zone] += places_on(machine->free_after_stops(), spec);
    const InstanceOffering* best = nullptr;
    double best_score = 0;
    for (const auto& option : options) {
      if (!room->region.empty() && option.zone != room->region) continue;
      if (!allowed_on(spec, option.type->name, option.zone, option.spot)) continue;
      if (claimed[option.zone] >= max_tasks_in_zone(spec)) continue;
      const bool waited =
          !spec.spot_allowed || forecaster_.age(job, now) > settings_.tuning.on_demand_patience;
      if (!waited && catalog_.expensive(option.type->name, option.spot)) continue;
      const auto places = std::min(places_on(option.type->capacity, spec), room->missing);
      if (places == 0) continue;
      const auto machines = (room->missing + places - 1) / places;
      const double score = room->missing / (machines * option.price);
      if (best != nullptr && score <= best_score * (1 + 1e-9)) continue;
      best = &option;
      best_score = score;
    }
    if (best == nullptr) continue;
    auto& groups = chosen[{best->type->name, best->zone, best->spot}];
    const auto each = places_on(best->type->capacity, spec);
    auto left = std::min(room->missing, max_tasks_in_zone(spec) - claimed[best->zone]);
    while (left > 0) {
      const auto places = std::min(left, each);
      groups.push_back({{}, spec.id, places, ScaleOutRank::gang});
      left -= places;
    }
  }
}

// All tasks of a gang that has lost one must be proven gone before it starts anew: those that have
// not noticed are stopped. What saves is left to it.
void GangScheduler::restart_broken(TimePoint now) {
  for (const auto& id : jobs_.take_broken()) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    each_on_machines(fleet_, found->second,
                     [&](Machine& machine, const TaskKey&, Assignment& assignment) {
                       if (assignment.state != TaskState::checkpointing)
                         commands_.stop(machine, assignment, now);
                     });
    out_.want_placing();
  }
}

// One task that is done proves that all are, also those on machines that died since.
void GangScheduler::done(Job& job) {
  for (TaskIndex i = 0; i < job.tasks.size(); ++i) {
    jobs_.task_done(job, i);
    if (i % kProgressChunk == 0) jobs_.progress_changed(job, i);
  }
  reservations_.close(fleet_, job.spec().id);
}

void GangScheduler::asked(const JobId& gang, TaskIndex places) {
  auto* room = reservations_.find(gang);
  if (room == nullptr) return;
  room->asked += places;
  room->missing -= std::min(room->missing, places);
}

void GangScheduler::answered(const JobId& gang, TaskIndex places) {
  if (auto* room = reservations_.find(gang)) room->asked -= std::min(room->asked, places);
}

// A gang that has moved on leaves its machine to anyone.
void GangScheduler::granted(const JobId& gang, Machine& machine) {
  const auto* room = reservations_.find(gang);
  if (room != nullptr && machine.reserved_for.empty() && machine.tasks.empty() &&
      (room->region.empty() || room->region == machine.zone))
    reservations_.claim(fleet_, gang, machine);
}

}  // namespace violetpulley::core
