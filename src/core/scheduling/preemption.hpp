/// @file
/// Preemption: stops tasks of arrays for work of higher priority (PROTOCOL, "Preemption"). Only
/// services and gangs preempt; arrays do not, since other arrays end often and free capacity soon.
/// A task is preempted or moved by consolidation at most once in total, and tasks whose stop loses
/// the least work go first. Owns no state.
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

  /// Preempts tasks for waiting replicas. The tasks get no time for a checkpoint, because users
  /// wait for the service.
  void preempt_for_services(const std::vector<Candidate>& queue, TimePoint now);
  /// Preempts all tasks on machines that run only preemptible tasks of lower priority, for a gang
  /// that lacks slots and cannot request machines. These machines are reserved for the gang at
  /// once, so that no more tasks are stopped than it needs.
  void preempt_for_gang(const Job& job, GangReservation& reservation,
                        GangReservations& reservations, TimePoint now);

 private:
  /// A task that may be preempted for a replica.
  struct Victim {
    Machine* machine;  // null after the task was preempted
    TaskKey key;
    Seconds cost;  // of stopping the task
  };
  /// The victims for services, cheapest first.
  struct Victims {
    std::vector<Victim> tasks;
    /// Tasks that are already being preempted, whose capacity is about to become free.
    TaskIndex stopping = 0;
  };
  /// A machine whose tasks may all be preempted for a gang.
  struct GangVictim {
    Machine* machine;
    TaskIndex slots;
    Seconds cost;  // of stopping all tasks
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
  /// `grace`: the time that the task gets for a checkpoint.
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
