/// @file
/// Keeps a leader's job replica fresh: sends a read barrier with each renewal of the leader key.
/// The answer, once applied, bounds up to when every confirmed cancellation is known here
/// (docs/safety.md, "Serving limit"). Exists as long as the leader. Owns the interval of the
/// barriers and whether serving was last logged as possible.
#pragma once

#include "async/lifetime.hpp"
#include "core/failover/leadership.hpp"
#include "store/job_replica.hpp"

namespace violetpulley::store {

class ReadBarrierLoop {
 public:
  ReadBarrierLoop(asio::io_context& io, core::Leadership& leadership, JobReplica& job_replica);
  ReadBarrierLoop(const ReadBarrierLoop&) = delete;
  ReadBarrierLoop& operator=(const ReadBarrierLoop&) = delete;

  /// Sends one barrier now. `done` gets true if the replica is not older than this call, which is
  /// then recorded in the leadership.
  void request_barrier(JobReplica::BarrierHandler done);
  /// Sends one barrier now and one after each renewal interval.
  void run();

 private:
  /// Logs when heartbeats are no longer answered, and why, and when they are answered again.
  void log_serving_changes(core::TimePoint now);

  core::Leadership& leadership_;
  JobReplica& job_replica_;
  core::FencingToken token_;
  asio::steady_timer timer_;
  bool serving_ = true;       // as last logged
  async::Lifetime lifetime_;  // last member: ends before the others
};

}  // namespace violetpulley::store
