/// @file
/// Tracks until when a node may act as leader. Does no input or output: the store client reports
/// its requests and their results. Owns two points in time: until when this node is proven to have
/// led, and until when it knows every cancellation confirmed by any node (docs/safety.md,
/// "Leadership does not imply fresh data"). Both are the send time of a request, not the arrival
/// time of its response.
#pragma once

#include "core/model/types.hpp"

namespace violetpulley::core {

/// State of the leader key as known to this node, and the time limits that follow from it.
class Leadership {
 public:
  Leadership(AgentTimes times, std::chrono::milliseconds clock_skew)
      : times_(times), margin_(margin(times, clock_skew)) {}

  /// Safety margin of the serving time: clock skew between nodes, clock drift over the cancel time,
  /// and the time an agent takes to end its tasks.
  static Seconds margin(const AgentTimes& times, std::chrono::milliseconds clock_skew) {
    return kBaseMargin + 2 * Seconds(clock_skew) + times.cancel * kClockDriftShare;
  }
  /// The smallest `cancel_s` that leaves a leader `kMinServingTime`. A read barrier is requested
  /// every 0.8 s, and a single response may be lost.
  static Seconds min_cancel_time(const AgentTimes& times, std::chrono::milliseconds clock_skew) {
    auto without_cancel = times;
    without_cancel.cancel = Seconds(0);
    // The margin contains a share of the cancel time itself.
    return (times.lease + margin(without_cancel, clock_skew) + kMinServingTime) /
           (1 - kClockDriftShare);
  }

  /// Records the election: the leader key was created by a transaction sent at `sent`, and its
  /// revision is the fencing token. Does not prove that the cancellations confirmed by other nodes
  /// are known here.
  void won(FencingToken token, std::uint64_t store_lease, TimePoint sent) {
    token_ = token;
    store_lease_ = store_lease;
    last_proven_ = sent;
    fresh_until_.reset();
  }
  /// A request sent at `sent` proved that the leader key still belongs to this node. Does not prove
  /// that the cancellations confirmed by other nodes are known here.
  void record_proof(TimePoint sent) {
    if (leading() && sent > last_proven_) last_proven_ = sent;
  }
  /// A read barrier over the jobs, sent at `sent`, was answered, and the job closings that it
  /// returned have been passed to the core: every cancellation confirmed before `sent` is known
  /// here.
  void record_read_barrier(TimePoint sent) {
    if (leading() && (!fresh_until_ || sent > *fresh_until_)) fresh_until_ = sent;
  }
  /// The leader key is gone or belongs to another node.
  void lost() {
    token_ = 0;
    fresh_until_.reset();
  }

  bool leading() const { return token_ != 0; }
  /// Fencing token; 0 while not leading.
  FencingToken token() const { return token_; }
  std::uint64_t store_lease() const { return store_lease_; }
  /// Latest time at which this node is proven to have led. The expiry of leases is derived from it.
  TimePoint last_proven() const { return last_proven_; }
  /// Every cancellation confirmed before this time is known here; null until the first read barrier
  /// of this leadership.
  const std::optional<TimePoint>& fresh_until() const { return fresh_until_; }

  /// How long after `fresh_until` and `last_proven` this leader may serve. docs/safety.md, "Serving
  /// limit": fresh_until + serving_time + lease + margin < fresh_until + cancel.
  Seconds serving_time() const {
    return std::max(Seconds(0), times_.cancel - times_.lease - margin_);
  }
  /// Whether a heartbeat may be answered with 200, which renews a lease, and whether tasks may
  /// start. A renewed leader key alone is not sufficient: a leader that renews its key after an
  /// outage may have missed cancellations that another node confirmed meanwhile, and would start
  /// the cancelled tasks again.
  bool may_serve(TimePoint now) const {
    return leading() && fresh_until_ && now - *fresh_until_ < to_duration(serving_time()) &&
           now - last_proven_ < to_duration(serving_time());
  }
  /// Earliest time at which every lease that a former leader may have renewed has expired.
  TimePoint former_leases_end(TimePoint elected_at) const {
    return elected_at + to_duration(serving_time() + times_.lease + 2 * margin_);
  }

 private:
  static constexpr Seconds kMinServingTime{2};
  static constexpr Seconds kBaseMargin{0.5};         // time an agent takes to end its tasks
  static constexpr double kClockDriftShare = 0.001;  // clock drift over the cancel time

  AgentTimes times_;
  Seconds margin_;
  FencingToken token_ = 0;
  std::uint64_t store_lease_ = 0;
  TimePoint last_proven_{};
  std::optional<TimePoint> fresh_until_;
};

}  // namespace violetpulley::core
