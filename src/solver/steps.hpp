// From what runs now to a placement, step by step: after each step every limit is kept, and no task
// is stopped twice. A task that moves is stopped, and started elsewhere once that is confirmed, so
// a cycle needs no third machine: one task of it is out until the others have made room.
#pragma once

#include "solver/model.hpp"

namespace violetpulley::solver {

struct TransitionStep {
  enum class Kind { stop, move, start };
  struct Change {
    std::size_t machine = 0;
    std::int64_t task_delta = 0;  // how many more
  };
  Kind kind = Kind::start;
  std::size_t job = 0;
  std::vector<Change> changes;  // of a move: away first
  Amount loss = 0;              // what is stopped here loses
};

// Both placements must keep every limit.
std::vector<TransitionStep> plan_transition(const Problem& problem, const Placement& from,
                                            const Placement& to);
void apply(const TransitionStep& step, Placement& placement);

}  // namespace violetpulley::solver
