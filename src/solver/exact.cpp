// Branch and bound: job after job, and for each every way to share its tasks out among the
// machines; of machines that are alike by then only one order is tried. A branch is left when
// nothing in it can be better than the best found, part by part of the score.
#include <algorithm>
#include <tuple>

#include "solver/solver.hpp"

namespace violetpulley::solver {

namespace {

class Exact {
 public:
  Exact(const Problem& problem, std::uint64_t max_steps, const Effort& first)
      : problem_(problem),
        first_(first),
        max_steps_(max_steps),
        state_(problem, homes(problem, false)),
        priorities_(priorities_of(problem)),
        decided_(problem.jobs.size()) {
    for (std::size_t j = 0; j < problem.jobs.size(); ++j) order_.push_back(j);
    std::stable_sort(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) {
      const auto& left = problem.jobs[a];
      const auto& right = problem.jobs[b];
      return std::tuple(-left.priority, -left.weight()) <
             std::tuple(-right.priority, -right.weight());
    });
  }

  Proof run() {
    Proof out;
    best_ = search_fast(problem_, first_);
    out.bound = bound();
    job(0);
    best_.steps = steps_;
    out.best = std::move(best_);
    out.proven = steps_ < max_steps_;
    if (out.proven) out.bound = out.best.score;
    return out;
  }

  // What no completion of the present state can exceed, in any part.
  Score bound() const {
    Score out;
    out.placed.resize(priorities_.size());
    std::vector<std::uint32_t> could(problem_.jobs.size());
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) could[j] = could_place(j);
    Room free;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) free += state_.free(m);
    for (std::size_t level = 0; level < priorities_.size(); ++level)
      out.placed[level] = level_bound(priorities_[level], could, free);
    for (const auto& team : problem_.teams)
      for (const auto r : {cpus, gpus}) {
        Amount use = 0;
        for (std::size_t j = 0; j < problem_.jobs.size(); ++j)
          if (problem_.jobs[j].team == team.name) use += problem_.jobs[j].per_task.of[r] * could[j];
        out.guaranteed += std::min(team.guaranteed.of[r], use);
      }
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) out.loss += min_loss(j);
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      if (const auto bins = state_.bins(m)) {
        ++out.machines;
        out.price += problem_.machines[m].price +
                     mixing_cost(problem_.machines[m], bins->first, bins->second);
      }
    return out;
  }

 private:
  std::uint32_t could_place(std::size_t j) const {
    const auto& job = problem_.jobs[j];
    if (decided_[j]) return state_.placed(j);
    std::uint64_t room = 0;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) room += state_.most(j, m);
    const auto most = state_.placed(j) + static_cast<std::uint32_t>(std::min<std::uint64_t>(
                                             room, job.tasks - state_.placed(j)));
    return job.shape == Shape::gang && most < job.tasks ? state_.placed(j) : most;
  }

  // Of the jobs of one priority, by the room that is left over all machines: for each resource by
  // itself those first that count most for what they take, the last one whole.
  Amount level_bound(int priority, const std::vector<std::uint32_t>& could,
                     const Room& free) const {
    std::vector<std::size_t> open;
    Amount sure = 0;
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) {
      if (problem_.jobs[j].priority != priority) continue;
      sure += problem_.jobs[j].weight() * state_.placed(j);
      if (could[j] > state_.placed(j)) open.push_back(j);
    }
    Amount least = -1;
    for (std::size_t r = 0; r < kResources; ++r) {
      std::sort(open.begin(), open.end(),
                [&](std::size_t a, std::size_t b) { return worth(a, r) > worth(b, r); });
      Amount left = free.of[r];
      Amount sum = sure;
      for (const auto j : open) {
        const auto& job = problem_.jobs[j];
        const std::int64_t tasks = could[j] - state_.placed(j);
        const auto size = job.per_task.of[r];
        const auto fit = size == 0 ? tasks : std::min(tasks, (left + size - 1) / size);
        sum += job.weight() * fit;
        left -= std::min(left, size * fit);
      }
      if (least < 0 || sum < least) least = sum;
    }
    return least;
  }
  // Weight for a thousandth of a unit; what takes nothing comes first.
  Amount worth(std::size_t j, std::size_t r) const {
    const auto& job = problem_.jobs[j];
    return job.per_task.of[r] == 0 ? INT64_MAX : job.weight() * 1000 / job.per_task.of[r];
  }

  Amount min_loss(std::size_t j) const {
    const auto& job = problem_.jobs[j];
    if (job.home.empty() || !job.movable) return 0;
    std::int64_t left = 0;
    std::int64_t running = 0;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
      const auto home = job.home_on(m);
      running += home;
      const auto could = state_.on(j, m) + (decided_[j] ? 0 : state_.most(j, m));
      if (home > could) left += home - could;
    }
    return job.loss * (job.shape == Shape::gang && left > 0 ? running : left);
  }

  bool stopped() const { return steps_ >= max_steps_; }

  void job(std::size_t depth) {
    if (stopped() || !bound().better_than(best_.score)) return;
    if (depth == order_.size()) {
      best_.placement = state_.placement();
      best_.score = score_of(problem_, best_.placement);
      return;
    }
    const auto j = order_[depth];
    decided_[j] = true;
    share_out(depth, 0, alike(depth));
    decided_[j] = false;
  }

  // For each machine the one before it that is alike for all that is still to be placed.
  std::vector<std::optional<std::size_t>> alike(std::size_t depth) const {
    std::vector<std::optional<std::size_t>> out(problem_.machines.size());
    for (std::size_t m = 1; m < out.size(); ++m)
      for (std::size_t before = m; before-- > 0 && !out[m];)
        if (same(depth, before, m)) out[m] = before;
    return out;
  }
  bool same(std::size_t depth, std::size_t a, std::size_t b) const {
    const auto& left = problem_.machines[a];
    const auto& right = problem_.machines[b];
    if (std::tie(left.type, left.zone, left.spot, left.rented, left.room, left.price) !=
            std::tie(right.type, right.zone, right.spot, right.rented, right.room, right.price) ||
        state_.free(a) != state_.free(b) || state_.bins(a) != state_.bins(b))
      return false;
    for (auto i = depth; i < order_.size(); ++i)
      if (problem_.jobs[order_[i]].home_on(a) != problem_.jobs[order_[i]].home_on(b)) return false;
    return true;
  }

  void share_out(std::size_t depth, std::size_t m,
                 const std::vector<std::optional<std::size_t>>& before) {
    if (stopped()) return;
    ++steps_;
    const auto j = order_[depth];
    const auto& spec = problem_.jobs[j];
    if (m == problem_.machines.size()) {
      if (spec.shape == Shape::gang && state_.placed(j) != 0 && state_.placed(j) != spec.tasks)
        return;
      return job(depth + 1);
    }
    auto most = state_.most(j, m);
    if (before[m]) {
      const auto limit = state_.on(j, *before[m]);
      const auto here = state_.on(j, m);
      most = std::min(most, limit > here ? limit - here : 0);
    }
    for (auto count = most + 1; count-- > 0;) {
      state_.add(j, m, count);
      share_out(depth, m + 1, before);
      state_.remove(j, m, count);
      if (stopped()) return;
    }
  }

  const Problem& problem_;
  Effort first_;
  std::uint64_t max_steps_;
  State state_;  // what may not be moved is there from the start, whatever comes before it
  std::vector<int> priorities_;
  std::vector<bool> decided_;
  std::vector<std::size_t> order_;
  Found best_;
  std::uint64_t steps_ = 0;
};

}  // namespace

Proof search_exact(const Problem& problem, std::uint64_t max_steps, const Effort& first) {
  return Exact(problem, max_steps, first).run();
}

Score bound_of(const Problem& problem) { return Exact(problem, 0, {}).bound(); }

}  // namespace violetpulley::solver
