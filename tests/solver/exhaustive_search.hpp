/// @file
/// Reference for the solver: tries every distribution of the tasks of all jobs and keeps the best
/// one that breaks no limit. Independent of the code in src/solver, except for its types. Feasible
/// for small cases only. Owns no state.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include "solver/model.hpp"

namespace violetpulley::solver::exhaustive {

/// Names a limit that a placement breaks; none: it keeps all limits.
inline std::optional<std::string> violation(const Problem& problem, const Placement& placement) {
  std::map<std::string, std::array<Amount, 2>> used;
  std::vector<std::array<Amount, 3>> load(problem.machines.size());
  for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
    const auto& job = problem.jobs[j];
    std::map<std::string, std::uint32_t> zones;
    std::uint32_t placed = 0;
    for (std::size_t m = 0; m < problem.machines.size(); ++m) {
      const auto& machine = problem.machines[m];
      const auto tasks = placement[j][m];
      if (!job.movable && !job.running_tasks.empty() && tasks < job.running_tasks[m])
        return "unmovable";
      if (tasks == 0) continue;
      placed += tasks;
      zones[machine.zone] += tasks;
      if (machine.spot && !job.spot_allowed) return "spot";
      if (job.zone && *job.zone != machine.zone) return "zone";
      bool type = job.types.empty();
      for (const auto& t : job.types) type = type || t == machine.type;
      if (!type) return "type";
      for (std::size_t r = 0; r < 3; ++r) load[m][r] += tasks * job.per_task.amounts[r];
    }
    if (placed > job.tasks) return "number of tasks";
    if (job.shape == Shape::gang && placed > 0 && placed < job.tasks) return "half a gang";
    if (job.same_zone && zones.size() > 1) return "two zones";
    for (const auto& zone : zones)
      if (job.spread && zone.second > (job.tasks + 1) / 2) return "spread";
    for (std::size_t r = 0; r < 2; ++r) used[job.team][r] += placed * job.per_task.amounts[r];
  }
  for (std::size_t m = 0; m < problem.machines.size(); ++m)
    for (std::size_t r = 0; r < 3; ++r)
      if (load[m][r] > problem.machines[m].capacity.amounts[r]) return "capacity";
  for (const auto& team : problem.teams)
    for (std::size_t r = 0; r < 2; ++r)
      if (team.limit.amounts[r] != 0 && used[team.name][r] > team.limit.amounts[r]) return "team";
  return std::nullopt;
}

/// Compares as `Score` does; greater is better.
using ObjectiveValue = std::tuple<Amount, std::vector<Amount>, Amount, Amount, Amount>;

inline ObjectiveValue value(const Problem& problem, const Placement& placement) {
  Amount guaranteed = 0;
  for (const auto& team : problem.teams)
    for (std::size_t r = 0; r < 2; ++r) {
      Amount use = 0;
      for (std::size_t j = 0; j < problem.jobs.size(); ++j)
        if (problem.jobs[j].team == team.name)
          for (const auto tasks : placement[j]) use += tasks * problem.jobs[j].per_task.amounts[r];
      guaranteed += use < team.guaranteed.amounts[r] ? use : team.guaranteed.amounts[r];
    }
  std::map<int, Amount, std::greater<>> placed;
  Amount loss = 0;
  for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
    const auto& job = problem.jobs[j];
    const auto& size = job.per_task.amounts;
    auto weight = size[0] > size[1] ? size[0] : size[1];
    if (weight == 0) weight = size[2] > 0 ? size[2] : 1;
    Amount stopped = 0;
    Amount running = 0;
    placed[job.priority] += 0;
    for (std::size_t m = 0; m < problem.machines.size(); ++m) {
      placed[job.priority] += weight * placement[j][m];
      if (job.running_tasks.empty()) continue;
      running += job.running_tasks[m];
      if (placement[j][m] < job.running_tasks[m]) stopped += job.running_tasks[m] - placement[j][m];
    }
    loss += job.loss * (job.shape == Shape::gang && stopped > 0 ? running : stopped);
  }
  std::vector<Amount> by_priority;
  for (const auto& level : placed) by_priority.push_back(level.second);
  Amount machines = 0;
  Amount price = 0;
  for (std::size_t m = 0; m < problem.machines.size(); ++m) {
    int min_bin = 1000;
    int max_bin = -1;
    for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
      if (placement[j][m] == 0) continue;
      min_bin = std::min(min_bin, problem.jobs[j].bin);
      max_bin = std::max(max_bin, problem.jobs[j].bin);
    }
    if (max_bin < 0) continue;
    ++machines;
    price +=
        problem.machines[m].price + problem.machines[m].price * (max_bin - min_bin) / (max_bin + 1);
  }
  return {guaranteed, by_priority, -loss, -machines, -price};
}

inline ObjectiveValue value(const Score& score) {
  return {score.guaranteed, score.placed, -score.loss, -score.machines, -score.price};
}

/// Enumerates the placements job by job and machine by machine; a branch ends as soon as a machine
/// is overloaded. Calls `visit` with each placement that keeps all limits. Returns false if the
/// enumeration needs more than `max_steps`.
inline bool for_each_placement(const Problem& problem, std::uint64_t max_steps,
                               const std::function<void(const Placement&)>& visit) {
  Placement placement(problem.jobs.size(), std::vector<std::uint32_t>(problem.machines.size()));
  std::vector<std::array<Amount, 3>> load(problem.machines.size());
  std::uint64_t steps = 0;
  const std::function<void(std::size_t, std::size_t, std::uint32_t)> assign_from =
      [&](std::size_t j, std::size_t m, std::uint32_t unassigned) {
        if (++steps > max_steps) return;
        if (j == problem.jobs.size()) {
          if (!violation(problem, placement)) visit(placement);
          return;
        }
        if (m == problem.machines.size())
          return assign_from(j + 1, 0, j + 1 < problem.jobs.size() ? problem.jobs[j + 1].tasks : 0);
        const auto before = load[m];
        for (std::uint32_t tasks = 0; tasks <= unassigned; ++tasks) {
          bool fits = true;
          for (std::size_t r = 0; r < 3; ++r) {
            load[m][r] = before[r] + tasks * problem.jobs[j].per_task.amounts[r];
            fits = fits && load[m][r] <= problem.machines[m].capacity.amounts[r];
          }
          if (!fits) break;
          placement[j][m] = tasks;
          assign_from(j, m + 1, unassigned - tasks);
        }
        placement[j][m] = 0;
        load[m] = before;
      };
  assign_from(0, 0, problem.jobs.empty() ? 0 : problem.jobs[0].tasks);
  return steps <= max_steps;
}

/// Value of the best placement; none: the enumeration needs more than `max_steps`.
inline std::optional<ObjectiveValue> best_value(const Problem& problem, std::uint64_t max_steps) {
  std::optional<ObjectiveValue> out;
  const bool complete = for_each_placement(problem, max_steps, [&](const Placement& placement) {
    auto here = value(problem, placement);
    if (!out || here > *out) out = std::move(here);
  });
  return complete ? out : std::nullopt;
}

}  // namespace violetpulley::solver::exhaustive
