/// @file
/// Clock, random draws and event queue of a simulated world. Owns the simulated time, the seeded
/// random generators and the pending events.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// Clock, event queue and seeded random draws. Equal seeds and equal sequences of calls give equal
/// worlds. Optional faults (production, combined and correlated faults) draw from a second
/// generator, so that a new kind of optional fault does not change the worlds that have none.
/// Copies of command batches draw from a third one, so that they do not change the draws of the
/// other faults.
class Environment {
 public:
  using Callback = std::function<void()>;

  explicit Environment(std::uint64_t seed);

  /// Current simulated time.
  TimePoint now() const { return now_; }
  /// Current time of day; advances with `now()`.
  WallTime wall_now() const;
  /// Advances the clock by `kStep` and calls the events that are due, in the order of their times.
  void advance();
  /// Calls `callback` once `delay` has passed.
  void after(Seconds delay, Callback callback);

  /// Draws true with the given probability.
  bool chance(double probability);
  /// Draws from the uniform distribution over [low, high).
  double uniform(double low, double high);
  /// Draws a number of seconds from the uniform distribution over [low, high).
  Seconds uniform_seconds(double low, double high) { return Seconds(uniform(low, high)); }

  /// Enables the optional faults and seeds their generators.
  void enable_optional_faults(std::uint64_t seed);
  bool optional_faults_enabled() const { return optional_faults_enabled_; }
  /// Draws true with the given probability from the generator of the optional faults. Returns false
  /// without a draw if optional faults are disabled or the injection of faults has ended.
  bool optional_fault_chance(double probability);
  /// As `uniform`, from the generator of the optional faults.
  double optional_fault_uniform(double low, double high);
  /// As `uniform_seconds`, from the generator of the optional faults.
  Seconds optional_fault_seconds(double low, double high) {
    return Seconds(optional_fault_uniform(low, high));
  }

  /// As `optional_fault_chance`, from the generator of the copies of command batches.
  bool command_copy_chance(double probability);
  /// As `uniform_seconds`, from the generator of the copies of command batches.
  Seconds command_copy_seconds(double low, double high);

  /// Whether faults are injected.
  bool faults_active() const { return !faults_ended_; }
  /// Stops the injection of faults. Faults that have begun last until their own end.
  void end_faults() { faults_ended_ = now_; }
  /// When the injection of faults ended; empty while faults are injected.
  std::optional<TimePoint> faults_ended() const { return faults_ended_; }
  /// Probability that a message is lost; 0 once the injection of faults has ended.
  double message_loss() const;

 private:
  std::mt19937_64 random_;
  bool optional_faults_enabled_ = false;
  std::mt19937_64 optional_fault_random_;
  std::mt19937_64 command_copy_random_;
  TimePoint now_{};
  std::multimap<TimePoint, Callback> events_;
  std::optional<TimePoint> faults_ended_;
};

}  // namespace violetpulley::core::simulated
