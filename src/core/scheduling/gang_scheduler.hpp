/// @file
/// Gang scheduling: either all tasks of a gang start together under one attempt or none does, and a
/// gang that has lost a task ends completely before it restarts (docs/safety.md, "Gangs, services
/// and stops"). Owns the reservations of machines for gangs; decides where each gang reserves
/// machines, when it starts and which machines are requested for it.
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
  /// Starts the gang if all of its tasks fit, else reserves machines for it. `schedulable`: the
  /// machines that may take tasks in this round.
  void place(const Candidate& candidate, const std::vector<Machine*>& schedulable, TimePoint now);
  /// Adds a group to the plan for each machine that gangs still lack.
  void add_scale_out_groups(const std::vector<Candidate>& queue, ScaleOutPlan& plan,
                            TimePoint now) const {
    scale_out_.add_groups(queue, reservations_, plan, now);
  }
  /// Stops the remaining tasks of gangs that have lost a task.
  void stop_broken_gangs(TimePoint now);
  /// Marks all tasks of the gang as done, after one of them has reported completion.
  void complete_gang(Job& job, TimePoint now);

  void job_closed(const JobId& id) { reservations_.close(fleet_, id); }
  void machine_gone(Machine& machine) { reservations_.release(fleet_, machine); }

  /// Handles the request of a machine with this many slots for the gang. This function and the next
  /// two ignore gangs without a reservation.
  void slots_requested(const JobId& gang, TaskIndex slots);
  /// Handles the end of such a request, whether or not it has provided a machine.
  void request_answered(const JobId& gang, TaskIndex slots);
  /// Reserves a machine that such a request has provided.
  void machine_granted(const JobId& gang, Machine& machine);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reservations_);
  }

 private:
  /// Removes the assignments of the gang whose start was never sent, and stops those whose start is
  /// not confirmed.
  void end_unconfirmed_starts(const Job& job, TimePoint now);
  bool start(Job& job, const std::vector<GangSlots>& slots, TimePoint now);
  bool can_start(const Job& job, const std::vector<GangSlots>& slots, TimePoint now) const;
  void reserve_machines(Job& job, const std::vector<Machine*>& schedulable, TimePoint now);
  /// Ends the gang's reservation and delays the job if the gang lacks slots and no machine was
  /// added within `kMaxReservationTime`. Returns whether it did.
  bool back_off_if_stalled(Job& job, TimePoint now);
  /// Ends a reservation that lacks slots in a domain where no machines can be requested, if an
  /// earlier gang has precedence there or if machines can be requested in another domain.
  void leave_blocked_domain(const Job& job, TimePoint now);
  bool can_scale_out_in_other_domain(const JobSpec& spec, const std::string& domain,
                                     TimePoint now) const;
  /// The gang's reservation, opened if necessary; null if no placement domain suits the gang.
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
  /// Whether a reserved machine takes tasks now or is expected to do so soon.
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
