/// @file
/// The fast search. Initial placements are built from several job orders, where chains of moves
/// make room for tasks that do not fit. Large neighbourhood search then improves the best
/// placement: each round evicts most jobs from one to three machines and places all jobs again.
/// Owns the best placement and the random generator.
#include <algorithm>
#include <numeric>
#include <random>

#include "solver/filling.hpp"
#include "solver/solver.hpp"

namespace violetpulley::solver {

namespace {

using JobOrder = std::vector<std::size_t>;

// By priority; of equal priorities the largest job first, since it is the hardest to place.
JobOrder by_priority_and_size(const Problem& problem) {
  Resources all;
  for (const auto& machine : problem.machines) all += machine.capacity;
  const auto size = [&](std::size_t j) {  // largest share of the fleet, in millionths
    const auto& job = problem.jobs[j];
    std::int64_t max_share = 0;
    for (std::size_t r = 0; r < kResourceCount; ++r)
      if (all.amounts[r] > 0)
        max_share = std::max(max_share, job.per_task.amounts[r] *
                                            (job.shape == Shape::gang ? job.tasks : 1) /
                                            (all.amounts[r] / 1'000'000 + 1));
    return max_share;
  };
  JobOrder order(problem.jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const auto& left = problem.jobs[a];
    const auto& right = problem.jobs[b];
    if (left.priority != right.priority) return left.priority > right.priority;
    return size(a) > size(b);
  });
  return order;
}

void shuffle_within_priority(JobOrder& order, const Problem& problem, std::mt19937_64& random) {
  for (std::size_t i = order.size(); i > 1; --i) {
    const auto other = random() % i;
    if (problem.jobs[order[other]].priority == problem.jobs[order[i - 1]].priority)
      std::swap(order[other], order[i - 1]);
  }
}

class FastSearch {
 public:
  FastSearch(const Problem& problem, const SearchOptions& options)
      : problem_(problem), options_(options), random_(options.seed) {}

  SearchResult run() {
    best_.placement = current_placement(problem_);
    best_.score = score_of(problem_, best_.placement);
    auto order = by_priority_and_size(problem_);
    for (std::uint32_t i = 0; i < options_.job_orders; ++i) {
      for (const bool keep_movable : {true, false}) {
        TaskPlacer placer(problem_, current_placement(problem_, keep_movable), remaining_steps());
        place_all(placer, order);
        keep_if_better(placer);
        if (std::all_of(problem_.jobs.begin(), problem_.jobs.end(),
                        [](const Job& job) { return !job.movable; }))
          break;
      }
      shuffle_within_priority(order, problem_, random_);
    }
    for (std::uint32_t i = 0;
         i < options_.rounds && !problem_.machines.empty() && remaining_steps() > 0; ++i)
      search_neighbourhood(order);
    return std::move(best_);
  }

 private:
  void place_all(TaskPlacer& placer, const JobOrder& order) {
    for (const auto j : order) placer.place(j);
    for (const auto j : order)
      while (placer.state().placed(j) < problem_.jobs[j].tasks &&
             placer.make_room(j, kMaxEjectionChain)) {
      }
  }

  std::uint64_t remaining_steps() const {
    return options_.max_steps > best_.steps ? options_.max_steps - best_.steps : 0;
  }

  bool keep_if_better(const TaskPlacer& placer) {
    best_.steps += placer.steps();
    auto score = score_of(problem_, placer.state().placement());
    if (!score.better_than(best_.score)) return false;
    best_.placement = placer.state().placement();
    best_.score = std::move(score);
    return true;
  }

  // A random machine that has tasks; any machine if none has.
  std::size_t random_used_machine(const TaskPlacer& placer) {
    const auto begin = random_() % problem_.machines.size();
    for (std::size_t i = 0; i < problem_.machines.size(); ++i) {
      const auto m = (begin + i) % problem_.machines.size();
      if (placer.state().bin_range(m)) return m;
    }
    return begin;
  }

  void search_neighbourhood(JobOrder order) {
    TaskPlacer placer(problem_, best_.placement, remaining_steps());
    const auto machines = 1 + random_() % 3;
    std::vector<bool> evicted(problem_.jobs.size());
    for (std::uint64_t i = 0; i < machines; ++i) {
      const auto m = random_used_machine(placer);
      for (std::size_t j = 0; j < problem_.jobs.size(); ++j) {
        if (placer.state().tasks_on(j, m) == 0) continue;
        if (random_() % 4 == 0) continue;
        placer.evict(j, m);
        evicted[j] = true;
      }
    }
    shuffle_within_priority(order, problem_, random_);
    // In half of the rounds the jobs that were not evicted go first. Otherwise evicted jobs that
    // come earlier in the order would always take back the capacity that they have just left.
    if (random_() % 2 == 0)
      std::stable_partition(order.begin(), order.end(), [&](std::size_t j) { return !evicted[j]; });
    place_all(placer, order);
    keep_if_better(placer);
  }

  const Problem& problem_;
  const SearchOptions& options_;
  std::mt19937_64 random_;
  SearchResult best_;
};

}  // namespace

SearchResult search_fast(const Problem& problem, const SearchOptions& options) {
  return FastSearch(problem, options).run();
}

SearchResult place_greedily(const Problem& problem) {
  TaskPlacer placer(problem, current_placement(problem), 0);
  for (const auto j : by_priority_and_size(problem)) placer.place(j);
  return {placer.state().placement(), score_of(problem, placer.state().placement()),
          placer.steps()};
}

}  // namespace violetpulley::solver
