// The fast search: the waiting jobs are filled in, in several orders, room is made by moves in
// chains, and then some machines are emptied again and again and what was on them placed anew, as
// long as that makes it better (large neighbourhood search).
#include <algorithm>
#include <numeric>
#include <random>

#include "solver/filling.hpp"
#include "solver/solver.hpp"

namespace violetpulley::solver {

namespace {

using Order = std::vector<std::size_t>;

// By priority, those that are hard to place first among equals.
Order by_size(const Problem& problem) {
  Room all;
  for (const auto& machine : problem.machines) all += machine.room;
  const auto size = [&](std::size_t j) {  // in thousandths of the fleet, its greatest share
    const auto& job = problem.jobs[j];
    std::int64_t greatest = 0;
    for (std::size_t r = 0; r < kResources; ++r)
      if (all.of[r] > 0)
        greatest =
            std::max(greatest, job.per_task.of[r] * (job.shape == Shape::gang ? job.tasks : 1) /
                                   (all.of[r] / 1'000'000 + 1));
    return greatest;
  };
  Order order(problem.jobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const auto& left = problem.jobs[a];
    const auto& right = problem.jobs[b];
    if (left.priority != right.priority) return left.priority > right.priority;
    return size(a) > size(b);
  });
  return order;
}

void shuffle_equals(Order& order, const Problem& problem, std::mt19937_64& random) {
  for (std::size_t i = order.size(); i > 1; --i) {
    const auto other = random() % i;
    if (problem.jobs[order[other]].priority == problem.jobs[order[i - 1]].priority)
      std::swap(order[other], order[i - 1]);
  }
}

class Fast {
 public:
  Fast(const Problem& problem, const Effort& effort)
      : problem_(problem), effort_(effort), random_(effort.seed) {}

  Found run() {
    best_.placement = homes(problem_);
    best_.score = score_of(problem_, best_.placement);
    auto order = by_size(problem_);
    for (std::uint32_t i = 0; i < effort_.orders; ++i) {
      for (const bool keep_movable : {true, false}) {
        Filling filling(problem_, homes(problem_, keep_movable), left());
        complete(filling, order);
        keep_if_better(filling);
        if (std::all_of(problem_.jobs.begin(), problem_.jobs.end(),
                        [](const Job& job) { return !job.movable; }))
          break;
      }
      shuffle_equals(order, problem_, random_);
    }
    for (std::uint32_t i = 0; i < effort_.rounds && !problem_.machines.empty() && left() > 0; ++i)
      round(order);
    return std::move(best_);
  }

 private:
  void complete(Filling& filling, const Order& order) {
    for (const auto j : order) filling.place(j);
    for (const auto j : order)
      while (filling.state().placed(j) < problem_.jobs[j].tasks && filling.make_room(j, kChain)) {
      }
  }

  std::uint64_t left() const {
    return effort_.steps > best_.steps ? effort_.steps - best_.steps : 0;
  }

  bool keep_if_better(const Filling& filling) {
    best_.steps += filling.steps();
    auto score = score_of(problem_, filling.state().placement());
    if (!score.better_than(best_.score)) return false;
    best_.placement = filling.state().placement();
    best_.score = std::move(score);
    return true;
  }

  // A machine that holds something, by chance.
  std::size_t some_machine(const Filling& filling) {
    const auto begin = random_() % problem_.machines.size();
    for (std::size_t i = 0; i < problem_.machines.size(); ++i) {
      const auto m = (begin + i) % problem_.machines.size();
      if (filling.state().bins(m)) return m;
    }
    return begin;
  }

  void round(Order order) {
    Filling filling(problem_, best_.placement, left());
    const auto machines = 1 + random_() % 3;
    std::vector<bool> out(problem_.jobs.size());
    for (std::uint64_t i = 0; i < machines; ++i) {
      const auto m = some_machine(filling);
      for (std::size_t j = 0; j < problem_.jobs.size(); ++j) {
        if (filling.state().on(j, m) == 0) continue;
        if (random_() % 4 == 0) continue;
        filling.take_out(j, m);
        out[j] = true;
      }
    }
    shuffle_equals(order, problem_, random_);
    // Half of the time what was out before comes first, else it would never get a turn.
    if (random_() % 2 == 0)
      std::stable_partition(order.begin(), order.end(), [&](std::size_t j) { return !out[j]; });
    complete(filling, order);
    keep_if_better(filling);
  }

  const Problem& problem_;
  const Effort& effort_;
  std::mt19937_64 random_;
  Found best_;
};

}  // namespace

Found search_fast(const Problem& problem, const Effort& effort) {
  return Fast(problem, effort).run();
}

Found fill(const Problem& problem) {
  Filling filling(problem, homes(problem), 0);
  for (const auto j : by_size(problem)) filling.place(j);
  return {filling.state().placement(), score_of(problem, filling.state().placement()),
          filling.steps()};
}

}  // namespace violetpulley::solver
