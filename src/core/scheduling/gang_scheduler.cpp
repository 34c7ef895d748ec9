#include "core/scheduling/gang_scheduler.hpp"

#include <algorithm>

#include "core/jobs/each_assignment.hpp"
#include "core/model/limits.hpp"

namespace violetpulley::core {

namespace {

/// A reserved machine that has not booted after this multiple of its type's boot time, plus the
/// slack, leaves the reservation.
constexpr double kBootLateFactor = 1.5;
constexpr std::chrono::seconds kBootSlack{2};
/// A reserved machine that is up leaves the reservation if its registration is not committed within
/// this time.
constexpr std::chrono::seconds kRegistrationTimeout{5};
/// How long a gang that lacks slots waits before it may change to another placement domain.
constexpr std::chrono::seconds kDomainChangeDelay{3};

}  // namespace

void GangScheduler::place(const Candidate& candidate, const std::vector<Machine*>& schedulable,
                          TimePoint now) {
  auto& job = *candidate.job;
  const auto& spec = job.spec();
  // A gang is not queued while an unconfirmed machine may run its tasks. So if only some of its
  // tasks wait, the others belong to an attempt that has lost a task and must end.
  if (job.waiting.size() < job.tasks.size()) jobs_.mark_gang_broken(spec.id);
  if (!task_starter_.within_limit(spec, job.waiting.size()))
    return reservations_.close(fleet_, spec.id);
  if (job.waiting.size() == job.tasks.size()) {
    const auto slots = slot_finder_.best_complete_slots(job, schedulable, now);
    if (!slots.empty() && start(job, slots, now)) return reservations_.close(fleet_, spec.id);
  }
  reserve_machines(job, schedulable, now);
}

// Starts all tasks or none: every rule is checked for the whole gang before the first start, and
// again for each task by `TaskStarter::start`.
bool GangScheduler::start(Job& job, const std::vector<GangSlots>& slots, TimePoint now) {
  if (!can_start(job, slots, now)) return false;
  const auto attempt = task_starter_.next_attempt();
  TaskIndex index = 0;
  for (const auto& entry : slots)
    for (TaskIndex started = 0; started < entry.tasks; ++started, ++index)
      if (!task_starter_.start(job, index, *entry.machine, attempt, now)) {
        jobs_.mark_gang_broken(job.spec().id);
        return false;
      }
  jobs_.before_change(job);
  job.attempt = attempt;
  return true;
}

bool GangScheduler::can_start(const Job& job, const std::vector<GangSlots>& slots,
                              TimePoint now) const {
  const auto& spec = job.spec();
  if (job.waiting.size() != job.tasks.size() ||
      !task_starter_.within_limit(spec, job.waiting.size()))
    return false;
  ZoneUse zones;
  for (const auto& entry : slots) {
    zones[entry.machine->zone] += entry.tasks;
    const auto needed = spec.per_task * static_cast<double>(entry.tasks);
    if (!task_starter_.accepts_new_tasks(*entry.machine, now) ||
        !needed.fits_in(entry.machine->free()))
      return false;
  }
  if (spec.same_zone && zones.size() > 1) return false;
  return std::all_of(zones.begin(), zones.end(),
                     [&](const auto& zone) { return zone.second <= max_tasks_in_zone(spec); });
}

void GangScheduler::reserve_machines(Job& job, const std::vector<Machine*>& schedulable,
                                     TimePoint now) {
  const auto& spec = job.spec();
  if (back_off_if_stalled(job, now)) return;
  leave_blocked_domain(job, now);
  auto* reservation = find_or_open_reservation(job, schedulable, now);
  if (reservation == nullptr) return;
  GangSlotCount slots(spec);
  count_reserved(spec, *reservation, slots, now);
  count_ending_tasks(job, *reservation, slots, now);
  reserve_free_machines(job, *reservation, slots, schedulable, now);
  const auto covered = reservation->requested + slots.total();
  reservation->missing = spec.tasks > covered ? spec.tasks - covered : 0;
  if (reservation->is_short() && !offerings_.can_scale_out(spec, reservation->domain, now))
    preempt_or_close(job, *reservation, now);
}

// Reserved machines are unavailable to other jobs, so a reservation that stops growing must end.
bool GangScheduler::back_off_if_stalled(Job& job, TimePoint now) {
  const auto& id = job.spec().id;
  const auto* reservation = reservations_.find(id);
  if (reservation == nullptr || !reservation->is_short()) return false;
  if (now - reservation->last_reserved <= kMaxReservationTime) return false;
  reservations_.close(fleet_, id);
  jobs_.before_change(job);
  job.backoff_until = now + kReservationBackoff;
  return true;
}

void GangScheduler::leave_blocked_domain(const Job& job, TimePoint now) {
  const auto& spec = job.spec();
  const auto* reservation = reservations_.find(spec.id);
  if (reservation == nullptr || !reservation->is_short()) return;
  const auto& domain = reservation->domain;
  if (offerings_.can_scale_out(spec, domain, now)) return;
  const bool may_move = now - reservation->since > kDomainChangeDelay;
  if (reservations_.earlier_gang_is_short(domain) ||
      (may_move && can_scale_out_in_other_domain(spec, domain, now)))
    reservations_.close(fleet_, spec.id);
}

bool GangScheduler::can_scale_out_in_other_domain(const JobSpec& spec, const std::string& domain,
                                                  TimePoint now) const {
  const auto domains = slot_finder_.domains(spec);
  return std::any_of(domains.begin(), domains.end(), [&](const std::string& candidate) {
    return candidate != domain && offerings_.can_scale_out(spec, candidate, now);
  });
}

GangReservation* GangScheduler::find_or_open_reservation(const Job& job,
                                                         const std::vector<Machine*>& schedulable,
                                                         TimePoint now) {
  const auto& id = job.spec().id;
  if (auto* reservation = reservations_.find(id)) return reservation;
  const auto domain = slot_finder_.choose_domain(job, reservations_, schedulable, now);
  return domain ? &reservations_.open(id, *domain, now) : nullptr;
}

// Machines that cannot take tasks soon are removed from the reservation. For the others, capacity
// that stopping tasks are about to free counts as free.
void GangScheduler::count_reserved(const JobSpec& spec, const GangReservation& reservation,
                                   GangSlotCount& slots, TimePoint now) {
  const auto machines = reservation.machines;  // a copy, since release() changes the set
  for (const auto& id : machines) {
    auto* machine = fleet_.find(id);
    if (is_usable_soon(*machine, now))
      slots.add(machine->zone, slots_in(machine->free_after_stops(), spec));
    else
      reservations_.release(fleet_, *machine);
  }
}

// Tasks of a failed attempt that are still ending free their slots, so these count as available.
void GangScheduler::count_ending_tasks(const Job& job, const GangReservation& reservation,
                                       GangSlotCount& slots, TimePoint now) const {
  for (const auto& task : job.tasks) {
    if (task.phase != Phase::assigned) continue;
    const auto* machine = fleet_.find(task.machine);
    if (machine != nullptr && task_starter_.accepts_new_tasks(*machine, now) &&
        reservation.covers_zone(machine->zone))
      slots.add(machine->zone, 1);
  }
}

void GangScheduler::reserve_free_machines(const Job& job, GangReservation& reservation,
                                          GangSlotCount& slots,
                                          const std::vector<Machine*>& schedulable, TimePoint now) {
  const auto& spec = job.spec();
  for (const auto& free : slot_finder_.free_slots(job, reservation.domain, schedulable, now)) {
    if (reservation.requested + slots.total() >= spec.tasks) break;
    if (!free.machine->reserved_for.empty()) continue;
    reservations_.reserve(fleet_, spec.id, *free.machine);
    reservation.last_reserved = now;
    slots.add(free.machine->zone, free.tasks);
  }
}

void GangScheduler::preempt_or_close(const Job& job, GangReservation& reservation, TimePoint now) {
  if (!reservations_.allows_incomplete_reservation(reservation.domain, count_zones()))
    return reservations_.close(fleet_, job.spec().id);
  reservations_.mark_short(reservation.domain);
  preemption_.preempt_for_gang(job, reservation, reservations_, now);
}

bool GangScheduler::is_usable_soon(const Machine& machine, TimePoint now) const {
  if (machine.releasing || machine.draining || machine.quarantined || machine.notice_ends)
    return false;
  if (machine.up()) {
    const auto up_for = now - machine.up_since.value_or(now);
    return task_starter_.accepts_new_tasks(machine, now) ||
           (!machine.registered && up_for < kRegistrationTimeout);
  }
  const auto type = catalog_.types().find(machine.type);
  if (type == catalog_.types().end()) return false;
  return now - machine.requested_at < to_duration(type->second.boot * kBootLateFactor) + kBootSlack;
}

std::size_t GangScheduler::count_zones() const {
  std::set<std::string> zones;
  for (const auto& [name, type] : catalog_.types())
    zones.insert(type.zones.begin(), type.zones.end());
  return zones.size();
}

// A gang that has lost a task may only restart once all of its tasks have provably ended, so the
// remaining tasks are stopped. A task that is writing a checkpoint may finish it.
void GangScheduler::stop_broken_gangs(TimePoint now) {
  for (const auto& id : jobs_.take_broken_gangs()) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    for_each_assignment(fleet_, found->second,
                        [&](Machine& machine, const TaskKey&, Assignment& assignment) {
                          if (assignment.state != TaskState::checkpointing)
                            commands_.stop(machine, assignment, now);
                        });
    out_.request_scheduling_round();
  }
}

// A task whose start is confirmed reports its exit. No command would be sent for the others any
// more once the job is closed, and their assignments would stay (docs/incidents/seed-2588.md).
void GangScheduler::end_unconfirmed_starts(const Job& job, TimePoint now) {
  for_each_assignment(fleet_, job,
                      [&](Machine& machine, const TaskKey& key, Assignment& assignment) {
                        if (assignment.reported) return;
                        if (!CommandDispatcher::may_have_sent_start(machine, assignment))
                          return fleet_.unassign(machine, key);
                        fleet_.before_change(machine);
                        assignment.orphaned = true;
                        commands_.stop(machine, assignment, now);
                      });
}

// The tasks of a gang complete together, so one done task proves that all are done, also those on
// machines that have failed since.
void GangScheduler::complete_gang(Job& job, TimePoint now) {
  end_unconfirmed_starts(job, now);
  for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
    jobs_.task_done(job, index);
    if (index % kProgressChunk == 0) jobs_.progress_changed(job, index);
  }
  reservations_.close(fleet_, job.spec().id);
}

void GangScheduler::slots_requested(const JobId& gang, TaskIndex slots) {
  auto* reservation = reservations_.find(gang);
  if (reservation == nullptr) return;
  reservation->requested += slots;
  reservation->missing -= std::min(reservation->missing, slots);
}

void GangScheduler::request_answered(const JobId& gang, TaskIndex slots) {
  if (auto* reservation = reservations_.find(gang))
    reservation->requested -= std::min(reservation->requested, slots);
}

// If the gang has no reservation any more, or one in another domain, any job may use the machine.
void GangScheduler::machine_granted(const JobId& gang, Machine& machine) {
  const auto* reservation = reservations_.find(gang);
  if (reservation != nullptr && machine.reserved_for.empty() && machine.tasks.empty() &&
      reservation->covers_zone(machine.zone))
    reservations_.reserve(fleet_, gang, machine);
}

}  // namespace violetpulley::core
