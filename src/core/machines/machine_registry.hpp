/// @file
/// Requests the writes of machine records in the state service (docs/safety.md, "One copy of a
/// task", 2). Owns the ids of the machines that were returned to the cloud, since the cloud's list
/// and delayed heartbeats may still name them.
#pragma once

#include <deque>
#include <set>

#include "core/machines/fleet.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

/// Registers machines in the state service and deletes the records of returned machines.
class MachineRegistry {
 public:
  MachineRegistry(Outbox& out, Fleet& fleet) : out_(out), fleet_(fleet) {}

  /// Requests a write of the machine's record, with the endpoint if the machine is up.
  void save(Machine& machine);
  /// Handles the result of such a write. `with_endpoint`: the record contained the endpoint. `ok`:
  /// the record is committed.
  void saved(const MachineId& id, bool with_endpoint, bool ok);

  /// Records that the cloud has confirmed the return of the machine, and deletes the machine's
  /// record.
  void released(const MachineId& id);
  /// Whether the machine was returned under this leader. Copies of its heartbeats may arrive long
  /// after the return, so ids do not expire; beyond a limit on memory the oldest ones are dropped.
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
