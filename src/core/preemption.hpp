// Making room for work of higher priority (PROTOCOL, "Preemption"). Only services and gangs ask for
// it: arrays come and go, and their own turn comes soon. A task is stopped for others once at most,
// as for clearing, and what loses least goes first.
#pragma once

#include "core/bindings.hpp"
#include "core/gang_rooms.hpp"
#include "core/queue.hpp"
#include "core/starts.hpp"

namespace violetpulley::core {

class Preemption {
 public:
  Preemption(const ControllerSettings& settings, Outbox& out, Fleet& fleet, Jobs& jobs,
             CommandDispatcher& orders, const Starts& starts, const Bindings& bindings)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        commands_(orders),
        starts_(starts),
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
  const Starts& starts_;
  const Bindings& bindings_;
};

}  // namespace violetpulley::core
