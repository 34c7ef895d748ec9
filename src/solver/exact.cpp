/// @file
/// Branch and bound over the jobs in order of priority: for each job, every distribution of its
/// tasks over the machines is tried. Of interchangeable machines only one order is tried. A branch
/// is pruned when its bound is not better than the best score found. Owns the search state.
#include <algorithm>
#include <tuple>

#include "solver/solver.hpp"

namespace violetpulley::solver {

namespace {

class ExactSearch {
 public:
  ExactSearch(const Problem& problem, std::uint64_t max_steps, const SearchOptions& fast_options)
      : problem_(problem),
        fast_options_(fast_options),
        max_steps_(max_steps),
        state_(problem, current_placement(problem, false)),
        priorities_(priorities_of(problem)),
        decided_(problem.jobs.size()) {
    for (std::size_t j = 0; j < problem.jobs.size(); ++j) job_order_.push_back(j);
    std::stable_sort(job_order_.begin(), job_order_.end(), [&](std::size_t a, std::size_t b) {
      const auto& left = problem.jobs[a];
      const auto& right = problem.jobs[b];
      return std::tuple(-left.priority, -left.weight()) <
             std::tuple(-right.priority, -right.weight());
    });
  }

  ExactResult run() {
    ExactResult out;
    best_ = search_fast(problem_, fast_options_);
    out.bound = bound();
    branch(0);
    best_.steps = steps_;
    out.best = std::move(best_);
    out.proven = steps_ < max_steps_;
    if (out.proven) out.bound = out.best.score;
    return out;
  }

  // Bound of the score: no completion of the present state is better in any part.
  Score bound() const {
    Score out;
    out.placed.resize(priorities_.size());
    std::vector<std::uint32_t> placeable(problem_.jobs.size());
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) placeable[j] = max_placed(j);
    Resources free;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) free += state_.free(m);
    for (std::size_t level = 0; level < priorities_.size(); ++level)
      out.placed[level] = placed_bound(priorities_[level], placeable, free);
    for (const auto& team : problem_.teams)
      for (const auto r : {cpus, gpus}) {
        Amount use = 0;
        for (std::size_t j = 0; j < problem_.jobs.size(); ++j)
          if (problem_.jobs[j].team == team.name)
            use += problem_.jobs[j].per_task.amounts[r] * placeable[j];
        out.guaranteed += std::min(team.guaranteed.amounts[r], use);
      }
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) out.loss += min_loss(j);
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      if (const auto bins = state_.bin_range(m)) {
        ++out.machines;
        out.price += problem_.machines[m].price +
                     mixing_cost(problem_.machines[m], bins->first, bins->second);
      }
    return out;
  }

 private:
  std::uint32_t max_placed(std::size_t j) const {
    const auto& job = problem_.jobs[j];
    if (decided_[j]) return state_.placed(j);
    std::uint64_t max_added = 0;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      max_added += state_.max_more_tasks(j, m);
    const auto most = state_.placed(j) + static_cast<std::uint32_t>(std::min<std::uint64_t>(
                                             max_added, job.tasks - state_.placed(j)));
    return job.shape == Shape::gang && most < job.tasks ? state_.placed(j) : most;
  }

  // Bound of the placed weight of one priority, from the free capacity summed over all machines.
  // For each resource, tasks are taken by descending weight density; the last one may exceed the
  // capacity. The lowest sum over the resources is the bound.
  Amount placed_bound(int priority, const std::vector<std::uint32_t>& placeable,
                      const Resources& free) const {
    std::vector<std::size_t> expandable;
    Amount placed_weight = 0;
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) {
      if (problem_.jobs[j].priority != priority) continue;
      placed_weight += problem_.jobs[j].weight() * state_.placed(j);
      if (placeable[j] > state_.placed(j)) expandable.push_back(j);
    }
    Amount least = -1;
    for (std::size_t r = 0; r < kResourceCount; ++r) {
      std::sort(expandable.begin(), expandable.end(), [&](std::size_t a, std::size_t b) {
        return weight_density(a, r) > weight_density(b, r);
      });
      Amount remaining = free.amounts[r];
      Amount sum = placed_weight;
      for (const auto j : expandable) {
        const auto& job = problem_.jobs[j];
        const std::int64_t tasks = placeable[j] - state_.placed(j);
        const auto size = job.per_task.amounts[r];
        const auto fit = size == 0 ? tasks : std::min(tasks, (remaining + size - 1) / size);
        sum += job.weight() * fit;
        remaining -= std::min(remaining, size * fit);
      }
      if (least < 0 || sum < least) least = sum;
    }
    return least;
  }
  // Weight per thousandth of a unit of the resource; jobs that need none of it come first.
  Amount weight_density(std::size_t j, std::size_t r) const {
    const auto& job = problem_.jobs[j];
    return job.per_task.amounts[r] == 0 ? INT64_MAX : job.weight() * 1000 / job.per_task.amounts[r];
  }

  Amount min_loss(std::size_t j) const {
    const auto& job = problem_.jobs[j];
    if (job.running_tasks.empty() || !job.movable) return 0;
    std::int64_t displaced = 0;
    std::int64_t running = 0;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
      const auto running_here = job.running_on(m);
      running += running_here;
      const auto placeable =
          state_.tasks_on(j, m) + (decided_[j] ? 0 : state_.max_more_tasks(j, m));
      if (running_here > placeable) displaced += running_here - placeable;
    }
    return job.loss * (job.shape == Shape::gang && displaced > 0 ? running : displaced);
  }

  bool out_of_steps() const { return steps_ >= max_steps_; }

  void branch(std::size_t depth) {
    if (out_of_steps() || !bound().better_than(best_.score)) return;
    if (depth == job_order_.size()) {
      best_.placement = state_.placement();
      best_.score = score_of(problem_, best_.placement);
      return;
    }
    const auto j = job_order_[depth];
    decided_[j] = true;
    assign_tasks(depth, 0, interchangeable_predecessors(depth));
    decided_[j] = false;
  }

  // For each machine the nearest earlier machine that is interchangeable with it for all jobs that
  // are still to be placed.
  std::vector<std::optional<std::size_t>> interchangeable_predecessors(std::size_t depth) const {
    std::vector<std::optional<std::size_t>> predecessors(problem_.machines.size());
    for (std::size_t m = 1; m < predecessors.size(); ++m)
      for (std::size_t earlier = m; earlier-- > 0 && !predecessors[m];)
        if (interchangeable(depth, earlier, m)) predecessors[m] = earlier;
    return predecessors;
  }
  bool interchangeable(std::size_t depth, std::size_t a, std::size_t b) const {
    const auto& left = problem_.machines[a];
    const auto& right = problem_.machines[b];
    if (std::tie(left.type, left.zone, left.spot, left.rented, left.capacity, left.price) !=
            std::tie(right.type, right.zone, right.spot, right.rented, right.capacity,
                     right.price) ||
        state_.free(a) != state_.free(b) || state_.bin_range(a) != state_.bin_range(b))
      return false;
    for (auto i = depth; i < job_order_.size(); ++i)
      if (problem_.jobs[job_order_[i]].running_on(a) != problem_.jobs[job_order_[i]].running_on(b))
        return false;
    return true;
  }

  void assign_tasks(std::size_t depth, std::size_t m,
                    const std::vector<std::optional<std::size_t>>& predecessors) {
    if (out_of_steps()) return;
    ++steps_;
    const auto j = job_order_[depth];
    const auto& job = problem_.jobs[j];
    if (m == problem_.machines.size()) {
      if (job.shape == Shape::gang && state_.placed(j) != 0 && state_.placed(j) != job.tasks)
        return;
      return branch(depth + 1);
    }
    auto most = state_.max_more_tasks(j, m);
    if (predecessors[m]) {
      const auto limit = state_.tasks_on(j, *predecessors[m]);
      const auto here = state_.tasks_on(j, m);
      most = std::min(most, limit > here ? limit - here : 0);
    }
    for (auto count = most + 1; count-- > 0;) {
      state_.add(j, m, count);
      assign_tasks(depth, m + 1, predecessors);
      state_.remove(j, m, count);
      if (out_of_steps()) return;
    }
  }

  const Problem& problem_;
  SearchOptions fast_options_;
  std::uint64_t max_steps_;
  PlacementState state_;  // begins with the tasks that may not be moved
  std::vector<int> priorities_;
  std::vector<bool> decided_;
  std::vector<std::size_t> job_order_;
  SearchResult best_;
  std::uint64_t steps_ = 0;
};

}  // namespace

ExactResult search_exact(const Problem& problem, std::uint64_t max_steps,
                         const SearchOptions& fast_options) {
  return ExactSearch(problem, max_steps, fast_options).run();
}

Score bound_of(const Problem& problem) { return ExactSearch(problem, 0, {}).bound(); }

}  // namespace violetpulley::solver
