/// @file
/// Token bucket rate limiter. Owns the fill level and reads no clock: the caller passes the time.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// Limits the rate of operations; allows bursts of up to `burst` operations.
class RateLimiter {
 public:
  /// Starts with a full bucket. `per_second`: refill rate. `burst`: capacity of the bucket.
  RateLimiter(double per_second, double burst)
      : per_second_(per_second), burst_(burst), level_(burst) {}

  /// Takes `amount` if the bucket holds that much and returns whether it did. An amount above the
  /// burst needs a full bucket and leaves a negative level.
  bool take(TimePoint now, double amount = 1.0) {
    refill(now);
    if (level_ < std::min(amount, burst_)) return false;
    level_ -= amount;
    return true;
  }

  /// Takes `amount` even from an empty bucket. For requests that safety depends on; later requests
  /// then wait until the bucket has refilled.
  void force_take(TimePoint now, double amount = 1.0) {
    refill(now);
    level_ -= amount;
  }

  /// Time until `take` of this amount succeeds; zero if it would succeed now.
  Duration time_until_available(TimePoint now, double amount = 1.0) {
    refill(now);
    const double deficit = std::min(amount, burst_) - level_;
    if (deficit <= 0) return Duration::zero();
    return to_duration(Seconds(deficit / per_second_)) + std::chrono::milliseconds(1);
  }

  /// Time in which the level would reach `amount` if the burst did not limit it; zero if the bucket
  /// holds the amount.
  Duration time_to_accumulate(TimePoint now, double amount) {
    refill(now);
    const double deficit = amount - level_;
    return deficit <= 0 ? Duration::zero() : to_duration(Seconds(deficit / per_second_));
  }

  /// Refill rate, per second.
  double rate() const { return per_second_; }
  /// Changes rate and burst; the level is unchanged.
  void set_rate(double per_second, double burst) {
    per_second_ = per_second;
    burst_ = burst;
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.per_second_, s.burst_, s.level_, s.last_refill_);
  }

 private:
  void refill(TimePoint now) {
    if (last_refill_ && now > *last_refill_)
      level_ = std::min(burst_, level_ + Seconds(now - *last_refill_).count() * per_second_);
    if (!last_refill_ || now > *last_refill_) last_refill_ = now;
  }

  double per_second_;
  double burst_;
  double level_;
  std::optional<TimePoint> last_refill_;
};

}  // namespace violetpulley::core
