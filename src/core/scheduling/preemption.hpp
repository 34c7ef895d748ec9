/// @file
/// Preemption: stops tasks for work of higher priority (PROTOCOL, "Preemption"). Only services and
/// gangs preempt: arrays come and go, and an array's turn comes soon. A task is preempted once at
/// most, as with consolidation, and the task that loses least goes first. Owns no state.
#pragma once

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/candidate.hpp"
#include "core/scheduling/gang_reservations.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// Stops tasks of arrays so that replicas and gangs can start.
class Preemption {
 public:
  Preemption(const ControllerSettings& settings, Outbox& out, Fleet& fleet, Jobs& jobs,
             CommandDispatcher& commands, const TaskStarter& task_starter,
             const TaskBindings& bindings)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        task_starter_(task_starter),
        bindings_(bindings) {}

  /// Unplaced replicas get the capacity of other tasks, at once and without a checkpoint: users
  /// wait.
  void preempt_for_services(const std::vector<Candidate>& queue, TimePoint now);
  /// A gang that can request no machines for the slots it misses gets whole machines on which only
  /// work of lower priority runs. They are reserved for it from the first stop on, so that no more
  /// is stopped than the gang needs.
  void preempt_for_gang(const Job& job, GangReservation& reservation,
                        GangReservations& reservations, TimePoint now);

 private:
  /// A task that may be preempted.
  struct Victim {
    Machine* machine;  // null once the task is preempted
    TaskKey key;
    Seconds cost;  // of the stop
  };
  /// The victims for services, cheapest first.
  struct Victims {
    std::vector<Victim> tasks;
    /// Tasks that are being preempted already: their capacity is about to become free.
    TaskIndex stopping = 0;
  };
  /// A machine whose tasks may all be preempted for a gang.
  struct GangVictim {
    Machine* machine;
    TaskIndex slots;
    Seconds cost;  // of all stops
  };

  TaskIndex startable_replicas(const std::vector<Candidate>& queue) const;
  Victims find_victims(TimePoint now);
  void preempt_for_service(const Job& job, Victims& victims, TimePoint now);
  bool fits_in_place_of(const Victim& victim, const JobSpec& spec, const ZoneUse& zones) const;
  std::vector<GangVictim> find_gang_victims(const Job& job, const std::string& domain,
                                            TimePoint now);
  bool may_host_gang(const Machine& machine, const Job& job, const std::string& domain,
                     TimePoint now) const;
  bool all_preemptible(const Machine& machine, Priority priority) const;
  bool preemptible(const TaskKey& key, const Assignment& assignment, Priority priority) const;
  void preempt_all(Machine& machine, TimePoint now);
  /// `grace`: the time that the task has for a checkpoint.
  void preempt(Machine& machine, const TaskKey& key, Seconds grace, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  const TaskStarter& task_starter_;
  const TaskBindings& bindings_;
};

}  // namespace violetpulley::core
