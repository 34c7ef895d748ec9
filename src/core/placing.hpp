// Rounds of packing (paper 3.2.2, DESIGN): the queue of waiting jobs, room for each by run-time
// bins, images first (docs/design.md, "Exceptions"). Owns when the last round was; starts go
// through `Starts`, what finds no room to `Rentals`. A round makes no more starts than orders can
// follow: after a takeover thousands of tasks find room at once, and choosing for all of them in
// one go took a leader's processor for seconds, in which reports were not answered.
#pragma once

#include "core/packer.hpp"
#include "core/reckoning.hpp"
#include "core/rentals.hpp"
#include "core/standing.hpp"

namespace violetpulley::core {

class Placing {
 public:
  Placing(const ControllerSettings& settings, Outbox& out, const Catalog& catalog, Fleet& fleet,
          Jobs& jobs, Recovery& recovery, Reckoning& reckoning, const Orders& orders,
          const Outlooks& outlooks, Starts& starts, Bindings& bindings, Scarcity& scarcity,
          Preemption& preemption, Gangs& gangs, Rentals& rentals, Standing& standing)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        recovery_(recovery),
        reckoning_(reckoning),
        orders_(orders),
        outlooks_(outlooks),
        starts_(starts),
        bindings_(bindings),
        scarcity_(scarcity),
        preemption_(preemption),
        gangs_(gangs),
        rentals_(rentals),
        standing_(standing) {}

  // Holds a round if one is due.
  void round(TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_place_);
  }

 private:
  void place(TimePoint now);
  void reopen_cleared(const std::vector<Candidate>& queue, TimePoint now);
  std::vector<Candidate> waiting_jobs(TimePoint now);
  void place_bound(Packer& packer, TimePoint now);
  void place_job(Packer& packer, const Candidate& candidate, bool holders_only, TimePoint now);
  Seconds longest_fetch(const JobSpec& spec) const;

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Jobs& jobs_;
  Recovery& recovery_;
  Reckoning& reckoning_;
  const Orders& orders_;
  const Outlooks& outlooks_;
  Starts& starts_;
  Bindings& bindings_;
  Scarcity& scarcity_;
  Preemption& preemption_;
  Gangs& gangs_;
  Rentals& rentals_;
  Standing& standing_;
  TimePoint last_place_{};
  std::size_t starts_left_ = 0;  // in this round
};

}  // namespace violetpulley::core
