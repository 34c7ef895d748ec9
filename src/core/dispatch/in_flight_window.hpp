/// @file
/// Congestion control for command batches: limits how many may be unanswered at once. The window
/// starts small, grows by one for each quick answer, shrinks on slow answers and is halved when
/// more batches are lost than answered. So the answers determine how fast the machines are queried
/// after a failover, and a leader that is short of processor time or sockets slows down instead of
/// losing batches. Owns its counters; the caller passes the time.
#pragma once

#include <algorithm>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// Additive increase, multiplicative decrease over the number of unanswered command batches.
class InFlightWindow {
 public:
  /// Sets how many sockets command batches may take. The window never falls below a quarter of the
  /// share: during a burst of heartbeats answers are slow regardless of the window, and a smaller
  /// window only delays the queries to the machines that have not sent a heartbeat.
  void set_share(std::size_t share) {
    share_ = std::max(share, std::size_t{1});
    size_ = std::clamp(size_, min_size(), share_);
  }

  /// Whether a batch without stops may be sent to a responsive machine.
  bool admits() const { return in_flight_ < size_; }
  /// Whether a batch may be sent to a machine that left its last batch unanswered.
  bool admits_unresponsive() const { return in_flight_ * kUnresponsiveDivisor < size_; }
  /// Whether a batch with stops may be sent: only the socket share limits stops.
  bool admits_stops() const { return in_flight_ < share_; }

  /// The current limit of batches without stops to responsive machines.
  std::size_t size() const { return size_; }
  /// Number of batches that were sent and have no outcome yet.
  std::size_t in_flight() const { return in_flight_; }
  /// The largest value of `in_flight()` so far.
  std::size_t peak() const { return peak_; }

  /// Records that a batch was sent.
  void sent() { peak_ = std::max(peak_, ++in_flight_); }

  /// Ends a batch without an outcome, because its machine was returned.
  void release_slot() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }

  /// Ends a batch that was answered. `round_trip`: from sending the batch to handling the answer.
  void answered(Seconds round_trip) {
    release_slot();
    ++answers_;
    if (round_trip < kQuickAnswer) size_ = std::min(size_ + 1, share_);
    // Agents answer within milliseconds: a slow answer indicates a long queue on this leader.
    if (round_trip > kSlowAnswer)
      size_ = std::max(min_size(), size_ - (size_ + kShrinkDivisor - 1) / kShrinkDivisor);
  }

  /// Ends a batch that was not answered.
  void lost(TimePoint now) {
    release_slot();
    ++losses_;
    if (now - last_evaluation_ < kEvaluationInterval) return;
    // Some machines are always dead. This leader is the likely cause only if most batches are lost.
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
  static constexpr std::size_t kMinShareDivisor = 4;  // minimum size: share / this
  static constexpr std::size_t kUnresponsiveDivisor = 2;
  static constexpr std::size_t kShrinkDivisor = 16;  // reduction on a slow answer: size / this
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
