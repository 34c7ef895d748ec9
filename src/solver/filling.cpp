#include "solver/filling.hpp"

#include <algorithm>
#include <tuple>

namespace violetpulley::solver {

TaskPlacer::TaskPlacer(const Problem& problem, const Placement& placement, std::uint64_t max_steps)
    : problem_(problem), state_(problem, placement), max_steps_(max_steps) {}

void TaskPlacer::change(std::size_t job, std::size_t machine, std::int64_t delta) {
  if (delta > 0)
    state_.add(job, machine, static_cast<std::uint32_t>(delta));
  else
    state_.remove(job, machine, static_cast<std::uint32_t>(-delta));
  undo_log_.push_back({job, machine, delta});
}

void TaskPlacer::undo_to(UndoPoint undo_point) {
  while (undo_log_.size() > undo_point) {
    const auto last = undo_log_.back();
    if (last.delta > 0)
      state_.remove(last.job, last.machine, static_cast<std::uint32_t>(last.delta));
    else
      state_.add(last.job, last.machine, static_cast<std::uint32_t>(-last.delta));
    undo_log_.pop_back();
  }
}

std::uint32_t TaskPlacer::removable(std::size_t j, std::size_t m) const {
  const auto& job = problem_.jobs[j];
  return state_.tasks_on(j, m) - (job.movable ? 0 : job.running_on(m));
}

// Order of preference: machines where fewer tasks of the job are placed than run there now, then
// machines in use before empty ones, the lowest added mixing cost (DESIGN), rented machines before
// others, the lowest price of empty machines, and the fullest machine.
std::vector<std::size_t> TaskPlacer::ranked_machines(std::size_t j,
                                                     std::optional<std::size_t> excluded_machine,
                                                     std::size_t max_machines) {
  const auto& job = problem_.jobs[j];
  using Rank = std::tuple<bool, bool, Amount, bool, Amount, std::int64_t>;
  std::vector<std::pair<Rank, std::size_t>> ranked;
  for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
    ++steps_;
    if (m == excluded_machine || state_.max_more_tasks(j, m) == 0) continue;
    const auto& machine = problem_.machines[m];
    const auto bins = state_.bin_range(m);
    Amount mixing = 0;
    if (bins)
      mixing =
          mixing_cost(machine, std::min(bins->first, job.bin), std::max(bins->second, job.bin)) -
          mixing_cost(machine, bins->first, bins->second);
    std::int64_t free_share = 0;  // free after one task, in thousandths, summed over resources
    for (std::size_t r = 0; r < kResourceCount; ++r)
      if (machine.capacity.amounts[r] > 0)
        free_share += (state_.free(m).amounts[r] - job.per_task.amounts[r]) /
                      (machine.capacity.amounts[r] / 1000 + 1);
    ranked.emplace_back(Rank{job.running_on(m) <= state_.tasks_on(j, m), !bins, mixing,
                             !machine.rented, bins ? 0 : machine.price, free_share},
                        m);
  }
  max_machines = std::min(max_machines, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(max_machines),
                    ranked.end());
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < max_machines; ++i) out.push_back(ranked[i].second);
  return out;
}

void TaskPlacer::place_on(std::size_t j, const std::vector<std::size_t>& machines) {
  const auto& job = problem_.jobs[j];
  for (const auto m : machines) {
    if (state_.placed(j) == job.tasks) return;
    ++steps_;
    auto count = state_.max_more_tasks(j, m);
    // At most as many tasks as run on the machine now, so that the other running tasks of the job
    // can stay on their machines.
    if (const auto running_here = job.running_on(m); running_here > state_.tasks_on(j, m))
      count = std::min(count, running_here - state_.tasks_on(j, m));
    if (count > 0) change(j, m, count);
  }
  for (const auto m : machines) {
    if (state_.placed(j) == job.tasks) return;
    if (const auto count = state_.max_more_tasks(j, m); count > 0) change(j, m, count);
  }
}

void TaskPlacer::place(std::size_t j) {
  const auto& job = problem_.jobs[j];
  if (state_.placed(j) == job.tasks) return;
  // Each machine takes at least one task, so one machine for each task is enough. Constraints on
  // zones may exclude machines later, so all machines are needed then.
  const bool zone_constrained = job.same_zone || job.spread;
  const auto machines =
      ranked_machines(j, {}, zone_constrained ? SIZE_MAX : job.tasks - state_.placed(j));
  if (!job.same_zone || state_.placed(j) > 0) {
    const auto start = undo_point();
    place_on(j, machines);
    if (job.shape == Shape::gang && state_.placed(j) < job.tasks) undo_to(start);
    return;
  }
  // Selects the zone that takes the most tasks; of equal zones the first.
  std::vector<std::string> zones;
  for (const auto m : machines)
    if (std::find(zones.begin(), zones.end(), state_.zone_of(m)) == zones.end())
      zones.push_back(state_.zone_of(m));
  std::uint32_t most = job.shape == Shape::gang ? job.tasks - 1 : 0;
  std::optional<std::vector<std::size_t>> best;
  for (const auto& zone : zones) {
    std::vector<std::size_t> in_zone;
    for (const auto m : machines)
      if (state_.zone_of(m) == zone) in_zone.push_back(m);
    const auto start = undo_point();
    place_on(j, in_zone);
    if (state_.placed(j) > most) {
      most = state_.placed(j);
      best = in_zone;
    }
    undo_to(start);
  }
  if (best) place_on(j, *best);
}

void TaskPlacer::evict(std::size_t j, std::size_t m) {
  const auto& job = problem_.jobs[j];
  if (job.shape != Shape::gang) {
    if (const auto count = removable(j, m); count > 0) change(j, m, -std::int64_t{count});
    return;
  }
  for (std::size_t other = 0; other < problem_.machines.size(); ++other)
    if (removable(j, other) < state_.tasks_on(j, other)) return;
  for (std::size_t other = 0; other < problem_.machines.size(); ++other)
    if (const auto count = state_.tasks_on(j, other); count > 0)
      change(j, other, -std::int64_t{count});
}

bool TaskPlacer::make_room(std::size_t j, int depth) {
  const auto& job = problem_.jobs[j];
  const auto start = undo_point();
  if (job.shape != Shape::gang) return make_room_for_one(j, depth, {});
  // Zones are not tried one by one: the neighbourhood search tries them when it evicts the gang and
  // places it again.
  while (state_.placed(j) < job.tasks) {
    const auto machines = ranked_machines(j, {}, 1);
    if (!machines.empty()) {
      change(j, machines.front(), 1);
    } else if (!make_room_for_one(j, depth, {})) {
      undo_to(start);
      return false;
    }
  }
  return true;
}

bool TaskPlacer::make_room_for_one(std::size_t j, int depth,
                                   std::optional<std::size_t> excluded_machine) {
  for (std::size_t m = 0; m < problem_.machines.size() && steps_ < max_steps_; ++m)
    if (m != excluded_machine && make_room_on(j, m, depth)) return true;
  return false;
}

// Removes tasks of one other job from the machine until a task of job `j` fits, and places the
// removed tasks on other machines.
bool TaskPlacer::make_room_on(std::size_t j, std::size_t m, int depth) {
  Relaxation ignoring_resources;
  ignoring_resources.resources.fill(true);
  ++steps_;
  if (state_.max_more_tasks(j, m, ignoring_resources) == 0) return false;
  for (std::size_t other = 0; other < problem_.jobs.size(); ++other) {
    ++steps_;
    if (other == j || problem_.jobs[other].shape == Shape::gang) continue;
    if (removable(other, m) == 0) continue;
    const auto start = undo_point();
    const auto evictable = removable(other, m);
    std::uint32_t unplaced = 0;
    while (unplaced < evictable && state_.max_more_tasks(j, m) == 0) {
      change(other, m, -1);
      ++unplaced;
    }
    if (unplaced == 0 || state_.max_more_tasks(j, m) == 0) {
      undo_to(start);
      continue;
    }
    change(j, m, 1);
    bool all_placed = true;
    while (all_placed && unplaced > 0) {
      const auto elsewhere = ranked_machines(other, m, 1);
      if (!elsewhere.empty()) {
        const auto count = std::min(unplaced, state_.max_more_tasks(other, elsewhere.front()));
        change(other, elsewhere.front(), count);
        unplaced -= count;
      } else if (depth > 0 && make_room_for_one(other, depth - 1, m)) {
        --unplaced;
      } else {
        all_placed = false;
      }
    }
    if (all_placed) return true;
    undo_to(start);
  }
  return false;
}

}  // namespace violetpulley::solver
