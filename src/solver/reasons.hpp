// Why a job, or the rest of it, is not placed: the fewest wishes and limits without which it would
// fit, found by dropping them one set after another, and what would let it in at the least cost.
#pragma once

#include "solver/state.hpp"

namespace violetpulley::solver {

// Stable names for programs are in `code_of`.
enum class Reason { cpus, gpus, memory, types, zone, spot, same_zone, spread, team_limit };
inline constexpr std::size_t kReasons = 9;

const char* code_of(Reason reason);
// "zone" -> "it may run in zone north only".
std::string sentence_of(Reason reason, const Job& job);
Relaxation relaxation_of(const std::vector<Reason>& reasons);

struct Remedy {
  enum class Kind { none, wait, move };
  Kind kind = Kind::none;
  int bin = 0;            // wait: for all tasks up to this bin of remaining run time
  std::string job;        // move: a task of this
  std::string machine;    // move: away from there
  std::size_t moves = 0;  // move: how many tasks in all
};

struct Explanation {
  std::uint32_t missing = 0;  // tasks that are not placed; 0: nothing to explain
  bool impossible = false;    // not even on these machines when they are empty
  bool no_machines = false;   // there is none at all; then there are no reasons
  std::vector<Reason> reasons;
  Remedy remedy;
};

// Whether one more task of the job, or the whole gang, fits beside what is placed.
bool fits(const PlacementState& state, std::size_t job, const Relaxation& relaxed = {});

Explanation explain(const Problem& problem, const Placement& placement, std::size_t job);

}  // namespace violetpulley::solver
