#include "core/scheduling/starvation_guard.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/model/limits.hpp"

namespace violetpulley::core {

namespace {

/// A job counts as starving after this fraction of the time in which it must start. The rest of
/// that time is for a machine to become free or to boot, and to fetch the image.
constexpr double kStarvingFromFraction = 0.4;
/// After this multiple of that time the job no longer counts as starving: prioritizing it has not
/// helped, so other jobs are prioritized.
constexpr double kStarvingUntilMultiple = 2;
/// Each prioritized start must be earned by this many other starts.
constexpr double kStartsPerPrioritizedStart = 8;
constexpr double kMaxPrioritizedStarts = 16;  // that may accumulate
/// The jobs of a class from this quantile of size on are its largest jobs.
constexpr double kLargestJobsQuantile = 0.9;

/// The time until an assignment is expected to end and free its resources.
struct ExpectedEnd {
  Seconds remaining_time;
  const Assignment* assignment;
};

bool ends_before(const ExpectedEnd& a, const ExpectedEnd& b) {
  return a.remaining_time < b.remaining_time;
}

/// Whether the assignment has no expected end: a replica that is not being stopped.
bool runs_indefinitely(const Assignment& assignment) {
  return assignment.shape == Shape::service && !assignment.stop;
}

std::vector<ExpectedEnd> expected_ends(const Machine& machine, TimePoint now) {
  std::vector<ExpectedEnd> ends;
  for (const auto& [key, assignment] : machine.tasks) {
    const auto remaining_time =
        runs_indefinitely(assignment) ? kUnboundedRunTime : remaining_of(assignment, now);
    ends.push_back({remaining_time, &assignment});
  }
  std::sort(ends.begin(), ends.end(), ends_before);
  return ends;
}

}  // namespace

bool StarvationGuard::starving(const Job& job, TimePoint now) const {
  const auto age = forecaster_.age(job, now);
  const auto allowed = settings_.tuning.begin_within;
  return !job.has_started && age > allowed * kStarvingFromFraction &&
         age < allowed * kStarvingUntilMultiple;
}

bool StarvationGuard::all_tasks_prioritized(const Job& job, TimePoint now) const {
  const auto largest = largest_job_sizes_.find(job.spec().job_class);
  return !job.gang() && !job.service() && largest != largest_job_sizes_.end() &&
         job.tasks.size() >= largest->second &&
         forecaster_.age(job, now) > settings_.tuning.begin_within * kStarvingFromFraction;
}

void StarvationGuard::update_prioritized_starts(const Candidate& candidate) {
  if (candidate.starving)
    prioritized_starts_ = std::max(0.0, prioritized_starts_ - 1);
  else
    prioritized_starts_ =
        std::min(kMaxPrioritizedStarts, prioritized_starts_ + 1 / kStartsPerPrioritizedStart);
}

void StarvationGuard::new_round() {
  blocked_teams_.clear();
  largest_job_sizes_.clear();
  std::map<std::string, std::vector<TaskIndex>> sizes_by_class;
  for (const auto& [id, job] : jobs_)
    sizes_by_class[job.spec().job_class].push_back(static_cast<TaskIndex>(job.tasks.size()));
  for (auto& [job_class, sizes] : sizes_by_class) {
    const auto rank = static_cast<long>(static_cast<double>(sizes.size()) * kLargestJobsQuantile);
    const auto quantile = sizes.begin() + rank;
    std::nth_element(sizes.begin(), quantile, sizes.end());
    largest_job_sizes_[job_class] = *quantile;
  }
}

// Counts the quota that the team's running replicas leave. Without this check a gang as large as
// its team's quota blocked the team indefinitely, because replicas of the same team kept running.
bool StarvationGuard::quota_suffices_in_time(const Job& job, std::size_t tasks) const {
  const auto& spec = job.spec();
  auto available = task_starter_.remaining_quota(spec.team);
  if (!available) return false;
  for (const auto& [id, machine] : fleet_.all())
    for (const auto& [key, assignment] : machine.tasks)
      if (assignment.team == spec.team && !runs_indefinitely(assignment))
        *available += assignment.resources;
  return (spec.per_task * static_cast<double>(tasks)).fits_in(*available);
}

void StarvationGuard::reserve_quota_if_blocked(const Job& job, TimePoint now) {
  const auto tasks = job.gang() ? job.waiting.size() : 1;
  if (job.has_started || task_starter_.within_limit(job.spec(), tasks)) return;
  if (!quota_suffices_in_time(job, tasks)) return;
  auto& reservation = quota_reservations_[job.spec().team];
  if (now - reservation.last_renewed > kReservationBackoff) reservation.since = now;
  if (now - reservation.since >= kMaxReservationTime) return;
  reservation.last_renewed = now;
  blocked_teams_.insert(job.spec().team);
}

bool StarvationGuard::needs_machine(const Job& job, TimePoint now) const {
  return starving(job, now) && !job.gang() && now >= job.backoff_until &&
         task_starter_.startable_tasks(job) > 0 && task_starter_.within_limit(job.spec());
}

bool StarvationGuard::reservation_is_valid(TimePoint now) const {
  const auto job = jobs_.find(reserved_for_job_);
  const auto* machine = fleet_.find(reserved_machine_);
  return job != jobs_.end() && needs_machine(job->second, now) && machine != nullptr &&
         machine->reserved_for == reserved_for_job_ &&
         task_starter_.accepts_new_tasks(*machine, now);
}

void StarvationGuard::release_reservation() {
  if (auto* machine = fleet_.find(reserved_machine_);
      machine != nullptr && machine->reserved_for == reserved_for_job_)
    fleet_.set(*machine, &Machine::reserved_for, JobId{});
  reserved_machine_.clear();
  reserved_for_job_.clear();
}

void StarvationGuard::expire_reservation(TimePoint now) {
  if (reserved_machine_.empty()) return;
  const bool valid = reservation_is_valid(now);
  if (valid && now - reserved_since_ < kMaxReservationTime) return;
  release_reservation();
  if (valid) no_reservation_before_ = now + kReservationBackoff;
}

void StarvationGuard::reserve_machine(const std::vector<Candidate>& queue, TimePoint now) {
  expire_reservation(now);
  if (!reserved_machine_.empty() || now < no_reservation_before_) return;
  const auto first = std::find_if(queue.begin(), queue.end(), [&](const Candidate& candidate) {
    return candidate.starving && needs_machine(*candidate.job, now);
  });
  if (first == queue.end()) return;
  auto* machine = soonest_free_machine(*first->job, now);
  if (machine == nullptr) return;
  reserved_machine_ = machine->id;
  reserved_for_job_ = first->job->spec().id;
  reserved_since_ = now;
  fleet_.set(*machine, &Machine::reserved_for, reserved_for_job_);
}

bool StarvationGuard::may_reserve(const Machine& machine, const Job& job, const ZoneUse& zones,
                                  TimePoint now) const {
  const auto& spec = job.spec();
  if (!machine.reserved_for.empty() || bindings_.has_group(machine.id)) return false;
  if (job.avoids(machine.id, now) || !task_starter_.accepts_new_tasks(machine, now)) return false;
  if (!spec.per_task.fits_in(machine.capacity)) return false;
  return allowed_on(spec, machine.type, machine.zone, machine.spot) &&
         zone_allowed(spec, zones, machine.zone);
}

Machine* StarvationGuard::soonest_free_machine(const Job& job, TimePoint now) {
  const auto zones = task_starter_.zone_use(job);
  Machine* soonest = nullptr;
  Seconds min_wait = kUnboundedRunTime;
  for (auto& [id, machine] : fleet_.all()) {
    if (!may_reserve(machine, job, zones, now)) continue;
    const auto wait = time_until_capacity(machine, job.spec(), now);
    if (wait >= min_wait) continue;
    soonest = &machine;
    min_wait = wait;
  }
  return soonest;
}

Seconds StarvationGuard::time_until_capacity(const Machine& machine, const JobSpec& spec,
                                             TimePoint now) const {
  auto free = machine.free();
  if (spec.per_task.fits_in(free)) return Seconds(0);
  for (const auto& end : expected_ends(machine, now)) {
    free += end.assignment->resources;
    if (spec.per_task.fits_in(free)) return end.remaining_time;
  }
  return kUnboundedRunTime;
}

}  // namespace violetpulley::core
