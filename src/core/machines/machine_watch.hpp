/// @file
/// Periodic check of all machines. Decides which machines are late to boot, silent, partitioned or
/// quarantined, and returns them to the cloud (PROTOCOL, "Leases", "Controller nodes -> cloud";
/// docs/design.md, "Expected trouble"). Owns the times of the last check and of the last return
/// request.
#pragma once

#include "core/dispatch/command_dispatcher.hpp"
#include "core/failover/assignments.hpp"
#include "core/failover/reconciler.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

/// Applies the decisions of the failure detector and of the reconciler to the machines.
class MachineWatch {
 public:
  MachineWatch(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
               Fleet& fleet, FailureDetector& failure_detector, CommandDispatcher& commands,
               Recovery& recovery, Reconciler& reconciler, Assignments& assignments,
               MachineRegistry& registry, TimePoint elected_at)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        failure_detector_(failure_detector),
        commands_(commands),
        recovery_(recovery),
        reconciler_(reconciler),
        assignments_(assignments),
        registry_(registry),
        elected_at_(elected_at) {}

  /// Checks all machines if the check interval has passed; returns whether it has. `serving`:
  /// whether heartbeats are accepted. `last_proven`: the latest time until which it is proven that
  /// no other node led.
  bool check_machines(TimePoint now, bool serving, TimePoint last_proven);
  /// Marks a machine to be returned. `cause` is written to the log and to the ScaleIn action. Does
  /// nothing if the machine is being returned already.
  void request_release(Machine& machine, const std::string& cause, TimePoint now);
  /// Schedules another request after the cloud has not confirmed the return.
  void release_failed(Machine& machine, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_check_, s.last_release_);
  }

 private:
  /// Boots of a machine type, as of the last check.
  struct TypeBoots {
    std::optional<TimePoint> youngest_up;  ///< latest request time of a machine that is up
    std::size_t late = 0;                  ///< machines that have exceeded the usual boot timeout
  };
  /// Values that the checks of all machines in one call of `check_machines` share.
  struct Pass {
    TimePoint now;
    TimePoint last_proven;
    bool fleet_responsive = false;  ///< false: this leader may be isolated, declares nothing dead
    int images_saved = 0;
  };

  void check_booting_machine(Machine& machine, TimePoint now);
  void check_machine(Machine& machine, Pass& pass);
  void release_if_partitioned(Machine& machine, TimePoint now);
  void check_silence(Machine& machine, const Pass& pass);
  /// Silence after which the machine is declared dead.
  Seconds silence_limit(const Machine& machine) const;
  bool is_lease_expired(const Machine& machine, TimePoint last_proven) const;
  void remove_expired_tasks(Machine& machine, TimePoint now);
  void save_images(Machine& machine, Pass& pass);
  /// Sends starts and stops again whose effect was not reported yet.
  void resend_commands(const Machine& machine);

  Seconds boot_time_of(const Machine& machine) const;
  /// Time from the request of a machine until it counts as late. `factor`: multiplies the boot
  /// time.
  Seconds boot_timeout(const Machine& machine, double factor) const;
  bool is_late_to_boot(const Machine& machine, TimePoint now) const;
  void count_boots(TimePoint now);

  bool has_unconfirmed_cancellation(const Machine& machine, TimePoint now) const;
  bool may_run_cancelled_tasks(const Machine& machine, TimePoint now) const;
  void declare_dead(Machine& machine, TimePoint now);

  void release_machines(TimePoint now);
  /// Machines whose return is to be requested now; schedules their next retry.
  std::vector<MachineId> take_due_releases(TimePoint now);
  void push_scale_in(std::vector<MachineId> machines);

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
  TimePoint last_check_{};
  TimePoint last_release_{};
  std::map<std::string, TypeBoots> boots_;  ///< by machine type
};

}  // namespace violetpulley::core
