/// @file
/// Explains why tasks of a job are not placed: the smallest set of constraints without which one
/// more task, or the whole gang, would fit, and a change that would let it fit. The sets are tried
/// in order of size, the smallest first. Owns no state.
#pragma once

#include "solver/state.hpp"

namespace violetpulley::solver {

/// A constraint that keeps a job out; `code_of` gives its stable name.
enum class Reason { cpus, gpus, memory, types, zone, spot, same_zone, spread, team_limit };
inline constexpr std::size_t kReasonCount = 9;

const char* code_of(Reason reason);
/// Text for people, such as "it may run in zone north only".
std::string sentence_of(Reason reason, const Job& job);
Relaxation relaxation_of(const std::vector<Reason>& reasons);

struct SuggestedPlan {
  enum class Kind { none, wait, move };
  Kind kind = Kind::none;
  int bin = 0;            ///< wait: until all tasks up to this run-time bin have ended
  std::string job;        ///< move: job of one of the tasks that move
  std::string machine;    ///< move: machine that this task leaves
  std::size_t moves = 0;  ///< move: number of tasks that move
};

struct Explanation {
  std::uint32_t missing = 0;  ///< tasks that are not placed; 0: all other fields are unset
  bool impossible = false;    ///< the job does not fit even on empty machines
  bool no_machines = false;   ///< the problem has no machines; then `reasons` is empty
  std::vector<Reason> reasons;
  SuggestedPlan suggested_plan;
};

/// Whether one more task of the job, or the whole gang, fits beside the placed tasks.
bool fits(const PlacementState& state, std::size_t job, const Relaxation& relaxed = {});

Explanation explain(const Problem& problem, const Placement& placement, std::size_t job);

}  // namespace violetpulley::solver
