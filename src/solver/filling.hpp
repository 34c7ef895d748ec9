// Placing the tasks of one job at a time, and taking that back. Shared by the fast search and by
// the reasons.
#pragma once

#include <vector>

#include "solver/state.hpp"

namespace violetpulley::solver {

// Moves that one move may set off.
inline constexpr int kMaxEjectionChain = 2;

class TaskPlacer {
 public:
  // From a placement that keeps every limit. No room is made after so many steps.
  TaskPlacer(const Problem& problem, const Placement& placement, std::uint64_t max_steps);

  const PlacementState& state() const { return state_; }
  std::uint64_t steps() const { return steps_; }

  using UndoPoint = std::size_t;
  UndoPoint undo_point() const { return undo_log_.size(); }
  void undo_to(UndoPoint undo_point);

  // As many tasks of the job as fit, a gang whole or not at all.
  void place(std::size_t job);
  // Whether one task, or the whole gang, came in by moving others, each of them moved on at most
  // `depth` times in a chain. If not, nothing is changed.
  bool make_room(std::size_t job, int depth);
  // Takes out what may be taken of a job on a machine; a gang leaves all its machines.
  void evict(std::size_t job, std::size_t machine);
  // How many tasks of the job may leave the machine: all but those that run there unmovable.
  std::uint32_t removable(std::size_t job, std::size_t machine) const;

 private:
  struct Change {
    std::size_t job;
    std::size_t machine;
    std::int64_t delta;
  };
  void change(std::size_t job, std::size_t machine, std::int64_t delta);
  void place_on(std::size_t job, const std::vector<std::size_t>& machines);
  // The first `max_machines` of the machines that have room for a task, the best first.
  std::vector<std::size_t> ranked_machines(std::size_t job,
                                           std::optional<std::size_t> excluded_machine,
                                           std::size_t max_machines);
  bool make_room_for_one(std::size_t job, int depth, std::optional<std::size_t> excluded_machine);
  bool make_room_on(std::size_t job, std::size_t machine, int depth);

  const Problem& problem_;
  PlacementState state_;
  std::vector<Change> undo_log_;
  std::uint64_t max_steps_;
  std::uint64_t steps_ = 0;
};

}  // namespace violetpulley::solver
