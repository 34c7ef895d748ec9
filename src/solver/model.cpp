#include "solver/model.hpp"

#include <algorithm>
#include <map>

namespace violetpulley::solver {

Amount Job::weight() const {
  const auto most = std::max(per_task.amounts[cpus], per_task.amounts[gpus]);
  return most > 0 ? most : std::max<Amount>(per_task.amounts[memory_gb], 1);
}

bool Score::better_than(const Score& other) const {
  if (guaranteed != other.guaranteed) return guaranteed > other.guaranteed;
  if (placed != other.placed) return placed > other.placed;
  if (loss != other.loss) return loss < other.loss;
  if (machines != other.machines) return machines < other.machines;
  return price < other.price;
}

bool allowed_on(const Job& job, const Machine& machine, const Relaxation& relaxed) {
  if (machine.spot && !job.spot_allowed && !relaxed.spot) return false;
  if (job.zone && machine.zone != *job.zone && !relaxed.zone) return false;
  return job.types.empty() || relaxed.types ||
         std::find(job.types.begin(), job.types.end(), machine.type) != job.types.end();
}

std::uint32_t max_tasks_in_zone(const Job& job) { return (job.tasks + 1) / 2; }

Placement current_placement(const Problem& problem, bool movable) {
  Placement out;
  for (const auto& job : problem.jobs) {
    out.push_back(movable || !job.movable ? job.running_tasks : std::vector<std::uint32_t>());
    out.back().resize(problem.machines.size());
  }
  return out;
}

std::vector<int> priorities_of(const Problem& problem) {
  std::vector<int> out;
  for (const auto& job : problem.jobs) out.push_back(job.priority);
  std::sort(out.rbegin(), out.rend());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

const Team* team_of(const Problem& problem, const Job& job) {
  for (const auto& team : problem.teams)
    if (team.name == job.team) return &team;
  return nullptr;
}

Amount mixing_cost(const Machine& machine, int min_bin, int max_bin) {
  return machine.price * (max_bin - min_bin) / (max_bin + 1);
}

namespace {

// Tasks of one job in a placement.
struct JobTotals {
  std::int64_t placed = 0;
  std::int64_t lost = 0;  // running tasks that are stopped or moved
};

JobTotals totals_of(const Job& job, const std::vector<std::uint32_t>& tasks_on) {
  JobTotals totals;
  std::int64_t running = 0;
  for (std::size_t m = 0; m < tasks_on.size(); ++m) {
    totals.placed += tasks_on[m];
    running += job.running_on(m);
    if (job.running_on(m) > tasks_on[m]) totals.lost += job.running_on(m) - tasks_on[m];
  }
  if (job.shape == Shape::gang && totals.lost > 0)
    totals.lost = running;  // all tasks of a gang restart
  return totals;
}

struct BinRange {
  int min;
  int max;
};

// Range of run-time bins on each machine; none: the machine has no tasks.
std::vector<std::optional<BinRange>> bins_by_machine(const Problem& problem,
                                                     const Placement& placement) {
  std::vector<std::optional<BinRange>> bins(problem.machines.size());
  for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
    const auto bin = problem.jobs[j].bin;
    for (std::size_t m = 0; m < problem.machines.size(); ++m) {
      if (placement[j][m] == 0) continue;
      auto& range = bins[m];
      range = range ? BinRange{std::min(range->min, bin), std::max(range->max, bin)}
                    : BinRange{bin, bin};
    }
  }
  return bins;
}

}  // namespace

Score score_of(const Problem& problem, const Placement& placement) {
  Score out;
  const auto priorities = priorities_of(problem);
  out.placed.resize(priorities.size());
  std::map<std::string, Resources> used;
  for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
    const auto& job = problem.jobs[j];
    const auto totals = totals_of(job, placement[j]);
    const auto level = std::find(priorities.begin(), priorities.end(), job.priority);
    out.placed[static_cast<std::size_t>(level - priorities.begin())] +=
        job.weight() * totals.placed;
    out.loss += job.loss * totals.lost;
    used[job.team] += job.per_task * totals.placed;
  }
  for (const auto& team : problem.teams)
    for (const auto r : {cpus, gpus})
      out.guaranteed += std::min(team.guaranteed.amounts[r], used[team.name].amounts[r]);
  const auto bins = bins_by_machine(problem, placement);
  for (std::size_t m = 0; m < problem.machines.size(); ++m) {
    if (!bins[m]) continue;
    const auto& machine = problem.machines[m];
    ++out.machines;
    out.price += machine.price + mixing_cost(machine, bins[m]->min, bins[m]->max);
  }
  return out;
}

std::optional<std::string> broken_limit(const Problem& problem, const Placement& placement) {
  std::map<std::string, Resources> used;
  std::vector<Resources> taken(problem.machines.size());
  for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
    const auto& job = problem.jobs[j];
    std::map<std::string, std::uint32_t> zones;
    std::uint32_t count = 0;
    for (std::size_t m = 0; m < problem.machines.size(); ++m) {
      const auto here = placement[j][m];
      if (!job.movable && here < job.running_on(m))
        return job.id + " is not movable but loses running tasks";
      if (here == 0) continue;
      if (!allowed_on(job, problem.machines[m]))
        return job.id + " may not run on " + problem.machines[m].id;
      count += here;
      zones[problem.machines[m].zone] += here;
      taken[m] += job.per_task * here;
    }
    if (count > job.tasks) return job.id + " is placed with more tasks than it has";
    if (job.shape == Shape::gang && count != 0 && count != job.tasks)
      return job.id + " is a gang and is placed only in part";
    if (job.same_zone && zones.size() > 1) return job.id + " must have all tasks in one zone";
    for (const auto& [zone, here] : zones)
      if (job.spread && here > max_tasks_in_zone(job))
        return job.id + " has too many tasks in " + zone;
    used[job.team] += job.per_task * count;
  }
  for (std::size_t m = 0; m < problem.machines.size(); ++m)
    for (std::size_t r = 0; r < kResourceCount; ++r)
      if (taken[m].amounts[r] > problem.machines[m].capacity.amounts[r])
        return problem.machines[m].id + " has too few " + kResourceNames[r];
  for (const auto& team : problem.teams)
    for (const auto r : {cpus, gpus})
      if (team.limit.amounts[r] > 0 && used[team.name].amounts[r] > team.limit.amounts[r])
        return team.name + " exceeds its limit of " + kResourceNames[r];
  return std::nullopt;
}

}  // namespace violetpulley::solver
