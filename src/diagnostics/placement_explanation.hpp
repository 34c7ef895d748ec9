/// @file
/// Explains why a job of this leader waits now. The core's state is turned into two problems of the
/// solver: one with every machine empty, one with the machines as they are. Changes nothing; the
/// work is bounded, since what other jobs run is folded into the free capacity of each machine.
#pragma once

#include "core/controller.hpp"
#include "solver/reasons.hpp"

namespace violetpulley::diagnostics {

/// One reason why a job waits.
struct Cause {
  /// Stable, for programs.
  std::string code;
  /// For people.
  std::string text;
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
  /// When the job would fit if other tasks end as expected and no work is added; none: unknown.
  std::optional<core::Seconds> fits_in;
  /// Machines that may take tasks.
  std::size_t machines = 0;
  /// Machines that take no tasks, by cause.
  std::map<std::string, std::size_t> set_aside;
  /// Machine types that the job may use and that hold one task.
  std::vector<std::string> rentable_types;
};

/// Explains the state of a job. None: the leader does not know the job, so the job is not open.
std::optional<PlacementExplanation> explain_placement(const core::Controller& controller,
                                                      const std::vector<core::Team>& teams,
                                                      const std::vector<core::MachineType>& types,
                                                      const core::JobId& id, core::TimePoint now);

}  // namespace violetpulley::diagnostics
