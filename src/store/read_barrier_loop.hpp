// Keeps a leader informed: a read barrier over the jobs goes out with each renewal of the key, and
// its answer, once applied, says up to when no confirmed cancellation is unknown here
// (docs/safety.md, "Leading is not being informed"). A long-lived duty of its leader, ended with
// it. Owns the pace and what was last said about serving.
#pragma once

#include "core/failover/leadership.hpp"
#include "store/job_replica.hpp"

namespace violetpulley::store {

class ReadBarrierLoop {
 public:
  ReadBarrierLoop(asio::io_context& io, core::Leadership& leadership, JobReplica& job_replica);
  ~ReadBarrierLoop() { *alive_ = false; }
  ReadBarrierLoop(const ReadBarrierLoop&) = delete;
  ReadBarrierLoop& operator=(const ReadBarrierLoop&) = delete;

  // One barrier now. True: the mirror is not older than this call, and the leadership knows it.
  void ask(std::function<void(bool)> done);
  // From here on one with each renewal.
  void keep();

 private:
  // Says in the log when reports are no longer answered, why, and when they are again.
  void tell(core::TimePoint now);

  core::Leadership& leadership_;
  JobReplica& job_replica_;
  core::FencingToken token_;
  asio::steady_timer timer_;
  bool serving_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
