#include "solver/state.hpp"

#include <algorithm>

namespace violetpulley::solver {

State::State(const Problem& problem)
    : problem_(&problem),
      placement_(problem.jobs.size(), std::vector<std::uint32_t>(problem.machines.size())),
      placed_(problem.jobs.size()),
      team_use_(problem.teams.size()),
      bins_(problem.machines.size()) {
  std::map<std::string, std::size_t> zones;
  for (const auto& machine : problem.machines) {
    free_.push_back(machine.room);
    zone_.push_back(zones.emplace(machine.zone, zones.size()).first->second);
  }
  zones_.assign(problem.jobs.size(), std::vector<std::uint32_t>(zones.size()));
  for (const auto& job : problem.jobs) {
    const auto* team = team_of(problem, job);
    team_.push_back(team == nullptr ? std::optional<std::size_t>()
                                    : static_cast<std::size_t>(team - problem.teams.data()));
  }
}

State::State(const Problem& problem, const Placement& placement) : State(problem) {
  for (std::size_t j = 0; j < problem.jobs.size(); ++j)
    for (std::size_t m = 0; m < problem.machines.size(); ++m) add(j, m, placement[j][m]);
}

std::uint32_t State::most(std::size_t j, std::size_t m, const Relaxed& relaxed) const {
  const auto& job = problem_->jobs[j];
  // What is full is most of what a round looks at, so that is seen first.
  for (std::size_t r = 0; r < kResources; ++r)
    if (job.per_task.of[r] > free_[m].of[r] && job.per_task.of[r] > 0 && !relaxed.room[r]) return 0;
  if (!allowed_on(job, problem_->machines[m], relaxed)) return 0;
  std::int64_t most = job.tasks - placed_[j];
  for (std::size_t r = 0; r < kResources; ++r)
    if (job.per_task.of[r] > 0 && !relaxed.room[r])
      most = std::min(most, free_[m].of[r] / job.per_task.of[r]);
  const auto here = zones_[j][zone_[m]];
  if (job.same_zone && !relaxed.same_zone && here != placed_[j]) return 0;
  if (job.spread && !relaxed.spread)
    most = std::min<std::int64_t>(most, std::int64_t{max_tasks_in_zone(job)} - here);
  if (team_[j] && !relaxed.team) {
    const auto& limit = problem_->teams[*team_[j]].most;
    for (const auto r : {cpus, gpus})
      if (limit.of[r] > 0 && job.per_task.of[r] > 0)
        most = std::min(most, (limit.of[r] - team_use_[*team_[j]].of[r]) / job.per_task.of[r]);
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(most, 0));
}

void State::add(std::size_t j, std::size_t m, std::uint32_t count) {
  if (count == 0) return;
  const auto& job = problem_->jobs[j];
  placement_[j][m] += count;
  placed_[j] += count;
  free_[m] -= job.per_task * count;
  if (team_[j]) team_use_[*team_[j]] += job.per_task * count;
  zones_[j][zone_[m]] += count;
  bins_[m][job.bin] += count;
}

void State::remove(std::size_t j, std::size_t m, std::uint32_t count) {
  if (count == 0) return;
  const auto& job = problem_->jobs[j];
  placement_[j][m] -= count;
  placed_[j] -= count;
  free_[m] += job.per_task * count;
  if (team_[j]) team_use_[*team_[j]] -= job.per_task * count;
  zones_[j][zone_[m]] -= count;
  const auto bin = bins_[m].find(job.bin);
  if ((bin->second -= count) == 0) bins_[m].erase(bin);
}

std::optional<std::pair<int, int>> State::bins(std::size_t m) const {
  if (bins_[m].empty()) return std::nullopt;
  return std::pair(bins_[m].begin()->first, bins_[m].rbegin()->first);
}

}  // namespace violetpulley::solver
