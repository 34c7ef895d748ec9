/// @file
/// Returns idle machines to the cloud and drains underused ones (paper 3.4, DESIGN). Decides when a
/// machine counts as idle or underused for long enough. Owns no state: the times are kept in the
/// machines.
#pragma once

#include "core/autoscaling/scarcity.hpp"
#include "core/machines/machine_watch.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// Scales in: returns idle machines and restarts the tasks of underused machines elsewhere.
class Consolidation {
 public:
  Consolidation(const ControllerSettings& settings, const Catalog& catalog, Fleet& fleet,
                Jobs& jobs, CommandDispatcher& commands, const TaskBindings& bindings,
                const Scarcity& scarcity, MachineWatch& watch)
      : settings_(settings),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        bindings_(bindings),
        scarcity_(scarcity),
        watch_(watch) {}

  /// Checks the use of all machines.
  void consolidate(TimePoint now);

 private:
  void consolidate(Machine& machine, TimePoint now);
  /// Whether the machine is neither returned nor drained however little it is used, because it is
  /// reserved or bound, or because tasks cannot start there now.
  bool is_exempt(const Machine& machine) const;
  /// Whether the machine has no tasks but unanswered starts of jobs that have ended.
  bool is_idle(const Machine& machine, TimePoint now) const;
  void check_idle(Machine& machine, TimePoint now);
  void check_utilization(Machine& machine, TimePoint now);
  bool may_restart_tasks(const Machine& machine, TimePoint now) const;
  void restart_tasks(Machine& machine, TimePoint now);

  const ControllerSettings& settings_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  const TaskBindings& bindings_;
  const Scarcity& scarcity_;
  MachineWatch& watch_;
};

}  // namespace violetpulley::core
