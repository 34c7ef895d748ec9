#include "solver/steps.hpp"

#include <algorithm>

#include "solver/state.hpp"

namespace violetpulley::solver {

namespace {

class Steps {
 public:
  Steps(const Problem& problem, const Placement& from, const Placement& to)
      : problem_(problem), to_(to), state_(problem, from) {}

  std::vector<Step> run() {
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) stop_what_ends(j);
    for (;;) {
      bool any = false;
      for (std::size_t j = 0; j < problem_.jobs.size(); ++j) any = move_what_fits(j) || any;
      if (any) continue;
      if (!stop_cheapest()) break;
    }
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) start(j);
    return std::move(steps_);
  }

 private:
  std::int64_t over(std::size_t j, std::size_t m) const {
    return std::int64_t{state_.on(j, m)} - std::int64_t{to_[j][m]};
  }
  bool changes(std::size_t j) const {
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      if (over(j, m) != 0) return true;
    return false;
  }
  bool gang(std::size_t j) const { return problem_.jobs[j].shape == Shape::gang; }

  void take(Step& step, std::size_t m, std::int64_t count) {
    if (count == 0) return;
    if (count > 0) {
      state_.add(step.job, m, static_cast<std::uint32_t>(count));
    } else {
      state_.remove(step.job, m, static_cast<std::uint32_t>(-count));
      step.loss += problem_.jobs[step.job].loss * -count;
    }
    step.changes.push_back({m, count});
  }
  void add(Step step) {
    if (!step.changes.empty()) steps_.push_back(std::move(step));
  }

  // What leaves and comes nowhere else.
  void stop_what_ends(std::size_t j) {
    std::int64_t ends = 0;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) ends += over(j, m);
    for (std::size_t m = 0; m < problem_.machines.size() && ends > 0; ++m) {
      Step step{Step::Kind::stop, j, {}, 0};
      const auto count = std::min(ends, std::max<std::int64_t>(over(j, m), 0));
      take(step, m, -count);
      ends -= count;
      if (gang(j)) {
        for (std::size_t other = m + 1; other < problem_.machines.size(); ++other)
          take(step, other, -over(j, other));
        ends = 0;
      }
      add(std::move(step));
    }
  }

  // As many tasks as have room where they go; a gang goes whole.
  bool move_what_fits(std::size_t j) {
    if (gang(j)) return move_gang(j);
    bool any = false;
    for (std::size_t from = 0; from < problem_.machines.size(); ++from)
      for (std::size_t to = 0; to < problem_.machines.size() && over(j, from) > 0; ++to) {
        if (over(j, to) >= 0) continue;
        const auto wanted = std::min(over(j, from), -over(j, to));
        Step step{Step::Kind::move, j, {}, 0};
        take(step, from, -wanted);
        auto count = std::min<std::int64_t>(wanted, state_.most(j, to));
        // A job of one zone leaves it with all that it has there, or not yet.
        if (problem_.jobs[j].same_zone && count < wanted &&
            state_.zone_of(from) != state_.zone_of(to))
          count = 0;
        state_.add(j, from, static_cast<std::uint32_t>(wanted - count));
        if (count == 0) continue;
        step.changes.front().tasks = -count;
        step.loss = problem_.jobs[j].loss * count;
        take(step, to, count);
        add(std::move(step));
        any = true;
      }
    return any;
  }

  bool move_gang(std::size_t j) {
    if (!changes(j) || state_.placed(j) == 0) return false;
    const auto trial = state_;
    Step step{Step::Kind::move, j, {}, 0};
    // All of its tasks stop, also those that come back to their machine.
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      take(step, m, -std::int64_t{state_.on(j, m)});
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
      if (state_.most(j, m) < to_[j][m]) {
        state_ = trial;
        return false;
      }
      take(step, m, to_[j][m]);
    }
    add(std::move(step));
    return true;
  }

  // Nothing can move: the tasks that lose least are stopped and started at the end.
  bool stop_cheapest() {
    std::optional<std::pair<std::size_t, std::size_t>> best;
    Amount least = 0;
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j)
      for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
        if (over(j, m) <= 0) continue;
        const auto loss = problem_.jobs[j].loss * (gang(j) ? state_.placed(j) : 1);
        if (best && loss >= least) continue;
        best = {j, m};
        least = loss;
      }
    if (!best) return false;
    Step step{Step::Kind::stop, best->first, {}, 0};
    if (gang(best->first)) {
      for (std::size_t m = 0; m < problem_.machines.size(); ++m)
        take(step, m, -std::int64_t{state_.on(best->first, m)});
    } else {
      take(step, best->second, -1);
    }
    add(std::move(step));
    return true;
  }

  // Everything that had to leave has left, so what is missing has room.
  void start(std::size_t j) {
    Step step{Step::Kind::start, j, {}, 0};
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) take(step, m, -over(j, m));
    add(std::move(step));
  }

  const Problem& problem_;
  const Placement& to_;
  State state_;
  std::vector<Step> steps_;
};

}  // namespace

std::vector<Step> steps_to(const Problem& problem, const Placement& from, const Placement& to) {
  return Steps(problem, from, to).run();
}

void apply(const Step& step, Placement& placement) {
  for (const auto& change : step.changes)
    placement[step.job][change.machine] = static_cast<std::uint32_t>(
        std::int64_t{placement[step.job][change.machine]} + change.tasks);
}

}  // namespace violetpulley::solver
