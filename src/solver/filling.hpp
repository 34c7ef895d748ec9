// Placing the tasks of one job at a time, and taking that back. Shared by the fast search and by
// the reasons.
#pragma once

#include <vector>

#include "solver/state.hpp"

namespace violetpulley::solver {

// Moves that one move may set off.
inline constexpr int kChain = 2;

class Filling {
 public:
  // From a placement that keeps every limit. No room is made after so many steps.
  Filling(const Problem& problem, const Placement& placement, std::uint64_t max_steps);

  const State& state() const { return state_; }
  std::uint64_t steps() const { return steps_; }

  using Mark = std::size_t;
  Mark mark() const { return trail_.size(); }
  void back_to(Mark mark);

  // As many tasks of the job as fit, a gang whole or not at all.
  void place(std::size_t job);
  // Whether one task, or the whole gang, came in by moving others, each of them moved on at most
  // `depth` times in a chain. If not, nothing is changed.
  bool make_room(std::size_t job, int depth);
  // Takes out what may be taken of a job on a machine; a gang leaves all its machines.
  void take_out(std::size_t job, std::size_t machine);
  // How many tasks of the job may leave the machine: all but those that run there unmovable.
  std::uint32_t removable(std::size_t job, std::size_t machine) const;

 private:
  struct Change {
    std::size_t job;
    std::size_t machine;
    std::int64_t delta;
  };
  void change(std::size_t job, std::size_t machine, std::int64_t delta);
  void place_in(std::size_t job, const std::vector<std::size_t>& machines);
  // The first `enough` of the machines that have room for a task, the best first.
  std::vector<std::size_t> in_order(std::size_t job, std::optional<std::size_t> not_on,
                                    std::size_t enough);
  bool room_for_one(std::size_t job, int depth, std::optional<std::size_t> not_on);
  bool room_on(std::size_t job, std::size_t machine, int depth);

  const Problem& problem_;
  State state_;
  std::vector<Change> trail_;
  std::uint64_t max_steps_;
  std::uint64_t steps_ = 0;
};

}  // namespace violetpulley::solver
