/// @file
/// Congestion control for command batches: how many may be unanswered at once. The window starts
/// small, grows by one for each quick answer, shrinks on slow answers and is halved when more
/// batches are lost than answered. After a failover a thousand machines are thus asked in waves
/// whose size the answers determine, and a leader that is short of processor time or sockets slows
/// down instead of losing the batches it sent. Owns its counters; the caller passes the time.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// Additive increase, multiplicative decrease over the number of unanswered command batches.
class InFlightWindow {
 public:
  /// Sets how many sockets command batches may take. The window never falls below a quarter of the
  /// share: during a storm of heartbeats answers are slow whatever is sent, and with a window of 32
  /// it took ten seconds to ask the few hundred machines that the storm had left out.
  void set_share(std::size_t share) {
    share_ = std::max(share, std::size_t{1});
    size_ = std::clamp(size_, min_size(), share_);
  }

  /// Whether a usual batch may be sent.
  bool admits() const { return in_flight_ < size_; }
  /// Whether a batch may be sent to a machine that left its last one unanswered.
  bool admits_unresponsive() const { return in_flight_ * kUnresponsiveDivisor < size_; }
  /// Whether a batch with stops may be sent: stops are limited by the sockets alone.
  bool admits_stops() const { return in_flight_ < share_; }

  /// The present limit of usual batches.
  std::size_t size() const { return size_; }
  /// Batches sent and not yet answered or lost.
  std::size_t in_flight() const { return in_flight_; }
  /// The largest value of `in_flight()` so far.
  std::size_t peak() const { return peak_; }

  /// Counts a batch that was sent.
  void sent() { peak_ = std::max(peak_, ++in_flight_); }

  /// Ends a batch without an outcome, because its machine was returned.
  void release_slot() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }

  /// Ends a batch that was answered. `round_trip`: from sending the batch to handling the answer.
  void answered(Seconds round_trip) {
    release_slot();
    ++answers_;
    if (round_trip < kQuickAnswer) size_ = std::min(size_ + 1, share_);
    // A machine answers within milliseconds: a slow answer means a long queue on this leader.
    if (round_trip > kSlowAnswer)
      size_ = std::max(min_size(), size_ - (size_ + kShrinkDivisor - 1) / kShrinkDivisor);
  }

  /// Ends a batch that was not answered.
  void lost(TimePoint now) {
    release_slot();
    ++losses_;
    if (now - last_evaluation_ < kEvaluationInterval) return;
    // Some machines are always dead: only when most do not answer is this leader the likely cause.
    if (losses_ > answers_) size_ = std::max(min_size(), size_ / 2);
    last_evaluation_ = now;
    answers_ = 0;
    losses_ = 0;
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.share_, s.size_, s.in_flight_, s.peak_, s.answers_, s.losses_, s.last_evaluation_);
  }

 private:
  static constexpr std::size_t kMinSize = 32;
  static constexpr std::size_t kMinShareDivisor = 4;  // the smallest size is this part of the share
  static constexpr std::size_t kUnresponsiveDivisor = 2;
  static constexpr std::size_t kShrinkDivisor = 16;  // a slow answer takes this part off the size
  static constexpr std::chrono::milliseconds kEvaluationInterval{500};
  static constexpr Seconds kQuickAnswer{0.1};
  static constexpr Seconds kSlowAnswer{0.25};

  std::size_t min_size() const {
    return std::min(share_, std::max(kMinSize, share_ / kMinShareDivisor));
  }

  std::size_t share_ = kMinSize;
  std::size_t size_ = kMinSize;
  std::size_t in_flight_ = 0;
  std::size_t peak_ = 0;
  std::size_t answers_ = 0;  // since the last evaluation
  std::size_t losses_ = 0;   // since the last evaluation
  TimePoint last_evaluation_{};
};

}  // namespace violetpulley::core
