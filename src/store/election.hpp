/// @file
/// Leader election by a key of the state service that is attached to a store lease. Owns what this
/// node knows of the leader key, campaigns for the key while nobody holds it, extends the lease
/// while this node leads, and reports when leadership is won or lost. What may be concluded from
/// the answers is kept in core::Leadership.
#pragma once

#include "async/lifetime.hpp"
#include "core/failover/leadership.hpp"
#include "store/leader_key.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

/// How often a leader extends its lease and sends a read barrier; and again after no answer.
inline constexpr std::chrono::milliseconds kRenewInterval{800};
inline constexpr std::chrono::milliseconds kRenewRetry{250};

class Election {
 public:
  struct Events {
    std::function<void()> won;
    std::function<void(const std::string& cause)> lost;
    std::function<void()> leader_changed;  ///< `leader()` may have changed
  };
  using ProofHandler = std::function<void(bool proven)>;

  /// `seed`: of the jitter between attempts.
  Election(asio::io_context& io, StoreClient& store, core::Leadership& leadership,
           std::string member, std::string peer_address, Events events, std::uint64_t seed);
  Election(const Election&) = delete;
  Election& operator=(const Election&) = delete;

  void start();
  /// Gives the leadership up and does not campaign for `campaign_pause`.
  void resign(const std::string& cause, std::chrono::milliseconds campaign_pause);
  /// Reads the leader key: its success proves leadership as of the sending of the request.
  void prove_leadership(ProofHandler done);
  /// The revision of the key under which `member` leads, as far as is known; 0: it does not.
  Revision leader_revision_of(const std::string& member) const {
    return leader_ && leader_->member == member ? leader_->revision : 0;
  }
  /// Ends the lease of another process that led under revision `leader_revision` and is certainly
  /// gone, instead of waiting for the lease to expire. A key that a later process of that name has
  /// written is left alone.
  void revoke_lease_of(const std::string& member, Revision leader_revision);

  /// Empty: nobody leads, as far as is known.
  const std::optional<LeaderInfo>& leader() const { return leader_; }
  /// When the store last answered a request about leadership.
  core::TimePoint last_store_answer() const { return last_answer_; }
  /// The leader's name; empty: nobody leads.
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
  asio::steady_timer renew_timer_;  // of campaigns, and of renewals while this node leads
  asio::steady_timer watch_timer_;
  std::mt19937_64 random_;
  std::optional<LeaderInfo> leader_;
  Revision applied_revision_ = 0;  // all changes of the key up to this revision are applied
  bool campaigning_ = false;
  LeaseId candidate_lease_ = 0;  // of the key that is being written; 0: none
  core::TimePoint no_campaign_before_{};
  core::TimePoint last_answer_{};
  async::Lifetime lifetime_;  // last member: ends before the others
};

}  // namespace violetpulley::store
