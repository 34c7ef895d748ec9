/// @file
/// Collects the learned state of a leader for its successor, and applies that of the former leader.
/// Learned state is a set of hints: run time estimates, waiting times, failures and cooldowns. Owns
/// no state; reads and changes the jobs, machines, estimates and cooldowns of the controller.
#pragma once

#include "core/autoscaling/instance_offerings.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/fleet.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// Passes learned state from one leader to the next (docs/safety.md, "Learned state").
class LearnedStateHandover {
 public:
  LearnedStateHandover(const ControllerSettings& settings, Fleet& fleet, Jobs& jobs,
                       RunTimeEstimator& estimator, InstanceOfferings& offerings)
      : settings_(settings),
        fleet_(fleet),
        jobs_(jobs),
        estimator_(estimator),
        offerings_(offerings) {}

  /// The learned state for the next leader. `wall`: the time of day at `now`.
  LearnedState collect(TimePoint now, WallTime wall) const;

  /// Applies the learned state of the former leader to the recovered jobs and machines. It affects
  /// only which machines the scheduler prefers and when it starts tasks or requests machines; which
  /// tasks are on a machine is taken from heartbeats alone. Times are bounded by the job's record
  /// and the settings, so that a wrong time of day does no harm.
  void apply(const LearnedState& learned_state, TimePoint now);

 private:
  std::vector<LearnedJob> collect_jobs(TimePoint now) const;
  std::vector<LearnedMachine> collect_machines() const;
  std::vector<OfferingCooldown> collect_cooldowns(TimePoint now) const;
  void apply_to_job(const LearnedJob& learned, Job& job, Seconds elapsed, TimePoint now) const;
  static void apply_to_machine(const LearnedMachine& learned, Machine& machine);
  void apply_cooldown(const OfferingCooldown& cooldown, Seconds elapsed, TimePoint now);

  const ControllerSettings& settings_;
  Fleet& fleet_;
  Jobs& jobs_;
  RunTimeEstimator& estimator_;
  InstanceOfferings& offerings_;
};

}  // namespace violetpulley::core
