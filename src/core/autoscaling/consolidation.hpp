/// @file
/// Returns idle machines and drains underused ones whole (paper 3.4, DESIGN). Owns nothing: the
/// times are kept in the machines.
#pragma once

#include "core/autoscaling/scarcity.hpp"
#include "core/machines/machine_watch.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// Scales in: idle machines are returned, tasks of underused machines restart elsewhere.
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

  /// Examines all machines.
  void consolidate(TimePoint now);

 private:
  void consolidate(Machine& machine, TimePoint now);
  /// Whether the machine's use has to be ignored, since its tasks wait for it or cannot start.
  bool is_exempt(const Machine& machine) const;
  /// Whether nothing can run on the machine but starts that were never answered.
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
