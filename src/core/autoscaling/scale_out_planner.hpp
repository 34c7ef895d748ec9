/// @file
/// Requests machines from the cloud. Chooses machine types jointly with groups of unplaced tasks
/// (paper 3.3, DESIGN) and binds each group to the machine that is granted for it. Owns the
/// requests in flight and their rate limit.
#pragma once

#include "core/autoscaling/scarcity.hpp"
#include "core/dispatch/rate_limiter.hpp"
#include "core/machines/machine_registry.hpp"
#include "core/scheduling/gang_scheduler.hpp"

namespace violetpulley::core {

/// The cloud's answer to a request for machines.
struct ScaleOutResult {
  enum class Kind { granted, no_capacity, refused, unknown } kind = Kind::unknown;
  /// At most the requested number; empty unless granted.
  std::vector<MachineId> machines;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.kind, s.machines);
  }
};

/// Plans and sends requests for machines.
class ScaleOutPlanner {
 public:
  ScaleOutPlanner(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                  Fleet& fleet, Jobs& jobs, const TaskStarter& task_starter,
                  const DeadlineForecaster& forecaster, InstanceOfferings& offerings,
                  TaskBindings& bindings, const Scarcity& scarcity, GangScheduler& gang_scheduler,
                  MachineRegistry& registry, FencingToken token)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        task_starter_(task_starter),
        forecaster_(forecaster),
        offerings_(offerings),
        bindings_(bindings),
        scarcity_(scarcity),
        gang_scheduler_(gang_scheduler),
        registry_(registry),
        token_(token),
        rate_(settings.cloud_calls_per_s * kScaleOutCallShare,
              std::max(1.0, settings.cloud_calls_per_s * kScaleOutCallShare)) {}

  /// Requests machines for the tasks that the scheduling round has not placed. Does nothing until
  /// the round interval has passed since the last requests.
  void round(const std::vector<Candidate>& queue, TimePoint now);
  /// Handles the answer to the request with this name. Unknown names are ignored.
  void answered(const std::string& name, const ScaleOutResult& answer, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.requests_in_flight_, s.next_request_, s.rate_, s.last_planned_at_);
  }

 private:
  /// A request in flight, with one group for each requested machine.
  struct PendingScaleOut {
    ScaleOut request;
    std::vector<ScaleOutGroup> groups;
    TimePoint sent{};

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.request, s.groups, s.sent);
    }
  };

  /// The tasks that are neither placed nor bound to a machine, in the order of the queue.
  std::vector<ScalerJob> unplaced_tasks(const std::vector<Candidate>& queue) const;
  /// The job's unplaced tasks, as many as the team's quota allows. Subtracts the resources of the
  /// job's waiting tasks, bound ones included, from `remaining_quota`.
  std::vector<TaskIndex> unplaced_tasks_of(const Job& job, Resources& remaining_quota) const;
  /// Number of further tasks of the job that each zone may take.
  std::map<std::string, TaskIndex> zone_capacity(const Job& job) const;
  /// Number of the job's tasks by zone, including tasks that are bound to machines which are
  /// booting or requested.
  ZoneUse zone_claims(const Job& job) const;
  bool may_use_offering(const JobSpec& spec, const InstanceOffering& offering, TimePoint now) const;
  ScaleOutPlan plan_for_tasks(std::vector<ScalerJob> unplaced_tasks, TimePoint now) const;
  ScaleOutGroup group_of(std::vector<TaskKey> tasks) const;
  void send_plan(ScaleOutPlan& plan, TimePoint now);
  void send(const OfferingKey& offering, std::vector<ScaleOutGroup> groups, TimePoint now);
  std::string next_request_name();
  void update_cooldown(const PendingScaleOut& pending, const ScaleOutResult& answer, TimePoint now);
  Machine& find_or_add_machine(const MachineId& id, const PendingScaleOut& pending);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  const TaskStarter& task_starter_;
  const DeadlineForecaster& forecaster_;
  InstanceOfferings& offerings_;
  TaskBindings& bindings_;
  const Scarcity& scarcity_;
  GangScheduler& gang_scheduler_;
  MachineRegistry& registry_;
  FencingToken token_;
  std::map<std::string, PendingScaleOut> requests_in_flight_;  // by name
  std::uint64_t next_request_ = 1;
  RateLimiter rate_;
  TimePoint last_planned_at_{};
};

}  // namespace violetpulley::core
