/// @file
/// Places and removes the tasks of one job at a time and can undo these changes. Used by the fast
/// search and by the explanations. Owns the placement under construction and an undo log.
#pragma once

#include <vector>

#include "solver/state.hpp"

namespace violetpulley::solver {

/// Maximum length of the chain of further moves that one move may cause.
inline constexpr int kMaxEjectionChain = 2;

class TaskPlacer {
 public:
  /// `placement` must keep every limit. After `max_steps`, no more tasks are moved to make room.
  TaskPlacer(const Problem& problem, const Placement& placement, std::uint64_t max_steps);

  const PlacementState& state() const { return state_; }
  std::uint64_t steps() const { return steps_; }

  using UndoPoint = std::size_t;
  UndoPoint undo_point() const { return undo_log_.size(); }
  void undo_to(UndoPoint undo_point);

  /// Places as many tasks of the job as fit; a gang is placed whole or not at all.
  void place(std::size_t job);
  /// Places one task, or the whole gang, by moving tasks of other jobs. A moved task may cause a
  /// chain of at most `depth` further moves. Returns false, with nothing changed, if no room is
  /// found.
  bool make_room(std::size_t job, int depth);
  /// Removes the removable tasks of a job from a machine; a gang is removed from all its machines,
  /// or not at all if any of its tasks is not removable.
  void evict(std::size_t job, std::size_t machine);
  /// Number of tasks of the job that may leave the machine: all but running tasks that may not be
  /// moved.
  std::uint32_t removable(std::size_t job, std::size_t machine) const;

 private:
  struct Change {
    std::size_t job;
    std::size_t machine;
    std::int64_t delta;
  };
  void change(std::size_t job, std::size_t machine, std::int64_t delta);
  void place_on(std::size_t job, const std::vector<std::size_t>& machines);
  // The best `max_machines` machines that have room for a task, the best first.
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
