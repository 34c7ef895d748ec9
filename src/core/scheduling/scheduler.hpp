/// @file
/// Scheduling rounds (paper 3.2.2, DESIGN): waiting jobs are packed into the free capacity by
/// run-time bins, with machines that hold the image first (docs/design.md, "Exceptions"). Tasks are
/// started through `TaskStarter`, and unplaced tasks are passed to `ScaleOutPlanner`. Owns the time
/// of the last round.
///
/// The number of starts per round is limited to what the command dispatcher can send: after a
/// failover thousands of tasks may fit at once, and choosing machines for all of them in one round
/// would keep the leader from answering heartbeats for seconds.
#pragma once

#include "core/autoscaling/scale_out_planner.hpp"
#include "core/failover/reconciler.hpp"
#include "core/scheduling/bin_packer.hpp"
#include "core/scheduling/candidate_queue.hpp"

namespace violetpulley::core {

/// Decides which waiting tasks start on which machines.
class Scheduler {
 public:
  Scheduler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog, Fleet& fleet,
            Jobs& jobs, Recovery& recovery, Reconciler& reconciler,
            const CommandDispatcher& commands, const DeadlineForecaster& forecaster,
            TaskStarter& task_starter, TaskBindings& bindings, Scarcity& scarcity,
            Preemption& preemption, GangScheduler& gang_scheduler, ScaleOutPlanner& scale_out,
            StarvationGuard& starvation_guard)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        recovery_(recovery),
        reconciler_(reconciler),
        commands_(commands),
        forecaster_(forecaster),
        task_starter_(task_starter),
        bindings_(bindings),
        scarcity_(scarcity),
        preemption_(preemption),
        gang_scheduler_(gang_scheduler),
        scale_out_(scale_out),
        starvation_guard_(starvation_guard),
        candidate_queue_(catalog, fleet, jobs, forecaster, task_starter, starvation_guard) {}

  void run_round_if_due(TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_round_);
  }

 private:
  /// A round makes two passes over the queue: the first one uses only machines that hold or are
  /// fetching a job's image, the second one all machines.
  enum class ImagePass { holders_only, all_machines };

  /// How the tasks of one job may be placed in one pass.
  struct PlacementRules {
    /// Only one task of the job may start in this round.
    bool one_task_only = false;
    /// Each start may change the zones that the job's next task may use (`same_zone`, `spread`).
    bool zone_constrained = false;
    /// Empty expensive on-demand machines are withheld for work that may not use spot machines.
    bool excludes_empty_expensive = false;
    ImageRank min_image_rank = ImageRank::absent;
    /// Machine types that are reserved for tasks that cannot use every other type.
    std::vector<std::string> excluded_types;
  };

  using Queue = std::vector<Candidate>;

  void run_round(TimePoint now);
  /// Clears `Job::suspected_faulty` of jobs that have a healthy task.
  void clear_suspected_jobs(const Queue& queue, TimePoint now);
  /// Whether a task of the job has run for at least `kHealthyRunTime`.
  bool has_healthy_task(const Job& job, TimePoint now) const;
  std::vector<Machine*> schedulable_machines(const Queue& queue, const Resources& smallest_need,
                                             TimePoint now);
  void update_slot_scarcity(const Queue& queue, const Resources& smallest_need,
                            const std::vector<Machine*>& schedulable);
  bool needs_exclusive_type(const Candidate& candidate) const;
  void place_bound_groups(BinPacker& packer, TimePoint now);
  void place_queue(BinPacker& packer, const Queue& queue, const std::vector<Machine*>& schedulable,
                   TimePoint now);
  void place_job(BinPacker& packer, const Candidate& candidate, ImagePass pass, TimePoint now);
  bool may_place(const Candidate& candidate) const;
  PlacementRules placement_rules(const Candidate& candidate, ImagePass pass, TimePoint now) const;
  /// Whether the job no longer waits for a machine that holds its image: it is starving, the fetch
  /// is short compared with the run time, or the job has waited for long enough.
  bool image_wait_over(const Candidate& candidate, TimePoint now) const;
  /// Whether the job must not use exclusive types, which are reserved for tasks that need them.
  bool avoids_exclusive_types(const Candidate& candidate, TimePoint now) const;
  bool may_use(const Machine& machine, const Job& job, const PlacementRules& rules,
               const ZoneUse& zones, TimePoint now) const;
  /// Starts tasks of the job until none fits or a limit is reached. Returns true if it must be
  /// called again, because a start may have changed the zones that the next task may use.
  bool start_tasks(BinPacker& packer, const Candidate& candidate, const PlacementRules& rules,
                   TimePoint now);
  bool may_start(const Job& job, TaskIndex index) const;
  Seconds max_fetch_time(const JobSpec& spec) const;
  void uncordon_draining(const Queue& queue, TimePoint now);
  bool may_uncordon_for(const Job& job, TimePoint now) const;
  void scale_out(const Queue& queue, TimePoint now);

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
  CandidateQueue candidate_queue_;
  TimePoint last_round_{};
  /// Number of starts that remain in the current round.
  std::size_t remaining_starts_ = 0;
};

}  // namespace violetpulley::core
