/// @file
/// Writes the records of machines in the state service (docs/safety.md, "One copy of a task", 2)
/// and remembers returned machines, which the cloud's list and delayed heartbeats may still name.
/// Owns the returned machines.
#pragma once

#include <deque>
#include <set>

#include "core/machines/fleet.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

/// Registers machines in the state service and deletes their records.
class MachineRegistry {
 public:
  MachineRegistry(Outbox& out, Fleet& fleet) : out_(out), fleet_(fleet) {}

  /// Requests a write of the record of this machine, with its endpoint if it is up.
  void save(Machine& machine);
  /// Result of such a write. `with_endpoint`: the record named the endpoint. `ok`: it is committed.
  void saved(const MachineId& id, bool with_endpoint, bool ok);

  /// The cloud has confirmed that the machine is gone.
  void released(const MachineId& id);
  /// Whether the machine was returned under this leader. Copies of its heartbeats may come long
  /// after its end, so only the oldest machines are forgotten, beyond a limit on memory.
  bool was_released(const MachineId& id) const { return released_.contains(id); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.released_, s.released_order_);
  }

 private:
  Outbox& out_;
  Fleet& fleet_;
  std::set<MachineId> released_;
  std::deque<MachineId> released_order_;
};

}  // namespace violetpulley::core
