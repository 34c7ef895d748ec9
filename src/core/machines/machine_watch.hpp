// Which machines are late, silent or sick, and when machines are returned (PROTOCOL, "Leases",
// "Controller nodes -> cloud"; DESIGN, "Expected trouble"). Owns when it last looked.
#pragma once

#include "core/dispatch/command_dispatcher.hpp"
#include "core/failover/assignments.hpp"
#include "core/failover/reconciler.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

class MachineWatch {
 public:
  MachineWatch(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
               Fleet& fleet, FailureDetector& contact, CommandDispatcher& commands,
               Recovery& recovery, Reconciler& reconciler, Assignments& assignments,
               MachineRegistry& registry, TimePoint elected_at)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        failure_detector_(contact),
        commands_(commands),
        recovery_(recovery),
        reconciler_(reconciler),
        assignments_(assignments),
        registry_(registry),
        elected_at_(elected_at) {}

  // Looks at all machines when that is due, and tells whether it was.
  // `serving`: reports are taken in. `proved`: nobody else led by then.
  bool watch(TimePoint now, bool serving, TimePoint proved);
  void request_release(Machine& machine, const std::string& cause, TimePoint now);
  // The cloud did not answer: it is asked again.
  void return_failed(Machine& machine, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_watch_, s.last_release_);
  }

 private:
  struct TypeBoots {
    std::optional<TimePoint> youngest_up;  // when the youngest machine that is up was rented
    std::size_t late = 0;
  };
  Seconds boot_of(const Machine& machine) const;
  Seconds boot_patience(const Machine& machine, double times) const;
  bool late_to_boot(const Machine& machine, TimePoint now) const;
  void note_boots(TimePoint now);
  bool holds_unconfirmed_cancellation(const Machine& machine, TimePoint now) const;
  bool may_hold_cancelled(const Machine& machine, TimePoint now) const;
  void declare_dead(Machine& machine, TimePoint now);
  void release_machines(TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  FailureDetector& failure_detector_;
  CommandDispatcher& commands_;
  Recovery& recovery_;
  Reconciler& reconciler_;
  Assignments& assignments_;
  MachineRegistry& registry_;
  TimePoint elected_at_;
  TimePoint last_watch_{};
  TimePoint last_release_{};
  std::map<std::string, TypeBoots> boots_;  // by type, at the last look
};

}  // namespace violetpulley::core
