/// @file
/// Time, chance and pending events of a fleet simulation. Owns the clock, the random generator and
/// the event queue.
#pragma once

#include <functional>
#include <map>
#include <random>

#include "core/model/types.hpp"

namespace violetpulley::core::fleet_simulation {

/// Clock and event queue. Events are called at their own times, between the steps.
class FleetEnvironment {
 public:
  using Callback = std::function<void()>;

  explicit FleetEnvironment(std::uint64_t seed);

  TimePoint now() const { return now_; }
  /// Moves the clock on by a step and calls what has become due, in the order of its times.
  void advance();
  /// Calls `callback` once `delay` has passed.
  void after(Seconds delay, Callback callback);
  /// An evenly distributed number.
  double uniform(double low, double high);
  /// An evenly distributed length of time.
  Seconds uniform_seconds(double low, double high) { return Seconds(uniform(low, high)); }

 private:
  std::mt19937_64 random_;
  TimePoint now_{};
  std::multimap<TimePoint, Callback> events_;
};

}  // namespace violetpulley::core::fleet_simulation
