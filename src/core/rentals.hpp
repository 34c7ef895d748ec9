// Renting: types chosen jointly with groups of the tasks that found no room (paper 3.3, DESIGN),
// the groups bound to what was rented. Owns the requests under way and the token bucket for them.
#pragma once

#include "core/gangs.hpp"
#include "core/rate_limiter.hpp"
#include "core/registry.hpp"
#include "core/scarcity.hpp"

namespace violetpulley::core {

struct ScaleOutResult {
  enum class Kind { rented, no_capacity, refused, unknown } kind = Kind::unknown;
  std::vector<MachineId> machines;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.kind, s.machines);
  }
};

class ScaleOutPlanner {
 public:
  ScaleOutPlanner(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                  Fleet& fleet, Jobs& jobs, const Starts& starts,
                  const DeadlineForecaster& forecaster, InstanceOfferings& offerings,
                  Bindings& bindings, const Scarcity& scarcity, Gangs& gangs, Registry& registry,
                  FencingToken token)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        starts_(starts),
        forecaster_(forecaster),
        offerings_(offerings),
        bindings_(bindings),
        scarcity_(scarcity),
        gangs_(gangs),
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
  const Starts& starts_;
  const DeadlineForecaster& forecaster_;
  InstanceOfferings& offerings_;
  Bindings& bindings_;
  const Scarcity& scarcity_;
  Gangs& gangs_;
  Registry& registry_;
  FencingToken token_;
  std::map<std::string, PendingScaleOut> requests_in_flight_;
  std::uint64_t next_request_ = 1;
  RateLimiter rate_;
  TimePoint last_scale_{};
};

}  // namespace violetpulley::core
