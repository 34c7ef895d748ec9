#include "core/standing.hpp"

#include <algorithm>

#include "core/limits.hpp"
#include "core/scaler.hpp"

namespace violetpulley::core {

namespace {
// Of the time in which a job must begin, the part after which it stands ahead: the rest is for a
// place that has to run free, an image and a boot.
constexpr double kStandsAfter = 0.4;
constexpr double kLeadEvery = 8;  // starts, one of them ahead of the others
constexpr double kMostCredit = 16;
constexpr double kLargest = 0.9;     // the largest tenth of a class's open jobs
constexpr double kGivenUpAfter = 2;  // it could not be helped, and leaves its place to the next
}  // namespace

bool Standing::due(const Job& job, TimePoint now) const {
  const auto age = outlooks_.age(job, now);
  const auto within = settings_.tuning.begin_within;
  return !job.begun && age > within * kStandsAfter && age < within * kGivenUpAfter;
}

bool Standing::stands_whole(const Job& job, TimePoint now) const {
  const auto largest = largest_.find(job.spec().job_class);
  return !job.gang() && !job.service() && largest != largest_.end() &&
         job.tasks.size() >= largest->second &&
         outlooks_.age(job, now) > settings_.tuning.begin_within * kStandsAfter;
}

void Standing::started(bool ahead) {
  credit_ = ahead ? std::max(0.0, credit_ - 1) : std::min(kMostCredit, credit_ + 1 / kLeadEvery);
}

void Standing::new_round() {
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
bool Standing::fits_in_time(const Job& job, std::size_t tasks) const {
  const auto& spec = job.spec();
  auto room = starts_.room_of(spec.team);
  if (!room) return false;
  for (const auto& [id, machine] : fleet_.all())
    for (const auto& [key, assignment] : machine.tasks)
      if (assignment.team == spec.team && (assignment.shape != Shape::service || assignment.stop))
        *room += assignment.resources;
  return (spec.per_task * static_cast<double>(tasks)).fits_in(*room);
}

void Standing::passed(const Job& job, TimePoint now) {
  const auto tasks = job.gang() ? job.waiting.size() : 1;
  if (job.begun || starts_.within_limit(job.spec(), tasks)) return;
  if (!fits_in_time(job, tasks)) return;
  auto& left = limits_left_[job.spec().team];
  if (now - left.last > kTurn) left.since = now;
  if (now - left.since >= kKeptFor) return;
  left.last = now;
  blocked_teams_.insert(job.spec().team);
}

void Standing::let_go() {
  if (auto* machine = fleet_.find(held_); machine != nullptr && machine->reserved_for == held_for_)
    fleet_.set(*machine, &Machine::reserved_for, JobId{});
  held_.clear();
  held_for_.clear();
}

bool Standing::waits(const Job& job, TimePoint now) const {
  return due(job, now) && !job.gang() && now >= job.backoff_until && starts_.startable(job) > 0 &&
         starts_.within_limit(job.spec());
}

// When what runs there has made room for one of its tasks, if nothing else starts.
Seconds Standing::until_room(const Machine& machine, const JobSpec& spec, TimePoint now) const {
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

void Standing::hold(const std::vector<Candidate>& queue, TimePoint now) {
  if (!held_.empty()) {
    const auto job = jobs_.find(held_for_);
    const auto* machine = fleet_.find(held_);
    const bool stays = job != jobs_.end() && waits(job->second, now) && machine != nullptr &&
                       machine->reserved_for == held_for_ && starts_.placeable(*machine, now);
    if (stays && now - held_since_ < kKeptFor) return;
    let_go();
    if (stays) rests_until_ = now + kTurn;
  }
  if (now < rests_until_) return;
  const auto first = std::find_if(queue.begin(), queue.end(), [&](const Candidate& candidate) {
    return candidate.due && waits(*candidate.job, now);
  });
  if (first == queue.end()) return;
  const auto& spec = first->job->spec();
  const auto zones = starts_.zone_use(*first->job);
  Machine* best = nullptr;
  Seconds least = kEndless;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.reserved_for.empty() || bindings_.holds(id) || first->job->avoids(id, now))
      continue;
    if (!starts_.placeable(machine, now) || !spec.per_task.fits_in(machine.capacity)) continue;
    if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) continue;
    if (!zone_allowed(spec, zones, machine.zone)) continue;
    const auto left = until_room(machine, spec, now);
    if (left >= least) continue;
    best = &machine;
    least = left;
  }
  if (best == nullptr) return;
  held_ = best->id;
  held_for_ = spec.id;
  held_since_ = now;
  fleet_.set(*best, &Machine::reserved_for, held_for_);
}

}  // namespace violetpulley::core
