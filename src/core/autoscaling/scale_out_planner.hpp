// Renting: types chosen jointly with groups of the tasks that found no room (paper 3.3, DESIGN),
// the groups bound to what was rented. Owns the requests under way and the token bucket for them.
#pragma once

#include "core/autoscaling/scarcity.hpp"
#include "core/dispatch/rate_limiter.hpp"
#include "core/machines/machine_registry.hpp"
#include "core/scheduling/gang_scheduler.hpp"

namespace violetpulley::core {

struct ScaleOutResult {
  enum class Kind { granted, no_capacity, refused, unknown } kind = Kind::unknown;
  std::vector<MachineId> machines;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.kind, s.machines);
  }
};

class ScaleOutPlanner {
 public:
  ScaleOutPlanner(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                  Fleet& fleet, Jobs& jobs, const TaskStarter& starts,
                  const DeadlineForecaster& forecaster, InstanceOfferings& offerings,
                  TaskBindings& bindings, const Scarcity& scarcity, GangScheduler& gangs,
                  MachineRegistry& registry, FencingToken token)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        task_starter_(starts),
        forecaster_(forecaster),
        offerings_(offerings),
        bindings_(bindings),
        scarcity_(scarcity),
        gang_scheduler_(gangs),
        registry_(registry),
        token_(token),
        rate_(settings.cloud_calls_per_s * kScaleOutCallShare,
              std::max(1.0, settings.cloud_calls_per_s * kScaleOutCallShare)) {}

  // Asks for machines, if the last time is long enough ago.
  void round(const std::vector<Candidate>& queue, TimePoint now);
  void answered(const std::string& name, const ScaleOutResult& answer, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.requests_in_flight_, s.next_request_, s.rate_, s.last_scale_);
  }

 private:
  struct PendingScaleOut {
    ScaleOut request;
    std::vector<ScaleOutGroup> groups;
    TimePoint sent{};

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.request, s.groups, s.sent);
    }
  };
  std::vector<ScalerJob> unplaced_tasks(const std::vector<Candidate>& queue) const;
  ZoneUse zone_claims(const Job& job) const;
  void scale(std::vector<ScalerJob> unplaced_tasks, const std::vector<Candidate>& queue,
             TimePoint now);
  void send(const OfferingKey& option, std::vector<ScaleOutGroup> groups, TimePoint now);

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
  std::map<std::string, PendingScaleOut> requests_in_flight_;
  std::uint64_t next_request_ = 1;
  RateLimiter rate_;
  TimePoint last_scale_{};
};

}  // namespace violetpulley::core
