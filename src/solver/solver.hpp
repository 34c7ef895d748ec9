/// @file
/// Placement search over one problem. The fast search is a heuristic limited by rounds and steps,
/// never by time, so that its results are reproducible. The exact search proves the optimum or
/// returns a bound of the score. Owns no state.
///
/// The tasks that run now (`Job::running_tasks`) must keep every limit:
/// `broken_limit(problem, current_placement(problem))` must be empty.
#pragma once

#include "solver/state.hpp"

namespace violetpulley::solver {

/// Limits of the fast search.
struct SearchOptions {
  /// Orders of the jobs from which initial placements are built; 0: the search starts from the
  /// current placement.
  std::uint32_t job_orders = 4;
  /// Rounds of large neighbourhood search.
  std::uint32_t rounds = 60;
  std::uint64_t seed = 1;
  /// Steps are machines inspected for a job, and jobs inspected as candidates for a move. After
  /// this many the search moves no more tasks to make room and starts no further round.
  std::uint64_t max_steps = 2'000'000;
};

struct SearchResult {
  Placement placement;
  Score score;
  std::uint64_t steps = 0;  ///< taken by the search
};

struct ExactResult {
  SearchResult best;
  bool proven = false;  ///< no placement has a better score
  Score bound;          ///< no placement has a better score than this
};

SearchResult search_fast(const Problem& problem, const SearchOptions& options = {});
/// Stops after `max_steps`; then `proven` is false, and only `bound` limits the optimal score.
/// `fast_options` apply to the fast search that gives the initial placement.
ExactResult search_exact(const Problem& problem, std::uint64_t max_steps = 20'000'000,
                         const SearchOptions& fast_options = {});

/// Moves no task: running tasks stay, and free capacity is filled in order of priority. Baseline to
/// compare both searches with.
SearchResult place_greedily(const Problem& problem);

/// Bound of the score: no placement is better than it in any part.
Score bound_of(const Problem& problem);

}  // namespace violetpulley::solver
