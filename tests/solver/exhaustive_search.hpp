// The definition that the solver is held against: tries every way to share out every job's tasks
// and keeps the best that breaks no rule. Written apart from src/solver on purpose: it uses its
// types and nothing else. So slow that it takes only small cases.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include "solver/model.hpp"

namespace violetpulley::solver::exhaustive {

// What of a whole placement is wrong.
inline std::optional<std::string> wrong(const Problem& p, const Placement& at) {
  std::map<std::string, std::array<Amount, 2>> used;
  std::vector<std::array<Amount, 3>> load(p.machines.size());
  for (std::size_t j = 0; j < p.jobs.size(); ++j) {
    const auto& job = p.jobs[j];
    std::map<std::string, std::uint32_t> zones;
    std::uint32_t all = 0;
    for (std::size_t m = 0; m < p.machines.size(); ++m) {
      const auto& machine = p.machines[m];
      const auto n = at[j][m];
      if (!job.movable && !job.home.empty() && n < job.home[m]) return "unmovable";
      if (n == 0) continue;
      all += n;
      zones[machine.zone] += n;
      if (machine.spot && !job.spot) return "spot";
      if (job.zone && *job.zone != machine.zone) return "zone";
      bool type = job.types.empty();
      for (const auto& t : job.types) type = type || t == machine.type;
      if (!type) return "type";
      for (std::size_t r = 0; r < 3; ++r) load[m][r] += n * job.per_task.of[r];
    }
    if (all > job.tasks) return "too many";
    if (job.shape == Shape::gang && all > 0 && all < job.tasks) return "half a gang";
    if (job.same_zone && zones.size() > 1) return "two zones";
    for (const auto& zone : zones)
      if (job.spread && zone.second > (job.tasks + 1) / 2) return "spread";
    for (std::size_t r = 0; r < 2; ++r) used[job.team][r] += all * job.per_task.of[r];
  }
  for (std::size_t m = 0; m < p.machines.size(); ++m)
    for (std::size_t r = 0; r < 3; ++r)
      if (load[m][r] > p.machines[m].room.of[r]) return "room";
  for (const auto& team : p.teams)
    for (std::size_t r = 0; r < 2; ++r)
      if (team.most.of[r] != 0 && used[team.name][r] > team.most.of[r]) return "team";
  return std::nullopt;
}

// Greater is better.
using Value = std::tuple<Amount, std::vector<Amount>, Amount, Amount, Amount>;

inline Value value(const Problem& p, const Placement& at) {
  Amount guaranteed = 0;
  for (const auto& team : p.teams)
    for (std::size_t r = 0; r < 2; ++r) {
      Amount use = 0;
      for (std::size_t j = 0; j < p.jobs.size(); ++j)
        if (p.jobs[j].team == team.name)
          for (const auto n : at[j]) use += n * p.jobs[j].per_task.of[r];
      guaranteed += use < team.guaranteed.of[r] ? use : team.guaranteed.of[r];
    }
  std::map<int, Amount, std::greater<>> placed;
  Amount loss = 0;
  for (std::size_t j = 0; j < p.jobs.size(); ++j) {
    const auto& job = p.jobs[j];
    const auto& size = job.per_task.of;
    auto weight = size[0] > size[1] ? size[0] : size[1];
    if (weight == 0) weight = size[2] > 0 ? size[2] : 1;
    Amount stopped = 0;
    Amount ran = 0;
    placed[job.priority] += 0;
    for (std::size_t m = 0; m < p.machines.size(); ++m) {
      placed[job.priority] += weight * at[j][m];
      if (job.home.empty()) continue;
      ran += job.home[m];
      if (at[j][m] < job.home[m]) stopped += job.home[m] - at[j][m];
    }
    loss += job.loss * (job.shape == Shape::gang && stopped > 0 ? ran : stopped);
  }
  std::vector<Amount> by_priority;
  for (const auto& level : placed) by_priority.push_back(level.second);
  Amount machines = 0;
  Amount price = 0;
  for (std::size_t m = 0; m < p.machines.size(); ++m) {
    int least = 1000;
    int greatest = -1;
    for (std::size_t j = 0; j < p.jobs.size(); ++j) {
      if (at[j][m] == 0) continue;
      least = std::min(least, p.jobs[j].bin);
      greatest = std::max(greatest, p.jobs[j].bin);
    }
    if (greatest < 0) continue;
    ++machines;
    price += p.machines[m].price + p.machines[m].price * (greatest - least) / (greatest + 1);
  }
  return {guaranteed, by_priority, -loss, -machines, -price};
}

inline Value value(const Score& score) {
  return {score.guaranteed, score.placed, -score.loss, -score.machines, -score.price};
}

// Every placement, machine by machine and job by job; those that are too much for a machine already
// are not gone on with. `each` is called with all that are whole and not wrong. False: there are
// more than so many steps to it.
inline bool all(const Problem& p, std::uint64_t max_steps,
                const std::function<void(const Placement&)>& each) {
  Placement at(p.jobs.size(), std::vector<std::uint32_t>(p.machines.size()));
  std::vector<std::array<Amount, 3>> load(p.machines.size());
  std::uint64_t steps = 0;
  const std::function<void(std::size_t, std::size_t, std::uint32_t)> next =
      [&](std::size_t j, std::size_t m, std::uint32_t left) {
        if (++steps > max_steps) return;
        if (j == p.jobs.size()) {
          if (!wrong(p, at)) each(at);
          return;
        }
        if (m == p.machines.size())
          return next(j + 1, 0, j + 1 < p.jobs.size() ? p.jobs[j + 1].tasks : 0);
        const auto before = load[m];
        for (std::uint32_t n = 0; n <= left; ++n) {
          bool fits = true;
          for (std::size_t r = 0; r < 3; ++r) {
            load[m][r] = before[r] + n * p.jobs[j].per_task.of[r];
            fits = fits && load[m][r] <= p.machines[m].room.of[r];
          }
          if (!fits) break;
          at[j][m] = n;
          next(j, m + 1, left - n);
        }
        at[j][m] = 0;
        load[m] = before;
      };
  next(0, 0, p.jobs.empty() ? 0 : p.jobs[0].tasks);
  return steps <= max_steps;
}

inline std::optional<Value> best(const Problem& p, std::uint64_t max_steps) {
  std::optional<Value> out;
  const bool complete = all(p, max_steps, [&](const Placement& at) {
    auto here = value(p, at);
    if (!out || here > *out) out = std::move(here);
  });
  return complete ? out : std::nullopt;
}

}  // namespace violetpulley::solver::exhaustive
