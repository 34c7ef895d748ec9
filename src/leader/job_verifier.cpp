#include "leader/job_verifier.hpp"

#include <utility>

namespace violetpulley {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProofInterval{30};
constexpr milliseconds kProofRetryDelay{300};

}  // namespace

JobVerifier::JobVerifier(asio::io_context& io, store::Election& election,
                         store::JobReplica& job_replica, Events events)
    : election_(election), job_replica_(job_replica), events_(std::move(events)), timer_(io) {}

void JobVerifier::verify() {
  if (verifying_ || unverified_.empty()) return;
  verifying_ = true;
  auto batch = std::exchange(unverified_, {});
  election_.prove_leadership(lifetime_.guard(
      [this, batch = std::move(batch)](bool leads) { proof_answered(batch, leads); }));
}

void JobVerifier::proof_answered(const Batch& batch, bool leads) {
  const auto now = core::Clock::now();
  for (const auto& [id, record] : batch) {
    if (job_replica_.find(id) == nullptr) continue;
    if (leads)
      events_.verified(record, now);
    else
      unverified_.emplace(id, record);
  }
  events_.batch_answered();
  schedule_next(leads);
}

void JobVerifier::schedule_next(bool proof_succeeded) {
  timer_.expires_after(proof_succeeded ? kProofInterval : kProofRetryDelay);
  timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (error) return;
    verifying_ = false;
    verify();
  }));
}

}  // namespace violetpulley
