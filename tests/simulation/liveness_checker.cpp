#include "simulation/liveness_checker.hpp"

#include <algorithm>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr Seconds kMinReportedWait{45};

}  // namespace

void LivenessChecker::check(const LiveTasks& live) {
  if (fault_lasts()) return waiting_since_.clear();
  std::map<TaskKey, TimePoint> waiting;
  for (const auto& [id, record] : store_.jobs) {
    const auto& spec = facts_.specs.at(id);
    if (spec.shape != Shape::gang) check_job(spec, live, waiting);
  }
  waiting_since_ = std::move(waiting);
}

bool LivenessChecker::fault_lasts() const {
  const auto now = environment_.now();
  if (store_.fault_active() || !leaders_.has_single_leader()) return true;
  if (now - leaders_.elected_at() < kStep) return true;
  const auto& agents = fleet_.all();
  return std::any_of(agents.begin(), agents.end(),
                     [&](const auto& entry) { return entry.second.hangs_or_partitioned(now); });
}

void LivenessChecker::check_job(const JobSpec& spec, const LiveTasks& live,
                                std::map<TaskKey, TimePoint>& waiting) {
  std::vector<TaskKey> missing;
  for (TaskIndex i = 0; i < spec.tasks; ++i) {
    const TaskKey key{spec.id, i};
    if (!live.keys.contains(key) && !facts_.completed.contains(key)) missing.push_back(key);
  }
  if (missing.empty() || !has_capacity_for(spec, live)) return;
  for (const auto& key : missing) {
    const auto known = waiting_since_.find(key);
    const auto since = known == waiting_since_.end() ? environment_.now() : known->second;
    waiting[key] = since;
    record_wait(key, since, live.zones_of(spec.id));
  }
}

bool LivenessChecker::has_capacity_for(const JobSpec& spec, const LiveTasks& live) const {
  if (live.cpus_of(spec.team) + spec.per_task.cpus > max_cpus_of(spec.team)) return false;
  const auto zones = live.zones_of(spec.id);
  const auto& agents = fleet_.all();
  return std::any_of(agents.begin(), agents.end(), [&](const auto& entry) {
    return fleet_.can_start(spec, entry.second, zones);
  });
}

void LivenessChecker::record_wait(const TaskKey& key, TimePoint since, const ZoneCounts& zones) {
  const Seconds wait = environment_.now() - since;
  if (wait <= longest_wait_) return;
  longest_wait_ = wait;
  if (wait > kMinReportedWait) wait_report_ = diagnosis_.describe_waiting(key, zones);
}

}  // namespace violetpulley::core::simulated
