// Token bucket. Pure: the caller passes the time.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace violetpulley::core {

class RateLimiter {
 public:
  RateLimiter(double per_second, double burst)
      : per_second_(per_second), burst_(burst), level_(burst) {}

  bool take(TimePoint now, double amount = 1.0) {
    refill(now);
    if (level_ < std::min(amount, burst_)) return false;
    level_ -= amount;
    return true;
  }

  // Takes even when empty: for safety traffic, which then delays the rest.
  void force(TimePoint now, double amount = 1.0) {
    refill(now);
    level_ -= amount;
  }

  Duration wait_for(TimePoint now, double amount = 1.0) {
    refill(now);
    const double lacking = std::min(amount, burst_) - level_;
    if (lacking <= 0) return Duration::zero();
    return to_duration(Seconds(lacking / per_second_)) + std::chrono::milliseconds(1);
  }

  // The same for an amount that may take longer than one burst.
  Duration wait_until(TimePoint now, double amount) {
    refill(now);
    const double lacking = amount - level_;
    return lacking <= 0 ? Duration::zero() : to_duration(Seconds(lacking / per_second_));
  }

  double rate() const { return per_second_; }
  void set_rate(double per_second, double burst) {
    per_second_ = per_second;
    burst_ = burst;
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.per_second_, s.burst_, s.level_, s.last_);
  }

 private:
  void refill(TimePoint now) {
    if (last_ && now > *last_)
      level_ = std::min(burst_, level_ + Seconds(now - *last_).count() * per_second_);
    if (!last_ || now > *last_) last_ = now;
  }

  double per_second_;
  double burst_;
  double level_;
  std::optional<TimePoint> last_;
};

}  // namespace violetpulley::core
