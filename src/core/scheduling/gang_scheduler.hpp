// Gangs: all tasks start together under one attempt or none does, and one that has lost a task
// ends whole before it starts anew (docs/safety.md, "Gangs, services and stops").
// Owns the machines that gangs collect; decides where each collects, starts and what it rents.
#pragma once

#include "core/autoscaling/instance_offerings.hpp"
#include "core/autoscaling/scale_out_groups.hpp"
#include "core/scheduling/preemption.hpp"

namespace violetpulley::core {

class GangScheduler {
 public:
  GangScheduler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                Fleet& fleet, Jobs& jobs, CommandDispatcher& commands, TaskStarter& starts,
                const DeadlineForecaster& forecaster, const InstanceOfferings& offerings,
                const TaskBindings& bindings, Preemption& preemption)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        task_starter_(starts),
        forecaster_(forecaster),
        offerings_(offerings),
        bindings_(bindings),
        preemption_(preemption) {}

  void new_round() { reservations_.new_round(); }
  void place(const Candidate& candidate, const std::vector<Machine*>& open, TimePoint now);
  // Groups of machines for what gangs still miss.
  void add_scale_out_groups(const std::vector<Candidate>& queue, ScaleOutPlan& chosen,
                            TimePoint now);
  // Gangs that have lost a task.
  void restart_broken(TimePoint now);
  // One task has completed.
  void done(Job& job);

  void job_closed(const JobId& id) { reservations_.close(fleet_, id); }
  void machine_gone(Machine& machine) { reservations_.release(fleet_, machine); }
  // Places of a gang are being rented, and what came of it: the machine, or none.
  void asked(const JobId& gang, TaskIndex places);
  void answered(const JobId& gang, TaskIndex places);
  void granted(const JobId& gang, Machine& machine);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reservations_);
  }

 private:
  struct GangPlace {
    Machine* machine = nullptr;
    TaskIndex tasks = 0;
    int image_rank = 0;
  };
  std::vector<std::string> regions(const JobSpec& spec) const;
  std::vector<GangPlace> places_for(const Job& job, const std::string& region,
                                    const std::vector<Machine*>& open, TimePoint now) const;
  static TaskIndex total(const std::vector<GangPlace>& places);
  bool start(Job& job, const std::vector<GangPlace>& places, TimePoint now);
  bool counts(const Machine& machine, TimePoint now) const;
  std::optional<std::string> choose_region(const Job& job, const std::vector<Machine*>& open,
                                           TimePoint now) const;
  void collect(Job& job, const std::vector<Machine*>& open, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  CommandDispatcher& commands_;
  TaskStarter& task_starter_;
  const DeadlineForecaster& forecaster_;
  const InstanceOfferings& offerings_;
  const TaskBindings& bindings_;
  Preemption& preemption_;
  GangReservations reservations_;
};

}  // namespace violetpulley::core
