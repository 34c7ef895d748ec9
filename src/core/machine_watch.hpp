// Which machines are late, silent or sick, and when machines are returned (PROTOCOL, "Leases",
// "Controller nodes -> cloud"; DESIGN, "Expected trouble"). Owns when it last looked.
#pragma once

#include "core/assignments.hpp"
#include "core/orders.hpp"
#include "core/reckoning.hpp"
#include "core/registry.hpp"

namespace violetpulley::core {

class MachineWatch {
 public:
  MachineWatch(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
               Fleet& fleet, Orders& orders, Recovery& recovery, Reckoning& reckoning,
               Assignments& assignments, Registry& registry, TimePoint takeover)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        orders_(orders),
        recovery_(recovery),
        reckoning_(reckoning),
        assignments_(assignments),
        registry_(registry),
        takeover_(takeover) {}

  // Looks at all machines when that is due, and tells whether it was.
  // `proved`: nobody else led by then.
  bool watch(TimePoint now, TimePoint proved);
  void want_release(Machine& machine, const std::string& cause, TimePoint now);
  // The cloud did not answer: it is asked again.
  void return_failed(Machine& machine, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_watch_, s.last_release_);
  }

 private:
  bool others_heard(TimePoint now) const;
  void give_up(Machine& machine, TimePoint now);
  void release_machines(TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Orders& orders_;
  Recovery& recovery_;
  Reckoning& reckoning_;
  Assignments& assignments_;
  Registry& registry_;
  TimePoint takeover_;
  TimePoint last_watch_{};
  TimePoint last_release_{};
};

}  // namespace violetpulley::core
