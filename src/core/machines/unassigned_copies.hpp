/// @file
/// Copies of tasks that machines list without an assignment (docs/safety.md, "A copy without an
/// assignment"): a new leader adopts the first copy of a task that a machine lists, and a delayed
/// heartbeat may list a copy that has ended long ago. The other copies are stopped, and their tasks
/// do not start before these copies are proven to have ended. Owns the copies of each machine's
/// newest task list.
#pragma once

#include <map>
#include <utility>

#include "core/model/identifiers.hpp"

namespace violetpulley::core {

/// What a machine reports of a copy without an assignment.
enum class CopyState : std::uint8_t {
  live,  ///< The copy is on the machine.
  done   ///< The copy has completed its task, and the completion is not recorded yet.
};

/// The copies without an assignment, by task and by machine.
class UnassignedCopies {
 public:
  /// The copies on one machine, by task.
  using OfMachine = std::map<TaskKey, CopyState>;
  /// The copies of each task, by machine.
  using Table = std::map<TaskKey, std::map<MachineId, CopyState>>;
  /// An empty table is left out of snapshots, so that these equal the snapshots of older versions.
  static constexpr bool kOmittedWhenEmpty = true;

  /// Replaces the copies on a machine by those of its newest task list.
  void replace(const MachineId& machine, OfMachine copies);
  /// Removes the copies on a machine that is gone or has ended its tasks.
  void clear_machine(const MachineId& machine);

  /// Removes everything, before a snapshot is restored.
  void clear() { *this = {}; }
  bool empty() const { return copies_.empty(); }
  bool contains(const TaskKey& task) const { return copies_.contains(task); }
  bool contains_job(const JobId& job) const;
  /// The entries of a job, as a range of the table.
  std::pair<Table::const_iterator, Table::const_iterator> of_job(const JobId& job) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.copies_, s.by_machine_);
  }

 private:
  Table copies_;
  std::map<MachineId, OfMachine> by_machine_;  ///< the entries of `copies_`
};

}  // namespace violetpulley::core
