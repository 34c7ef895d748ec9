#include "simulation/rule_checker.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr Seconds kCancellationTolerance{0.2};
constexpr double kCpuTolerance = 1e-6;

}  // namespace

void RuleChecker::check(const LiveTasks& live) {
  check_ran_once(live);
  check_cancelled(live);
  check_places(live);
  check_quotas(live);
}

void RuleChecker::check_ran_once(const LiveTasks& live) {
  std::map<TaskKey, const SimulatedAgent*> machines;
  for (const auto& [key, agent] : live.entries) {
    const auto [other, only] = machines.emplace(key, agent);
    ASSERT_TRUE(only) << "ran_twice " << key.job << "/" << key.index << " on " << other->second->id
                      << " and " << agent->id;
  }
}

void RuleChecker::check_cancelled(const LiveTasks& live) {
  const auto now = environment_.now();
  for (const auto& [key, agent] : live.entries) {
    const auto cancelled_at = facts_.cancelled_at.find(key.job);
    if (cancelled_at == facts_.cancelled_at.end() || agent->hangs(now)) continue;
    const Seconds since = now - cancelled_at->second;
    longest_cancellation_ = std::max(longest_cancellation_, since);
    ASSERT_LE(since, kAgentTimes.cancel + kCancellationTolerance)
        << "ran_cancelled " << key.job << " on " << diagnosis_.describe(*agent);
  }
}

void RuleChecker::check_places(const LiveTasks& live) const {
  for (const auto& [job, counts] : live.zones) {
    const auto& spec = facts_.specs.at(job);
    if (spec.same_zone) {
      ASSERT_EQ(counts.size(), 1U)
          << "wrong_place: tasks in several zones, same_zone is set: " << job;
    }
    if (!spec.spread) continue;
    for (const auto& [zone, count] : counts) {
      ASSERT_LE(count, (spec.tasks + 1) / 2)
          << "wrong_place: too many tasks in one zone, spread is set: " << job;
    }
  }
}

void RuleChecker::check_quotas(const LiveTasks& live) const {
  for (const auto& team : teams())
    ASSERT_LE(live.cpus_of(team.name), team.max_cpus + kCpuTolerance)
        << "quota " << team.name << diagnosis_.describe_team(team.name);
}

}  // namespace violetpulley::core::simulated
