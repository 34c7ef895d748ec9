// Returning idle machines and clearing underused ones whole (paper 3.4, DESIGN). Owns nothing: the
// times are the machines' own.
#pragma once

#include "core/autoscaling/scarcity.hpp"
#include "core/machines/machine_watch.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

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

  void consolidate(TimePoint now);

 private:
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
