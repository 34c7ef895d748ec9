/// @file
/// Holds back new jobs until a proof of leadership allows them to be placed. A job may be placed
/// only if it was read while this node verifiably led; a proof that was requested after the read
/// shows that (docs/safety.md, "One copy of a task", 3). Owns the jobs that wait for a proof.
#pragma once

#include <map>

#include "async/lifetime.hpp"
#include "store/election.hpp"
#include "store/job_replica.hpp"

namespace violetpulley {

class JobVerifier {
 public:
  struct Events {
    /// A job that is still open may be placed. The time is that of the proof's answer.
    std::function<void(const core::JobRecord&, core::TimePoint)> verified;
    /// A proof was answered, whatever the answer, and all jobs of its batch were handled.
    std::function<void()> batch_answered;
  };

  JobVerifier(asio::io_context& io, store::Election& election, store::JobReplica& job_replica,
              Events events);
  JobVerifier(const JobVerifier&) = delete;
  JobVerifier& operator=(const JobVerifier&) = delete;

  /// Adds a job to the next batch; `verify` requests the proof.
  void add(const core::JobRecord& record) { unverified_[record.spec.id] = record; }
  /// Removes a job that has closed from the next batch.
  void remove(const core::JobId& id) { unverified_.erase(id); }
  /// Requests a proof for all added jobs, unless none was added or a proof is under way. Jobs added
  /// meanwhile are verified by the next proof, which follows by itself.
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
