// The records of machines in the state service (docs/safety.md, "One copy of a task", 2), and which
// machines were returned lately, since the cloud's list and reports lag. Owns the latter.
#pragma once

#include <deque>
#include <set>

#include "core/machines/fleet.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

class MachineRegistry {
 public:
  MachineRegistry(Outbox& out, Fleet& fleet) : out_(out), fleet_(fleet) {}

  void save(Machine& machine);
  void saved(const MachineId& id, bool with_endpoint, bool ok);

  // The cloud has proved that it is gone.
  void released(const MachineId& id);
  // Copies of its reports may come long after its end: it is not forgotten while this leader leads,
  // up to a bound of memory.
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
