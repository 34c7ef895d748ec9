// Making room for work of higher priority (PROTOCOL, "Preemption"). Only services and gangs ask for
// it: arrays come and go, and their own turn comes soon. A task is stopped for others once at most,
// as for clearing, and what loses least goes first.
#pragma once

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/gang_reservations.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

class Preemption {
 public:
  Preemption(const ControllerSettings& settings, Outbox& out, Fleet& fleet, Jobs& jobs,
             CommandDispatcher& commands, const TaskStarter& starts, const TaskBindings& bindings)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        task_starter_(starts),
        bindings_(bindings) {}

  void preempt_for_services(const std::vector<Candidate>& queue, TimePoint now);
  void preempt_for_gang(const Job& job, GangReservation& room, GangReservations& reservations,
                        TimePoint now);

 private:
  bool preemptible(const TaskKey& key, const Assignment& assignment, Priority priority) const;
  void preempt(Machine& machine, const TaskKey& key, Seconds available, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  const TaskStarter& task_starter_;
  const TaskBindings& bindings_;
};

}  // namespace violetpulley::core
