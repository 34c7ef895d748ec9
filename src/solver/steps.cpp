#include "solver/steps.hpp"

#include <algorithm>

#include "solver/state.hpp"

namespace violetpulley::solver {

namespace {

class TransitionPlanner {
 public:
  TransitionPlanner(const Problem& problem, const Placement& from, const Placement& to)
      : problem_(problem), to_(to), state_(problem, from) {}

  std::vector<TransitionStep> run() {
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) stop_surplus_tasks(j);
    for (;;) {
      bool moved = false;
      for (std::size_t j = 0; j < problem_.jobs.size(); ++j) moved = move_tasks(j) || moved;
      if (moved) continue;
      if (!stop_cheapest_task()) break;
    }
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j) start(j);
    return std::move(steps_);
  }

 private:
  std::int64_t surplus(std::size_t j, std::size_t m) const {
    return std::int64_t{state_.tasks_on(j, m)} - std::int64_t{to_[j][m]};
  }
  bool is_changed(std::size_t j) const {
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      if (surplus(j, m) != 0) return true;
    return false;
  }
  bool is_gang(std::size_t j) const { return problem_.jobs[j].shape == Shape::gang; }

  void change_tasks(TransitionStep& step, std::size_t m, std::int64_t count) {
    if (count == 0) return;
    if (count > 0) {
      state_.add(step.job, m, static_cast<std::uint32_t>(count));
    } else {
      state_.remove(step.job, m, static_cast<std::uint32_t>(-count));
      step.loss += problem_.jobs[step.job].loss * -count;
    }
    step.changes.push_back({m, count});
  }
  void append(TransitionStep step) {
    if (!step.changes.empty()) steps_.push_back(std::move(step));
  }

  // Stops running tasks that have no place in the target placement.
  void stop_surplus_tasks(std::size_t j) {
    std::int64_t excess = 0;
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) excess += surplus(j, m);
    for (std::size_t m = 0; m < problem_.machines.size() && excess > 0; ++m) {
      TransitionStep step{TransitionStep::Kind::stop, j, {}, 0};
      const auto count = std::min(excess, std::max<std::int64_t>(surplus(j, m), 0));
      change_tasks(step, m, -count);
      excess -= count;
      if (is_gang(j)) {
        for (std::size_t other = m + 1; other < problem_.machines.size(); ++other)
          change_tasks(step, other, -surplus(j, other));
        excess = 0;
      }
      append(std::move(step));
    }
  }

  // Moves the tasks that have room on their target machines; a gang moves with all its tasks at
  // once.
  bool move_tasks(std::size_t j) {
    if (is_gang(j)) return move_gang(j);
    bool moved = false;
    for (std::size_t from = 0; from < problem_.machines.size(); ++from)
      for (std::size_t to = 0; to < problem_.machines.size() && surplus(j, from) > 0; ++to) {
        if (surplus(j, to) >= 0) continue;
        const auto requested = std::min(surplus(j, from), -surplus(j, to));
        TransitionStep step{TransitionStep::Kind::move, j, {}, 0};
        change_tasks(step, from, -requested);
        auto count = std::min<std::int64_t>(requested, state_.max_more_tasks(j, to));
        // A same-zone job may not have tasks in two zones between steps, so it changes zones with
        // all tasks at once or not yet.
        if (problem_.jobs[j].same_zone && count < requested &&
            state_.zone_of(from) != state_.zone_of(to))
          count = 0;
        state_.add(j, from, static_cast<std::uint32_t>(requested - count));
        if (count == 0) continue;
        step.changes.front().task_delta = -count;
        step.loss = problem_.jobs[j].loss * count;
        change_tasks(step, to, count);
        append(std::move(step));
        moved = true;
      }
    return moved;
  }

  bool move_gang(std::size_t j) {
    if (!is_changed(j) || state_.placed(j) == 0) return false;
    const auto saved_state = state_;
    TransitionStep step{TransitionStep::Kind::move, j, {}, 0};
    // All tasks of the gang stop, also those that return to their machines.
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      change_tasks(step, m, -std::int64_t{state_.tasks_on(j, m)});
    for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
      if (state_.max_more_tasks(j, m) < to_[j][m]) {
        state_ = saved_state;
        return false;
      }
      change_tasks(step, m, to_[j][m]);
    }
    append(std::move(step));
    return true;
  }

  // Called when no task can move: stops the task, or the gang, that loses the least work. `start`
  // starts the stopped tasks on their target machines at the end.
  bool stop_cheapest_task() {
    std::optional<std::pair<std::size_t, std::size_t>> cheapest;
    Amount min_loss = 0;
    for (std::size_t j = 0; j < problem_.jobs.size(); ++j)
      for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
        if (surplus(j, m) <= 0) continue;
        const auto loss = problem_.jobs[j].loss * (is_gang(j) ? state_.placed(j) : 1);
        if (cheapest && loss >= min_loss) continue;
        cheapest = {j, m};
        min_loss = loss;
      }
    if (!cheapest) return false;
    TransitionStep step{TransitionStep::Kind::stop, cheapest->first, {}, 0};
    if (is_gang(cheapest->first)) {
      for (std::size_t m = 0; m < problem_.machines.size(); ++m)
        change_tasks(step, m, -std::int64_t{state_.tasks_on(cheapest->first, m)});
    } else {
      change_tasks(step, cheapest->second, -1);
    }
    append(std::move(step));
    return true;
  }

  // Starts the missing tasks of the job. They fit, since all tasks that had to leave a machine have
  // left it.
  void start(std::size_t j) {
    TransitionStep step{TransitionStep::Kind::start, j, {}, 0};
    for (std::size_t m = 0; m < problem_.machines.size(); ++m)
      change_tasks(step, m, -surplus(j, m));
    append(std::move(step));
  }

  const Problem& problem_;
  const Placement& to_;
  PlacementState state_;
  std::vector<TransitionStep> steps_;
};

}  // namespace

std::vector<TransitionStep> plan_transition(const Problem& problem, const Placement& from,
                                            const Placement& to) {
  return TransitionPlanner(problem, from, to).run();
}

void apply(const TransitionStep& step, Placement& placement) {
  for (const auto& change : step.changes)
    placement[step.job][change.machine] = static_cast<std::uint32_t>(
        std::int64_t{placement[step.job][change.machine]} + change.task_delta);
}

}  // namespace violetpulley::solver
