/// @file
/// Withholds new jobs from the core until their placement is safe: a job may be placed only after a
/// proof of leadership that was requested after the job was read, since the proof shows that this
/// node led at the time of the read (docs/safety.md, "One copy of a task", 3). Owns the jobs that
/// wait for a proof.
#pragma once

#include <map>

#include "async/lifetime.hpp"
#include "store/election.hpp"
#include "store/job_replica.hpp"

namespace violetpulley {

class JobVerifier {
 public:
  struct Events {
    /// The job is still open and may be placed. The time is when the proof was answered.
    std::function<void(const core::JobRecord&, core::TimePoint)> verified;
    /// A proof has succeeded or failed, and all jobs of its batch were handled.
    std::function<void()> batch_answered;
  };

  JobVerifier(asio::io_context& io, store::Election& election, store::JobReplica& job_replica,
              Events events);
  JobVerifier(const JobVerifier&) = delete;
  JobVerifier& operator=(const JobVerifier&) = delete;

  /// Adds a job to the next batch; `verify` requests the proof.
  void add(const core::JobRecord& record) { unverified_[record.spec.id] = record; }
  /// Removes a closed job from the next batch.
  void remove(const core::JobId& id) { unverified_.erase(id); }
  /// Requests a proof for all added jobs. Does nothing if there are none, or while a proof or the
  /// pause after it is under way: the next proof, which is requested automatically, covers the jobs
  /// added meanwhile.
  void verify();

 private:
  using Batch = std::map<core::JobId, core::JobRecord>;
  void proof_answered(const Batch& batch, bool leads);
  void schedule_next(bool proof_succeeded);

  store::Election& election_;
  store::JobReplica& job_replica_;
  Events events_;
  asio::steady_timer timer_;
  Batch unverified_;
  bool verifying_ = false;  ///< A proof or the pause after it is under way.
  async::Lifetime lifetime_;
};

}  // namespace violetpulley
