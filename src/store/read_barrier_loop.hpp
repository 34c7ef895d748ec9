/// @file
/// Keeps a leader's job replica fresh by sending a read barrier at the interval at which the leader
/// key is renewed. Once a barrier's response is applied, this node knows every cancellation that
/// was confirmed before the barrier was sent (docs/safety.md, "Serving limit"). Exists as long as
/// the leader. Owns the timer of the barriers and the last logged serving state.
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

  /// Requests one barrier now. `done` gets true if the replica contains all changes committed
  /// before this call, and core::Leadership then records the time of the call.
  void request_barrier(JobReplica::BarrierHandler done);
  /// Requests one barrier now and then one after each renewal interval.
  void run();

 private:
  /// Logs when the leader stops answering heartbeats, with the reason, and when it resumes.
  void log_serving_changes(core::TimePoint now);

  core::Leadership& leadership_;
  JobReplica& job_replica_;
  core::FencingToken token_;
  asio::steady_timer timer_;
  bool serving_ = true;       // as last logged
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::store
