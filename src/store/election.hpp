// Stands for leadership by a key attached to a hold, keeps the hold, and tells when it is lost.
#pragma once

#include "core/failover/leadership.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

// How often a leader renews its key and, with it, its news; and again after no answer.
inline constexpr std::chrono::milliseconds kRenewInterval{800};
inline constexpr std::chrono::milliseconds kRenewRetry{250};

struct LeaderInfo {
  std::string member;
  std::string peer_address;
  std::uint64_t lease = 0;
  Revision revision = 0;
};

class Election {
 public:
  struct Events {
    std::function<void()> won;
    std::function<void(const std::string& cause)> lost;
    std::function<void()> leader_changed;
  };

  Election(asio::io_context& io, StoreClient& store, core::Leadership& leadership,
           std::string member, std::string peer_address, Events events, std::uint64_t seed);
  ~Election();
  Election(const Election&) = delete;
  Election& operator=(const Election&) = delete;

  void start();
  // Gives the key up and stands back for a while.
  void resign(const std::string& cause, std::chrono::milliseconds campaign_pause);
  // Reads the leader key: its success proves leadership as of the sending.
  void prove(std::function<void(bool)> done);
  // The revision of the key under which this member leads, as far as is known; 0: it does not.
  Revision led_by(const std::string& member) const {
    return leader_ && leader_->member == member ? leader_->revision : 0;
  }
  // The process that led under this revision is gone for sure: end its hold instead of waiting for
  // it to run out. A later life of it, with a key of its own, is left alone.
  void revoke_lease_of(const std::string& member, Revision led_by);

  const std::optional<LeaderInfo>& leader() const { return leader_; }
  // When the store last answered anything about leadership.
  core::TimePoint last_store_answer() const { return last_answer_; }
  std::string current_member() const { return leader_ ? leader_->member : std::string(); }

 private:
  void reload();
  void watch();
  void apply(const std::optional<Json>& value, Revision revision);
  void revoke_previous_incarnation();
  void campaign();
  void renew();
  void renew_later(std::chrono::milliseconds wait);
  void lose(const std::string& cause);
  void retry(void (Election::*step)(), std::chrono::milliseconds least);

  StoreClient& store_;
  core::Leadership& leadership_;
  std::string member_;
  std::string peer_address_;
  Events events_;
  asio::steady_timer renew_timer_;
  asio::steady_timer watch_timer_;
  std::mt19937_64 random_;
  std::optional<LeaderInfo> leader_;
  Revision seen_ = 0;
  bool campaigning_ = false;
  std::uint64_t candidate_lease_ = 0;  // of the key that is being written; 0: none
  core::TimePoint no_campaign_before_{};
  core::TimePoint last_answer_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
