// Rounds of packing (paper 3.2.2, DESIGN): the queue of waiting jobs, room for each by run-time
// bins, images first (docs/design.md, "Exceptions"). Owns when the last round was; starts go
// through `Starts`, what finds no room to `Rentals`. A round makes no more starts than orders can
// follow: after a takeover thousands of tasks find room at once, and choosing for all of them in
// one go took a leader's processor for seconds, in which reports were not answered.
#pragma once

#include "core/autoscaling/scale_out_planner.hpp"
#include "core/failover/reconciler.hpp"
#include "core/scheduling/bin_packer.hpp"
#include "core/scheduling/starvation_guard.hpp"

namespace violetpulley::core {

class Scheduler {
 public:
  Scheduler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog, Fleet& fleet,
            Jobs& jobs, Recovery& recovery, Reconciler& reconciler,
            const CommandDispatcher& commands, const DeadlineForecaster& forecaster,
            TaskStarter& starts, TaskBindings& bindings, Scarcity& scarcity, Preemption& preemption,
            GangScheduler& gangs, ScaleOutPlanner& rentals, StarvationGuard& standing)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        recovery_(recovery),
        reconciler_(reconciler),
        commands_(commands),
        forecaster_(forecaster),
        task_starter_(starts),
        bindings_(bindings),
        scarcity_(scarcity),
        preemption_(preemption),
        gang_scheduler_(gangs),
        scale_out_(rentals),
        starvation_guard_(standing) {}

  // Holds a round if one is due.
  void round(TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_place_);
  }

 private:
  void place(TimePoint now);
  void uncordon_draining(const std::vector<Candidate>& queue, TimePoint now);
  std::vector<Candidate> waiting_jobs(TimePoint now);
  void place_bound(BinPacker& packer, TimePoint now);
  void place_job(BinPacker& packer, const Candidate& candidate, bool holders_only, TimePoint now);
  Seconds longest_fetch(const JobSpec& spec) const;

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  Recovery& recovery_;
  Reconciler& reconciler_;
  const CommandDispatcher& commands_;
  const DeadlineForecaster& forecaster_;
  TaskStarter& task_starter_;
  TaskBindings& bindings_;
  Scarcity& scarcity_;
  Preemption& preemption_;
  GangScheduler& gang_scheduler_;
  ScaleOutPlanner& scale_out_;
  StarvationGuard& starvation_guard_;
  TimePoint last_place_{};
  std::size_t starts_left_ = 0;  // in this round
};

}  // namespace violetpulley::core
