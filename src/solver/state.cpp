#include "solver/state.hpp"

#include <algorithm>

namespace violetpulley::solver {

PlacementState::PlacementState(const Problem& problem)
    : problem_(&problem),
      placement_(problem.jobs.size(), std::vector<std::uint32_t>(problem.machines.size())),
      placed_(problem.jobs.size()),
      team_use_(problem.teams.size()),
      tasks_by_bin_(problem.machines.size()) {
  std::map<std::string, std::size_t> zones;
  for (const auto& machine : problem.machines) {
    free_.push_back(machine.capacity);
    zone_index_.push_back(zones.emplace(machine.zone, zones.size()).first->second);
  }
  tasks_by_zone_.assign(problem.jobs.size(), std::vector<std::uint32_t>(zones.size()));
  for (const auto& job : problem.jobs) {
    const auto* team = team_of(problem, job);
    team_index_.push_back(team == nullptr ? std::optional<std::size_t>()
                                          : static_cast<std::size_t>(team - problem.teams.data()));
  }
}

PlacementState::PlacementState(const Problem& problem, const Placement& placement)
    : PlacementState(problem) {
  for (std::size_t j = 0; j < problem.jobs.size(); ++j)
    for (std::size_t m = 0; m < problem.machines.size(); ++m) add(j, m, placement[j][m]);
}

std::uint32_t PlacementState::max_more_tasks(std::size_t j, std::size_t m,
                                             const Relaxation& relaxed) const {
  const auto& job = problem_->jobs[j];
  // Checked first, since most machines that a search inspects are full.
  for (std::size_t r = 0; r < kResourceCount; ++r)
    if (job.per_task.amounts[r] > free_[m].amounts[r] && job.per_task.amounts[r] > 0 &&
        !relaxed.resources[r])
      return 0;
  if (!allowed_on(job, problem_->machines[m], relaxed)) return 0;
  std::int64_t most = job.tasks - placed_[j];
  for (std::size_t r = 0; r < kResourceCount; ++r)
    if (job.per_task.amounts[r] > 0 && !relaxed.resources[r])
      most = std::min(most, free_[m].amounts[r] / job.per_task.amounts[r]);
  const auto in_zone = tasks_by_zone_[j][zone_index_[m]];
  if (job.same_zone && !relaxed.same_zone && in_zone != placed_[j]) return 0;
  if (job.spread && !relaxed.spread)
    most = std::min<std::int64_t>(most, std::int64_t{max_tasks_in_zone(job)} - in_zone);
  if (team_index_[j] && !relaxed.team) {
    const auto& limit = problem_->teams[*team_index_[j]].limit;
    for (const auto r : {cpus, gpus})
      if (limit.amounts[r] > 0 && job.per_task.amounts[r] > 0)
        most = std::min(most, (limit.amounts[r] - team_use_[*team_index_[j]].amounts[r]) /
                                  job.per_task.amounts[r]);
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(most, 0));
}

void PlacementState::add(std::size_t j, std::size_t m, std::uint32_t count) {
  if (count == 0) return;
  const auto& job = problem_->jobs[j];
  placement_[j][m] += count;
  placed_[j] += count;
  free_[m] -= job.per_task * count;
  if (team_index_[j]) team_use_[*team_index_[j]] += job.per_task * count;
  tasks_by_zone_[j][zone_index_[m]] += count;
  tasks_by_bin_[m][job.bin] += count;
}

void PlacementState::remove(std::size_t j, std::size_t m, std::uint32_t count) {
  if (count == 0) return;
  const auto& job = problem_->jobs[j];
  placement_[j][m] -= count;
  placed_[j] -= count;
  free_[m] += job.per_task * count;
  if (team_index_[j]) team_use_[*team_index_[j]] -= job.per_task * count;
  tasks_by_zone_[j][zone_index_[m]] -= count;
  const auto bin = tasks_by_bin_[m].find(job.bin);
  if ((bin->second -= count) == 0) tasks_by_bin_[m].erase(bin);
}

std::optional<std::pair<int, int>> PlacementState::bin_range(std::size_t m) const {
  if (tasks_by_bin_[m].empty()) return std::nullopt;
  return std::pair(tasks_by_bin_[m].begin()->first, tasks_by_bin_[m].rbegin()->first);
}

}  // namespace violetpulley::solver
