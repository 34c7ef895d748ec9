/// @file
/// Clock, random draws and event queue of a fleet simulation. Owns the simulated time, the seeded
/// random generator and the pending events.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "core/model/types.hpp"

namespace violetpulley::core::fleet_simulation {

/// Clock, event queue and seeded random draws. While an event is called, `now()` is the time of the
/// event, which may lie between two steps.
class FleetEnvironment {
 public:
  using Callback = std::function<void()>;

  explicit FleetEnvironment(std::uint64_t seed);

  TimePoint now() const { return now_; }
  /// Advances the clock by one step and calls the events that are due, in the order of their times.
  void advance();
  /// Calls `callback` once `delay` has passed.
  void after(Seconds delay, Callback callback);
  /// Draws from the uniform distribution over [low, high).
  double uniform(double low, double high);
  /// Draws a number of seconds from the uniform distribution over [low, high).
  Seconds uniform_seconds(double low, double high) { return Seconds(uniform(low, high)); }

 private:
  std::mt19937_64 random_;
  TimePoint now_{};
  std::multimap<TimePoint, Callback> events_;
};

}  // namespace violetpulley::core::fleet_simulation
