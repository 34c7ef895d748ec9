/// @file
/// Explains why a job of this leader waits. The state of the core is converted to two problems of
/// the solver: one in which all machines are empty and one with their present free capacity. Tasks
/// of other jobs only reduce the free capacity and are not modelled, which bounds the work. Changes
/// no state.
#pragma once

#include "core/controller.hpp"
#include "solver/reasons.hpp"

namespace violetpulley::diagnostics {

/// One reason why a job waits.
struct Cause {
  std::string code;  ///< stable, for programs
  std::string text;  ///< for people
};

/// Why a job waits, and what would have to change.
struct PlacementExplanation {
  core::JobId job;
  core::TaskIndex waiting = 0;
  core::TaskIndex on_machines = 0;
  core::TaskIndex done = 0;
  /// Waiting tasks that are bound to a scale-out request or a provisioning machine.
  core::TaskIndex bound = 0;
  /// The job would not fit even if all machines were empty.
  bool impossible = false;
  /// The fewest constraints without which one more task, or the gang, would fit.
  std::vector<Cause> causes;
  /// Time until the job fits if other tasks end as expected and no job is added; none: unknown.
  std::optional<core::Seconds> fits_in;
  /// Machines that may take tasks.
  std::size_t machines = 0;
  /// Machines that take no tasks, by cause.
  std::map<std::string, std::size_t> set_aside;
  /// Machine types that the job may use and that have the capacity for one of its tasks.
  std::vector<std::string> rentable_types;
};

/// Explains why tasks of a job wait. None: the leader has no open job with this ID.
std::optional<PlacementExplanation> explain_placement(const core::Controller& controller,
                                                      const std::vector<core::Team>& teams,
                                                      const std::vector<core::MachineType>& types,
                                                      const core::JobId& id, core::TimePoint now);

}  // namespace violetpulley::diagnostics
