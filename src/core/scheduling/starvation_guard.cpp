#include "core/scheduling/starvation_guard.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/model/limits.hpp"

namespace violetpulley::core {

namespace {
// Of the time in which a job must begin, the part after which it stands ahead: the rest is for a
// place that has to run free, an image and a boot.
constexpr double kStarvingAfter = 0.4;
constexpr double kStartsPerStartAhead = 8;  // starts, one of them ahead of the others
constexpr double kMaxCredit = 16;
constexpr double kLargest = 0.9;     // the largest tenth of a class's open jobs
constexpr double kGivenUpAfter = 2;  // it could not be helped, and leaves its place to the next
}  // namespace

bool StarvationGuard::starving(const Job& job, TimePoint now) const {
  const auto age = forecaster_.age(job, now);
  const auto within = settings_.tuning.begin_within;
  return !job.has_started && age > within * kStarvingAfter && age < within * kGivenUpAfter;
}

bool StarvationGuard::prioritized_whole(const Job& job, TimePoint now) const {
  const auto largest = largest_.find(job.spec().job_class);
  return !job.gang() && !job.service() && largest != largest_.end() &&
         job.tasks.size() >= largest->second &&
         forecaster_.age(job, now) > settings_.tuning.begin_within * kStarvingAfter;
}

void StarvationGuard::started(bool ahead) {
  credit_ =
      ahead ? std::max(0.0, credit_ - 1) : std::min(kMaxCredit, credit_ + 1 / kStartsPerStartAhead);
}

void StarvationGuard::new_round() {
  blocked_teams_.clear();
  largest_.clear();
  std::map<std::string, std::vector<TaskIndex>> sizes;
  for (const auto& [id, job] : jobs_)
    sizes[job.spec().job_class].push_back(static_cast<TaskIndex>(job.tasks.size()));
  for (auto& [name, all] : sizes) {
    const auto at = all.begin() + static_cast<long>(static_cast<double>(all.size()) * kLargest);
    std::nth_element(all.begin(), at, all.end());
    largest_[name] = *at;
  }
}

// What the team may use beside what it has running for good. A job that does not fit into that
// cannot be helped: found by seed 692 of Operations, where a gang of the size of its team's limit
// held up the team for ever, since replicas of the same team ran.
bool StarvationGuard::fits_in_time(const Job& job, std::size_t tasks) const {
  const auto& spec = job.spec();
  auto room = task_starter_.quota_left(spec.team);
  if (!room) return false;
  for (const auto& [id, machine] : fleet_.all())
    for (const auto& [key, assignment] : machine.tasks)
      if (assignment.team == spec.team && (assignment.shape != Shape::service || assignment.stop))
        *room += assignment.resources;
  return (spec.per_task * static_cast<double>(tasks)).fits_in(*room);
}

void StarvationGuard::note_not_started(const Job& job, TimePoint now) {
  const auto tasks = job.gang() ? job.waiting.size() : 1;
  if (job.has_started || task_starter_.within_limit(job.spec(), tasks)) return;
  if (!fits_in_time(job, tasks)) return;
  auto& left = yielded_quotas_[job.spec().team];
  if (now - left.last > kReservationPause) left.since = now;
  if (now - left.since >= kReservationTime) return;
  left.last = now;
  blocked_teams_.insert(job.spec().team);
}

void StarvationGuard::release_reservation() {
  if (auto* machine = fleet_.find(reserved_machine_);
      machine != nullptr && machine->reserved_for == reserved_for_job_)
    fleet_.set(*machine, &Machine::reserved_for, JobId{});
  reserved_machine_.clear();
  reserved_for_job_.clear();
}

bool StarvationGuard::waits(const Job& job, TimePoint now) const {
  return starving(job, now) && !job.gang() && now >= job.backoff_until &&
         task_starter_.startable(job) > 0 && task_starter_.within_limit(job.spec());
}

// When what runs there has made room for one of its tasks, if nothing else starts.
Seconds StarvationGuard::time_until_capacity(const Machine& machine, const JobSpec& spec,
                                             TimePoint now) const {
  auto free = machine.free();
  if (spec.per_task.fits_in(free)) return Seconds(0);
  std::vector<std::pair<Seconds, const Assignment*>> ends;
  for (const auto& [key, assignment] : machine.tasks)
    ends.emplace_back(assignment.shape == Shape::service && !assignment.stop
                          ? kEndless
                          : remaining_of(assignment, now),
                      &assignment);
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [left, assignment] : ends) {
    free += assignment->resources;
    if (spec.per_task.fits_in(free)) return left;
  }
  return kEndless;
}

void StarvationGuard::reserve_machine(const std::vector<Candidate>& queue, TimePoint now) {
  if (!reserved_machine_.empty()) {
    const auto job = jobs_.find(reserved_for_job_);
    const auto* machine = fleet_.find(reserved_machine_);
    const bool stays = job != jobs_.end() && waits(job->second, now) && machine != nullptr &&
                       machine->reserved_for == reserved_for_job_ &&
                       task_starter_.placeable(*machine, now);
    if (stays && now - reserved_since_ < kReservationTime) return;
    release_reservation();
    if (stays) no_reservation_before_ = now + kReservationPause;
  }
  if (now < no_reservation_before_) return;
  const auto first = std::find_if(queue.begin(), queue.end(), [&](const Candidate& candidate) {
    return candidate.starving && waits(*candidate.job, now);
  });
  if (first == queue.end()) return;
  const auto& spec = first->job->spec();
  const auto zones = task_starter_.zone_use(*first->job);
  Machine* best = nullptr;
  Seconds least = kEndless;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.reserved_for.empty() || bindings_.holds(id) || first->job->avoids(id, now))
      continue;
    if (!task_starter_.placeable(machine, now) || !spec.per_task.fits_in(machine.capacity))
      continue;
    if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) continue;
    if (!zone_allowed(spec, zones, machine.zone)) continue;
    const auto left = time_until_capacity(machine, spec, now);
    if (left >= least) continue;
    best = &machine;
    least = left;
  }
  if (best == nullptr) return;
  reserved_machine_ = best->id;
  reserved_for_job_ = spec.id;
  reserved_since_ = now;
  fleet_.set(*best, &Machine::reserved_for, reserved_for_job_);
}

}  // namespace violetpulley::core
