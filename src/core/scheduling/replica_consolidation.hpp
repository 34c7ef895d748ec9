// Clearing machines that only replicas keep (DESIGN's clearing, for tasks without an end): what
// remains of a replica is endless and a move loses no work, but it leaves a gap. So machines are
// cleared whole as elsewhere, only to machines that hold the image and other replicas, and few
// replicas are on the move at a time. Owns when it last looked.
#pragma once

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

class ReplicaConsolidation {
 public:
  ReplicaConsolidation(const ControllerSettings& settings, Outbox& out, Fleet& fleet,
                       const Jobs& jobs, CommandDispatcher& commands, const TaskStarter& starts,
                       const TaskBindings& bindings)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        task_starter_(starts),
        bindings_(bindings) {}

  // Gathers sparse replicas when that is due.
  void consolidate(TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_gather_);
  }

 private:
  Machine* place_for(const Job& job, const Machine& from, const std::vector<Machine*>& hosts,
                     const std::map<MachineId, Resources>& taken) const;

  const ControllerSettings& settings_;
  Outbox& out_;
  Fleet& fleet_;
  const Jobs& jobs_;
  CommandDispatcher& commands_;
  const TaskStarter& task_starter_;
  const TaskBindings& bindings_;
  TimePoint last_gather_{};
};

}  // namespace violetpulley::core
