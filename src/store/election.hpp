/// @file
/// Leader election by a key of the state service that is attached to a store lease. Owns this
/// node's view of the leader key; campaigns for the key while no node holds it, extends the lease
/// while this node leads, and reports when leadership is won or lost. core::Leadership holds the
/// conclusions drawn from the responses.
#pragma once

#include "async/lifetime.hpp"
#include "core/failover/leadership.hpp"
#include "store/leader_key.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

/// Interval at which a leader extends its lease and sends a read barrier.
inline constexpr std::chrono::milliseconds kRenewInterval{800};
/// Delay before the next attempt when the previous one failed or got no response.
inline constexpr std::chrono::milliseconds kRenewRetryDelay{250};

class Election {
 public:
  struct Events {
    std::function<void()> won;
    std::function<void(const std::string& cause)> lost;
    std::function<void()> leader_changed;  ///< Called when `leader()` may have changed.
  };
  using ProofHandler = std::function<void(bool proven)>;

  /// `seed` seeds the jitter between attempts.
  Election(asio::io_context& io, StoreClient& store, core::Leadership& leadership,
           std::string member, std::string peer_address, Events events, std::uint64_t seed);
  Election(const Election&) = delete;
  Election& operator=(const Election&) = delete;

  void start();
  /// Gives up leadership, revokes the lease and does not campaign for `campaign_pause`.
  void resign(const std::string& cause, std::chrono::milliseconds campaign_pause);
  /// Reads the leader key. `done` gets true if the key still has this leader's revision, which
  /// proves leadership at the time the request was sent.
  void prove_leadership(ProofHandler done);
  /// Revision of the leader key if `member` is the last known leader, otherwise 0.
  Revision leader_revision_of(const std::string& member) const {
    return leader_ && leader_->member == member ? leader_->revision : 0;
  }
  /// Revokes the lease of another process that led under `leader_revision` and is known to have
  /// ended, instead of waiting for the lease to expire. Does nothing if a later process of the same
  /// name has written the key since.
  void revoke_lease_of(const std::string& member, Revision leader_revision);

  /// The last known leader; empty if no node is known to lead.
  const std::optional<LeaderInfo>& leader() const { return leader_; }
  /// When the state service last responded to a request about leadership.
  core::TimePoint last_store_response() const { return last_response_; }
  /// Name of the last known leader; empty if no node is known to lead.
  std::string leader_name() const { return leader_ ? leader_->member : std::string(); }

 private:
  void reload();
  void reload_later(std::chrono::milliseconds min_wait);
  void apply_listed_key(ListResult result);
  void watch();
  void apply(const std::optional<Json>& value, Revision revision);
  void revoke_previous_incarnation();
  void campaign();
  void campaign_when_timer_expires();
  void campaign_again();
  void write_leader_key(LeaseId lease);
  void leader_key_written(const TransactionResult& result, LeaseId lease, core::TimePoint sent);
  void renew();
  void renew_later(std::chrono::milliseconds wait);
  void lose(const std::string& cause);

  StoreClient& store_;
  core::Leadership& leadership_;
  std::string member_;
  std::string peer_address_;
  Events events_;
  asio::steady_timer renew_timer_;  // schedules campaigns, and renewals while this node leads
  asio::steady_timer watch_timer_;
  std::mt19937_64 random_;
  std::optional<LeaderInfo> leader_;
  Revision applied_revision_ = 0;  // all changes of the leader key up to this revision are applied
  bool campaigning_ = false;
  LeaseId candidate_lease_ = 0;  // lease of the leader key being written; 0 if none is
  core::TimePoint no_campaign_before_{};
  core::TimePoint last_response_{};
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::store
