// Renting: types chosen jointly with groups of the tasks that found no room (paper 3.3, DESIGN),
// the groups bound to what was rented. Owns the requests under way and the token bucket for them.
#pragma once

#include "core/gangs.hpp"
#include "core/rate_limiter.hpp"
#include "core/registry.hpp"
#include "core/scarcity.hpp"

namespace violetpulley::core {

struct RentalAnswer {
  enum class Kind { rented, no_capacity, refused, unknown } kind = Kind::unknown;
  std::vector<MachineId> machines;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.kind, s.machines);
  }
};

class Rentals {
 public:
  Rentals(const ControllerSettings& settings, Outbox& out, const Catalog& catalog, Fleet& fleet,
          Jobs& jobs, const Starts& starts, const Outlooks& outlooks, Market& market,
          Bindings& bindings, const Scarcity& scarcity, Gangs& gangs, Registry& registry,
          Token token)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        starts_(starts),
        outlooks_(outlooks),
        market_(market),
        bindings_(bindings),
        scarcity_(scarcity),
        gangs_(gangs),
        registry_(registry),
        token_(token),
        rate_(settings.cloud_calls_per_s * kRentalsShare,
              std::max(1.0, settings.cloud_calls_per_s * kRentalsShare)) {}

  // Asks for machines, if the last time is long enough ago.
  void round(const std::vector<Candidate>& queue, TimePoint now);
  void answered(const std::string& name, const RentalAnswer& answer, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.rentals_, s.next_rental_, s.rate_, s.last_scale_);
  }

 private:
  struct Rental {
    Rent request;
    std::vector<RentalGroup> groups;
    TimePoint sent{};

    template <class S, class F>
    static void fields(S& s, F&& f) {
      f(s.request, s.groups, s.sent);
    }
  };
  std::vector<ScalerJob> leftovers(const std::vector<Candidate>& queue) const;
  ZoneUse zone_claims(const Job& job) const;
  void scale(std::vector<ScalerJob> leftovers, const std::vector<Candidate>& queue, TimePoint now);
  void send(const OptionKey& option, std::vector<RentalGroup> groups, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  const Starts& starts_;
  const Outlooks& outlooks_;
  Market& market_;
  Bindings& bindings_;
  const Scarcity& scarcity_;
  Gangs& gangs_;
  Registry& registry_;
  Token token_;
  std::map<std::string, Rental> rentals_;
  std::uint64_t next_rental_ = 1;
  RateLimiter rate_;
  TimePoint last_scale_{};
};

}  // namespace violetpulley::core
