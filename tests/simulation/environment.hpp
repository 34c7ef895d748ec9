/// @file
/// Time, chance and pending events of a simulated world. Owns the clock, the random generators and
/// the event queue.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// Clock, event queue and seeded random draws. Equal seeds and equal sequences of calls give equal
/// worlds. The draws of the operators' faults come from a generator of their own, so that worlds
/// without these faults stay as they were before the faults were added.
class Environment {
 public:
  using Callback = std::function<void()>;

  explicit Environment(std::uint64_t seed);

  /// Present time of the world.
  TimePoint now() const { return now_; }
  /// Present time of day, which runs with the steady clock.
  WallTime wall_now() const;
  /// Moves the clock on by `kStep` and calls what has become due, in the order of its times.
  void advance();
  /// Calls `callback` once `delay` has passed.
  void after(Seconds delay, Callback callback);

  /// True with that probability.
  bool chance(double probability);
  /// An evenly distributed number.
  double uniform(double low, double high);
  /// An evenly distributed length of time.
  Seconds uniform_seconds(double low, double high) { return Seconds(uniform(low, high)); }

  /// Switches the draws of the operators' faults on.
  void enable_optional_faults(std::uint64_t seed);
  bool optional_faults_enabled() const { return optional_faults_enabled_; }
  /// True with that probability; false, without a draw, unless operators' faults are on.
  bool optional_fault_chance(double probability);
  /// An evenly distributed number from the generator of the operators' faults.
  double optional_fault_uniform(double low, double high);
  /// An evenly distributed length of time from the generator of the operators' faults.
  Seconds optional_fault_seconds(double low, double high) {
    return Seconds(optional_fault_uniform(low, high));
  }

  /// Whether faults are injected.
  bool faults_active() const { return !faults_ended_; }
  /// Injects no further faults; those that have begun may last on.
  void end_faults() { faults_ended_ = now_; }
  /// When the injection of faults was ended; none while it goes on.
  std::optional<TimePoint> faults_ended() const { return faults_ended_; }
  /// Probability with which a message is lost.
  double message_loss() const;

 private:
  std::mt19937_64 random_;
  bool optional_faults_enabled_ = false;
  std::mt19937_64 optional_fault_random_;
  TimePoint now_{};
  std::multimap<TimePoint, Callback> events_;
  std::optional<TimePoint> faults_ended_;
};

}  // namespace violetpulley::core::simulated
