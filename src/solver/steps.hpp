/// @file
/// Plans the transition from one placement to another as a sequence of steps. Every limit holds
/// after each step, and no task is stopped twice. A moving task is stopped first and started
/// elsewhere once the stop is confirmed, so a cycle of moves needs no spare machine: one of its
/// tasks stays stopped until the others have moved. Owns no state.
#pragma once

#include "solver/model.hpp"

namespace violetpulley::solver {

struct TransitionStep {
  enum class Kind { stop, move, start };
  struct Change {
    std::size_t machine = 0;
    std::int64_t task_delta = 0;  ///< change of the number of tasks on the machine
  };
  Kind kind = Kind::start;
  std::size_t job = 0;
  std::vector<Change> changes;  ///< of a move: the machines that tasks leave come first
  Amount loss = 0;              ///< lost work of the tasks that this step stops
};

/// Both placements must keep every limit.
std::vector<TransitionStep> plan_transition(const Problem& problem, const Placement& from,
                                            const Placement& to);
void apply(const TransitionStep& step, Placement& placement);

}  // namespace violetpulley::solver
