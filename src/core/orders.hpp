// What machines are told: starts, stops and forgets, repeated until a report shows them done
// (PROTOCOL, "Workers"; docs/safety.md, "One copy of a task", 5). Owns the set of machines that are
// due; decides what is sent, never what should run.
#pragma once

#include <set>

#include "core/fleet.hpp"
#include "core/jobs.hpp"

namespace violetpulley::core {

// An order's way to the worker, with room to spare.
inline constexpr Seconds kOrderTravels{1};

class Orders {
 public:
  Orders(Outbox& out, Fleet& fleet, const Jobs& jobs) : out_(out), fleet_(fleet), jobs_(jobs) {}

  void want(const Machine& machine) { orders_due_.insert(machine.id); }
  std::vector<Command> commands_for(const Machine& machine, bool with_starts) const;
  // Stops and forgets that travel in the answer to a report.
  std::vector<Command> response_commands(const MachineId& machine) const;
  void send(TimePoint now);
  // Whether the start may have been sent.
  bool committed(const TaskKey& key, const Assignment& assignment) const;

  void stop(Machine& machine, Assignment& assignment, TimePoint now, Seconds grace = Seconds(0));
  // `available`: how long the task may take to save.
  void stop_saving(Machine& machine, const TaskKey& key, Assignment& assignment, Seconds available,
                   TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.orders_due_);
  }

 private:
  bool forgettable(const Machine& machine, const TaskReport& entry) const;

  Outbox& out_;
  Fleet& fleet_;
  const Jobs& jobs_;
  std::set<MachineId> orders_due_;
};

}  // namespace violetpulley::core
