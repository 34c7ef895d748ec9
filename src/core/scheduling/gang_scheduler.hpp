/// @file
/// Gang scheduling: all tasks of a gang start together under one attempt or none does, and a gang
/// that has lost a task ends whole before it starts anew (docs/safety.md, "Gangs, services and
/// stops"). Owns the machines reserved for gangs; decides where each gang reserves, when it starts
/// and which machines are requested for it.
#pragma once

#include "core/scheduling/gang_scale_out.hpp"
#include "core/scheduling/gang_slots.hpp"
#include "core/scheduling/preemption.hpp"

namespace violetpulley::core {

/// Starts, restarts and reserves machines for gangs.
class GangScheduler {
 public:
  GangScheduler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                Fleet& fleet, Jobs& jobs, CommandDispatcher& commands, TaskStarter& task_starter,
                const DeadlineForecaster& forecaster, const InstanceOfferings& offerings,
                const TaskBindings& bindings, Preemption& preemption)
      : out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        task_starter_(task_starter),
        offerings_(offerings),
        preemption_(preemption),
        slot_finder_(catalog, offerings, bindings),
        scale_out_(settings, catalog, fleet, forecaster, offerings) {}

  void new_round() { reservations_.new_round(); }
  /// Starts the gang if it fits whole, else reserves machines for it. `schedulable`: the machines
  /// that may take tasks in this round.
  void place(const Candidate& candidate, const std::vector<Machine*>& schedulable, TimePoint now);
  /// Adds to the plan a group for each machine that gangs still miss.
  void add_scale_out_groups(const std::vector<Candidate>& queue, ScaleOutPlan& plan,
                            TimePoint now) const {
    scale_out_.add_groups(queue, reservations_, plan, now);
  }
  /// Stops what remains of gangs that have lost a task.
  void stop_broken_gangs(TimePoint now);
  /// A task of the gang has completed.
  void complete_gang(Job& job);

  void job_closed(const JobId& id) { reservations_.close(fleet_, id); }
  void machine_gone(Machine& machine) { reservations_.release(fleet_, machine); }

  /// A machine with slots for the gang is being requested. Unknown gangs are ignored, here and in
  /// the next two functions.
  void slots_requested(const JobId& gang, TaskIndex slots);
  /// That request has ended, with or without a machine.
  void request_answered(const JobId& gang, TaskIndex slots);
  /// The request has brought this machine.
  void machine_granted(const JobId& gang, Machine& machine);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reservations_);
  }

 private:
  bool start(Job& job, const std::vector<GangSlots>& slots, TimePoint now);
  bool can_start(const Job& job, const std::vector<GangSlots>& slots, TimePoint now) const;
  void reserve_machines(Job& job, const std::vector<Machine*>& schedulable, TimePoint now);
  /// Ends a reservation that has not grown for too long. Returns whether it has.
  bool pause_if_stalled(Job& job, TimePoint now);
  /// Ends a reservation that another one keeps short, or that could grow in another region.
  void leave_blocked_domain(const Job& job, TimePoint now);
  bool can_scale_out_in_other_domain(const JobSpec& spec, const std::string& domain,
                                     TimePoint now) const;
  /// The gang's reservation, opened if need be; null if there is no region for it.
  GangReservation* find_or_open_reservation(const Job& job,
                                            const std::vector<Machine*>& schedulable,
                                            TimePoint now);
  void count_reserved(const JobSpec& spec, const GangReservation& reservation, GangSlotCount& slots,
                      TimePoint now);
  void count_ending_tasks(const Job& job, const GangReservation& reservation, GangSlotCount& slots,
                          TimePoint now) const;
  void reserve_free_machines(const Job& job, GangReservation& reservation, GangSlotCount& slots,
                             const std::vector<Machine*>& schedulable, TimePoint now);
  void preempt_or_close(const Job& job, GangReservation& reservation, TimePoint now);
  /// Whether a reserved machine can be expected to take tasks soon.
  bool is_usable_soon(const Machine& machine, TimePoint now) const;
  std::size_t count_zones() const;

  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  TaskStarter& task_starter_;
  const InstanceOfferings& offerings_;
  Preemption& preemption_;
  GangSlotFinder slot_finder_;
  GangScaleOut scale_out_;
  GangReservations reservations_;
};

}  // namespace violetpulley::core
