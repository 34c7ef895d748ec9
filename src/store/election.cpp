#include "store/election.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds kLeaseTime{3000};
constexpr milliseconds kWatchBlock{8000};
const std::string kKey = "leader";
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

Election::~Election() { *alive_ = false; }

void Election::start() { reload(); }

void Election::retry(void (Election::*step)(), milliseconds least) {
  std::uniform_int_distribution<long> jitter(0, least.count() / 2);
  watch_timer_.expires_after(least + milliseconds(jitter(random_)));
  watch_timer_.async_wait([this, step, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) (this->*step)();
  });
}

void Election::reload() {
  store_.list(kKey, Urgency::safety, [this, alive = alive_](ListResult result) {
    if (!*alive) return;
    if (result.outcome != Outcome::ok) return retry(&Election::reload, milliseconds(300));
    last_answer_ = Clock::now();
    if (result.revision > seen_) {
      seen_ = result.revision;
      std::optional<Json> value;
      Revision revision = 0;
      for (auto& item : result.items)
        if (item.key == kKey) {
          value = std::move(item.value);
          revision = item.revision;
        }
      apply(value, revision);
    }
    if (!leader_) campaign();
    watch();
  });
}

void Election::watch() {
  store_.changes(kKey, seen_, kWatchBlock, Urgency::safety,
                 [this, alive = alive_](ChangesResult result) {
                   if (!*alive) return;
                   if (result.outcome != Outcome::ok)
                     return retry(&Election::reload, milliseconds(200));
                   last_answer_ = Clock::now();
                   for (auto& change : result.changes)
                     if (change.key == kKey && change.revision > seen_)
                       apply(change.value, change.revision);
                   seen_ = std::max(seen_, result.revision);
                   if (!leader_) campaign();
                   watch();
                 });
}

void Election::apply(const std::optional<Json>& value, Revision revision) {
  if (value) {
    try {
      leader_ =
          LeaderInfo{value->at("member").get<std::string>(), value->at("mesh").get<std::string>(),
                     value->at("hold").get<std::uint64_t>(), revision};
    } catch (const std::exception& problem) {
      spdlog::error("the leader key holds nonsense: {}", problem.what());
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

// A process that finds its own name under the key and does not lead is not the leader: the key is
// of a former life, whose process has ended, or was written by a request of ours that was given up.
// Nobody leads until that hold has run out, so it is ended at once: a process that was back within
// a fraction of a second used to lock everybody out for the hold's full time.
void Election::revoke_previous_incarnation() {
  if (!leader_ || leader_->member != member_ || leadership_.leading()) return;
  if (leader_->lease == candidate_lease_) return;  // written just now; its answer is on its way
  spdlog::info("the leader key of revision {} is of a former life of this controller: ending it",
               leader_->revision);
  store_.revoke_lease(leader_->lease);
}

void Election::campaign() {
  if (campaigning_ || leadership_.leading()) return;
  const auto now = Clock::now();
  if (now < no_campaign_before_) {
    renew_timer_.expires_at(no_campaign_before_);
    renew_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
      if (*alive && !error && !leader_) campaign();
    });
    return;
  }
  campaigning_ = true;
  const auto again = [this] {
    campaigning_ = false;
    std::uniform_int_distribution<long> jitter(100, 300);
    renew_timer_.expires_after(milliseconds(jitter(random_)));
    renew_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
      if (*alive && !error && !leader_) campaign();
    });
  };
  store_.create_lease(
      kLeaseTime, [this, again, alive = alive_](Outcome outcome, std::uint64_t lease) {
        if (!*alive) return;
        if (outcome != Outcome::ok) return again();
        if (leader_) {
          campaigning_ = false;
          return store_.revoke_lease(lease);
        }
        const auto sent = Clock::now();
        candidate_lease_ = lease;
        Transaction create{
            {{kKey, 0}},
            {{kKey, Json{{"member", member_}, {"mesh", peer_address_}, {"hold", lease}}, lease}}};
        store_.commit(create, Urgency::safety,
                      [this, again, lease, sent, alive](TransactionResult result) {
                        if (!*alive) return;
                        candidate_lease_ = 0;
                        if (result.outcome != Outcome::ok) {
                          // Without an answer the key may exist under this hold: end it with the
                          // hold.
                          store_.revoke_lease(lease);
                          return again();
                        }
                        campaigning_ = false;
                        last_answer_ = Clock::now();
                        leadership_.won(result.revision, lease, sent);
                        leader_ = LeaderInfo{member_, peer_address_, lease, result.revision};
                        spdlog::info("won leadership: token {}", result.revision);
                        renew_later(kRenewInterval);
                        events_.leader_changed();
                        events_.won();
                      });
      });
}

void Election::renew_later(milliseconds wait) {
  renew_timer_.expires_after(wait);
  renew_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error && leadership_.leading()) renew();
  });
}

void Election::renew() {
  const auto sent = Clock::now();
  const auto token = leadership_.token();
  store_.extend_lease(leadership_.store_lease(),
                      [this, sent, token, alive = alive_](Outcome outcome) {
                        if (!*alive || leadership_.token() != token) return;
                        if (outcome == Outcome::not_found) return lose("its hold has run out");
                        if (outcome == Outcome::ok) {
                          leadership_.record_proof(sent);
                          last_answer_ = Clock::now();
                        }
                        renew_later(outcome == Outcome::ok ? kRenewInterval : kRenewRetry);
                      });
}

void Election::prove(std::function<void(bool)> done) {
  const auto sent = Clock::now();
  const auto token = leadership_.token();
  store_.get(kKey, Urgency::safety,
             [this, sent, token, done = std::move(done), alive = alive_](GetResult result) {
               if (!*alive) return;
               const bool ours = result.outcome == Outcome::ok && token != 0 &&
                                 result.item.revision == token && leadership_.token() == token;
               if (ours) leadership_.record_proof(sent);
               done(ours);
             });
}

void Election::lose(const std::string& cause) {
  if (!leadership_.leading()) return;
  spdlog::warn("lost leadership: {}", cause);
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

void Election::revoke_lease_of(const std::string& member, Revision led_by) {
  if (led_by == 0 || this->led_by(member) != led_by || member == member_) return;
  spdlog::info("leader {} is gone: ending its hold", member);
  store_.revoke_lease(leader_->lease);
}

}  // namespace violetpulley::store
