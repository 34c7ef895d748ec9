#include "store/election.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds kLeaseTime{3000};
constexpr milliseconds kWatchBlock{8000};
constexpr milliseconds kReloadRetry{300};
constexpr milliseconds kWatchRetryDelay{200};
constexpr milliseconds kMinCampaignRetry{100};
constexpr milliseconds kMaxCampaignRetry{300};
}  // namespace

Election::Election(asio::io_context& io, StoreClient& store, core::Leadership& leadership,
                   std::string member, std::string peer_address, Events events, std::uint64_t seed)
    : store_(store),
      leadership_(leadership),
      member_(std::move(member)),
      peer_address_(std::move(peer_address)),
      events_(std::move(events)),
      renew_timer_(io),
      watch_timer_(io),
      random_(seed) {}

void Election::start() { reload(); }

void Election::reload_later(milliseconds min_wait) {
  std::uniform_int_distribution<long> jitter(0, min_wait.count() / 2);
  watch_timer_.expires_after(min_wait + milliseconds(jitter(random_)));
  watch_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) reload();
  }));
}

void Election::reload() {
  store_.list(kLeaderKey, RequestPriority::safety, lifetime_.guard([this](ListResult result) {
    if (result.outcome != Outcome::ok) return reload_later(kReloadRetry);
    last_response_ = Clock::now();
    if (result.revision > applied_revision_) apply_listed_key(std::move(result));
    if (!leader_) campaign();
    watch();
  }));
}

void Election::apply_listed_key(ListResult result) {
  applied_revision_ = result.revision;
  std::optional<Json> value;
  Revision revision = 0;
  for (auto& item : result.items)
    if (item.key == kLeaderKey) {
      value = std::move(item.value);
      revision = item.revision;
    }
  apply(value, revision);
}

void Election::watch() {
  store_.changes(kLeaderKey, applied_revision_, kWatchBlock, RequestPriority::safety,
                 lifetime_.guard([this](const ChangesResult& result) {
                   if (result.outcome != Outcome::ok) return reload_later(kWatchRetryDelay);
                   last_response_ = Clock::now();
                   for (const auto& change : result.changes)
                     if (change.key == kLeaderKey && change.revision > applied_revision_)
                       apply(change.value, change.revision);
                   applied_revision_ = std::max(applied_revision_, result.revision);
                   if (!leader_) campaign();
                   watch();
                 }));
}

void Election::apply(const std::optional<Json>& value, Revision revision) {
  if (value) {
    try {
      leader_ = decode_leader_key(*value, revision);
    } catch (const DecodeError& problem) {
      spdlog::error("leader key cannot be decoded: {}", problem.what());
      leader_ = LeaderInfo{"", "", 0, revision};
    }
    if (leadership_.leading() && revision > leadership_.token()) lose("another node leads");
    revoke_previous_incarnation();
  } else {
    leader_.reset();
    if (leadership_.leading() && revision > leadership_.token()) lose("the leader key is gone");
  }
  events_.leader_changed();
}

// A leader key that names this node while it does not lead was written by an earlier process of
// this name, which has ended, or by a request of this process whose response was lost. No node can
// win until that lease ends, so it is revoked at once. Otherwise a process restarted within a
// fraction of a second would block every election for the full lease time.
void Election::revoke_previous_incarnation() {
  if (!leader_ || leader_->member != member_ || leadership_.leading()) return;
  if (leader_->lease == candidate_lease_) return;  // being written; its response is still pending
  spdlog::info(
      "leader key of revision {} belongs to a previous incarnation of this controller; revoking "
      "its lease",
      leader_->revision);
  store_.revoke_lease(leader_->lease);
}

void Election::campaign() {
  if (campaigning_ || leadership_.leading()) return;
  if (Clock::now() < no_campaign_before_) {
    renew_timer_.expires_at(no_campaign_before_);
    return campaign_when_timer_expires();
  }
  campaigning_ = true;
  store_.create_lease(kLeaseTime, lifetime_.guard([this](const LeaseResult& result) {
    if (result.outcome != Outcome::ok) return campaign_again();
    if (leader_) {
      campaigning_ = false;
      return store_.revoke_lease(result.lease);
    }
    write_leader_key(result.lease);
  }));
}

void Election::campaign_when_timer_expires() {
  renew_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error && !leader_) campaign();
  }));
}

void Election::campaign_again() {
  campaigning_ = false;
  std::uniform_int_distribution<long> jitter(kMinCampaignRetry.count(), kMaxCampaignRetry.count());
  renew_timer_.expires_after(milliseconds(jitter(random_)));
  campaign_when_timer_expires();
}

void Election::write_leader_key(LeaseId lease) {
  const auto sent = Clock::now();
  candidate_lease_ = lease;
  const auto value = encode_leader_key({member_, peer_address_, lease, 0});
  const Transaction create{{{kLeaderKey, 0}}, {{kLeaderKey, value, lease}}};
  store_.commit(create, RequestPriority::safety,
                lifetime_.guard([this, lease, sent](const TransactionResult& result) {
                  leader_key_written(result, lease, sent);
                }));
}

void Election::leader_key_written(const TransactionResult& result, LeaseId lease,
                                  core::TimePoint sent) {
  candidate_lease_ = 0;
  if (result.outcome != Outcome::ok) {
    // If the response was lost, the key may exist: revoking the lease deletes it.
    store_.revoke_lease(lease);
    return campaign_again();
  }
  campaigning_ = false;
  last_response_ = Clock::now();
  leadership_.won(result.revision, lease, sent);
  leader_ = LeaderInfo{member_, peer_address_, lease, result.revision};
  spdlog::info("won leadership with fencing token {}, the revision of the leader key",
               result.revision);
  renew_later(kRenewInterval);
  events_.leader_changed();
  events_.won();
}

void Election::renew_later(milliseconds wait) {
  renew_timer_.expires_after(wait);
  renew_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error && leadership_.leading()) renew();
  }));
}

void Election::renew() {
  const auto sent = Clock::now();
  const auto token = leadership_.token();
  store_.extend_lease(leadership_.store_lease(),
                      lifetime_.guard([this, sent, token](Outcome outcome) {
                        if (leadership_.token() != token) return;
                        if (outcome == Outcome::not_found) return lose("its lease has expired");
                        if (outcome == Outcome::ok) {
                          leadership_.record_proof(sent);
                          last_response_ = Clock::now();
                        }
                        renew_later(outcome == Outcome::ok ? kRenewInterval : kRenewRetryDelay);
                      }));
}

void Election::prove_leadership(ProofHandler done) {
  const auto sent = Clock::now();
  const auto token = leadership_.token();
  store_.get(kLeaderKey, RequestPriority::safety,
             lifetime_.guard([this, sent, token, done = std::move(done)](const GetResult& result) {
               const bool proven = result.outcome == Outcome::ok && token != 0 &&
                                   result.item.revision == token && leadership_.token() == token;
               if (proven) leadership_.record_proof(sent);
               done(proven);
             }));
}

void Election::lose(const std::string& cause) {
  if (!leadership_.leading()) return;
  spdlog::warn("lost leadership: {}; leader key of revision {}, seen up to revision {}", cause,
               leadership_.token(), applied_revision_);
  leadership_.lost();
  renew_timer_.cancel();
  if (leader_ && leader_->member == member_) leader_.reset();
  events_.lost(cause);
}

void Election::resign(const std::string& cause, milliseconds campaign_pause) {
  if (!leadership_.leading()) return;
  no_campaign_before_ = Clock::now() + campaign_pause;
  const auto lease = leadership_.store_lease();
  lose(cause);
  store_.revoke_lease(lease);
}

void Election::revoke_lease_of(const std::string& member, Revision leader_revision) {
  if (leader_revision == 0 || this->leader_revision_of(member) != leader_revision ||
      member == member_)
    return;
  spdlog::info("leader {} has ended; revoking its lease", member);
  store_.revoke_lease(leader_->lease);
}

}  // namespace violetpulley::store
