// Two searches over one problem. The fast one is bounded by rounds, never by time, so that it
// repeats; the exact one proves what it finds, or tells how much better it could be at most.
//
// What runs now (`Job::home`) must keep every limit: see `broken_limit(problem, homes(problem))`.
#pragma once

#include "solver/state.hpp"

namespace violetpulley::solver {

struct SearchOptions {
  std::uint32_t job_orders = 4;  // in which jobs are tried from the start; 0: what runs is kept
  std::uint32_t rounds = 60;     // of taking some jobs out and placing them anew
  std::uint64_t seed = 1;
  std::uint64_t max_steps = 2'000'000;  // looks at a machine for a job, after which no room is made
};

struct SearchResult {
  Placement placement;
  Score score;
  std::uint64_t steps = 0;  // what the search looked at
};

struct ExactResult {
  SearchResult best;
  bool proven = false;  // nothing is better
  Score bound;          // nothing is better than this
};

SearchResult search_fast(const Problem& problem, const SearchOptions& options = {});
// Stops after so many steps and then has proved its bound alone.
// `first`: of the fast search that it starts from.
ExactResult search_exact(const Problem& problem, std::uint64_t max_steps = 20'000'000,
                         const SearchOptions& fast_options = {});

// The placement with nothing moved: what runs stays, and free room is filled in order of priority.
// The plain packing that the searches are compared with.
SearchResult place_greedily(const Problem& problem);

// No placement is better than this in any part, whatever is moved.
Score bound_of(const Problem& problem);

}  // namespace violetpulley::solver
