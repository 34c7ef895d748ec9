// What a node may conclude about its own leadership. Pure bookkeeping: the store shell reports
// what it sent and what came back. Owns two times, each counted from the sending of its request:
// up to when this node is known to have led, and up to when it is known to have heard of every
// cancellation that any node has confirmed (docs/safety.md, "Leading is not being informed").
#pragma once

#include "core/model/types.hpp"

namespace violetpulley::core {

class Leadership {
 public:
  Leadership(WorkerTimes times, std::chrono::milliseconds clock_skew)
      : times_(times), margin_(margin(times, clock_skew)) {}

  // Clocks that differ, and what a worker takes to end its tasks.
  static Seconds margin(const WorkerTimes& times, std::chrono::milliseconds clock_skew) {
    return Seconds(0.5) + 2 * Seconds(clock_skew) + times.cancel * 0.001;
  }
  // The smallest `cancel_s` that leaves a leader time to serve: news are asked for every 0.8 s, and
  // one answer may stay away.
  static Seconds min_cancel_time(const WorkerTimes& times, std::chrono::milliseconds clock_skew) {
    auto bare = times;
    bare.cancel = Seconds(0);
    return (times.lease + margin(bare, clock_skew) + kMinServingTime) / 0.999;
  }

  // The key was created by a transaction sent at `sent`; its revision is the token. What others
  // have confirmed meanwhile is another matter.
  void won(FencingToken token, std::uint64_t store_lease, TimePoint sent) {
    token_ = token;
    store_lease_ = store_lease;
    last_proven_ = sent;
    fresh_until_.reset();
  }
  // A request sent at `sent` proved that the key is still ours, and nothing else.
  void record_proof(TimePoint sent) {
    if (leading() && sent > last_proven_) last_proven_ = sent;
  }
  // A read barrier over the jobs, sent at `sent`, was answered, and what it closed has reached the
  // core: no cancellation confirmed before `sent` is unknown here.
  void record_read_barrier(TimePoint sent) {
    if (leading() && (!fresh_until_ || sent > *fresh_until_)) fresh_until_ = sent;
  }
  void lost() {
    token_ = 0;
    fresh_until_.reset();
  }

  bool leading() const { return token_ != 0; }
  FencingToken token() const { return token_; }
  std::uint64_t store_lease() const { return store_lease_; }
  // Led until: expiry of leases, takeovers and new jobs are judged by it.
  TimePoint last_proven() const { return last_proven_; }
  // Informed until; none: not since the key was won.
  const std::optional<TimePoint>& fresh_until() const { return fresh_until_; }

  // docs/safety.md, "Serving limit": informed + serving + lease + margin < informed + cancel.
  Seconds serving_time() const {
    return std::max(Seconds(0), times_.cancel - times_.lease - margin_);
  }
  // Whether a report may be answered with 200, which renews a lease, and whether tasks may start.
  // A renewed key alone must not do: a leader that was refused alone, while another node confirmed
  // cancellations, renewed its key at the end of an outage and started those tasks once more.
  bool may_serve(TimePoint now) const {
    return leading() && fresh_until_ && now - *fresh_until_ < to_duration(serving_time()) &&
           now - last_proven_ < to_duration(serving_time());
  }
  // Earliest time at which an unconfirmed machine's lease has run out under any older leader.
  TimePoint former_leases_end(TimePoint elected_at) const {
    return elected_at + to_duration(serving_time() + times_.lease + 2 * margin_);
  }

 private:
  static constexpr Seconds kMinServingTime{2};

  WorkerTimes times_;
  Seconds margin_;
  FencingToken token_ = 0;
  std::uint64_t store_lease_ = 0;
  TimePoint last_proven_{};
  std::optional<TimePoint> fresh_until_;
};

}  // namespace violetpulley::core
