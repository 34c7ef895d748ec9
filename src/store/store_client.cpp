#include "store/store_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeout{1500};

Outcome outcome_of(const std::optional<net::Response>& response) {
  if (!response) return Outcome::unknown;
  switch (response->status) {
    case 200:
      return Outcome::ok;
    case 404:
      return Outcome::not_found;
    case 409:
      return Outcome::conflict;
    case 410:
      return Outcome::too_old;
    default:
      return Outcome::refused;
  }
}

// A nonsense answer counts as no answer.
template <typename Read>
Outcome read_body(const net::Response& response, Read read) {
  try {
    const auto body = Json::parse(response.body);
    read(body);
    return outcome_of(response);
  } catch (const std::exception& problem) {
    spdlog::warn("state service sent nonsense, taken as no answer: {}", problem.what());
    return Outcome::unknown;
  }
}

}  // namespace

StoreClient::StoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                         StoreShare share, std::uint64_t seed)
    : io_(io),
      timer_(io),
      client_(io, peer, 16),
      watch_client_(io, peer, 6),
      requests_(share.requests_per_s, share.requests_per_s),
      writes_(share.writes_per_s, share.writes_per_s),
      random_(seed) {}

StoreClient::~StoreClient() { *alive_ = false; }

void StoreClient::set_share(StoreShare share) {
  requests_.set_rate(share.requests_per_s, share.requests_per_s);
  writes_.set_rate(share.writes_per_s, share.writes_per_s);
}

void StoreClient::send(Work work, Urgency urgency) {
  const auto now = Clock::now();
  if (urgency == Urgency::user && silent(now)) {
    asio::post(io_, [done = std::move(work.handler), alive = alive_] {
      if (*alive) done(std::nullopt);
    });
    return;
  }
  work.patience = now + work.timeout / 2;
  const auto lane = lane_of(work, urgency);
  if (urgency == Urgency::safety) {
    requests_.force(now);
    writes_.force(now, work.writes);
    return launch(std::move(work), lane);
  }
  lanes_[lane].push_back(std::move(work));
  pump();
}

bool StoreClient::silent(core::TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kTimeout;
}

void StoreClient::note(const std::optional<net::Response>& response, core::TimePoint sent) {
  if (response)
    unanswered_since_.reset();
  else if (!unanswered_since_)
    unanswered_since_ = sent;
  if (response && response->status == 429) {
    back_off_ = std::clamp(back_off_ * 2, milliseconds(50), milliseconds(1000));
    std::uniform_int_distribution<long> jitter(back_off_.count() / 2, back_off_.count());
    resume_at_ = Clock::now() + milliseconds(jitter(random_));
    spdlog::debug("state service: 429, backing off {} ms", back_off_.count());
  } else if (response) {
    back_off_ = milliseconds(0);
  }
}

void StoreClient::launch(Work work, Lane lane) {
  auto request = work.request;
  const auto timeout = work.timeout;
  client_.request(std::move(request), timeout,
                  [this, lane, alive = alive_, sent = Clock::now(),
                   work = std::move(work)](std::optional<net::Response> response) mutable {
                    if (!*alive) return;
                    note(response, sent);
                    if (response && response->status == 429 && Clock::now() < work.patience) {
                      lanes_[lane].push_front(std::move(work));
                      return pump();
                    }
                    const auto done = std::move(work.handler);
                    done(std::move(response));
                  });
}

void StoreClient::launch_watch(Work work) {
  const auto now = Clock::now();
  requests_.force(now);
  watch_client_.request(std::move(work.request), work.timeout,
                        [this, alive = alive_, now,
                         done = std::move(work.handler)](std::optional<net::Response> response) {
                          if (!*alive) return;
                          // One that waits for changes may stay open through an outage, and tells
                          // nothing by that.
                          if (response) note(response, now);
                          done(std::move(response));
                        });
}

core::Duration StoreClient::wait_of(const Work& work, core::TimePoint now) {
  auto wait = std::max(requests_.wait_for(now), resume_at_ - now);
  if (work.writes > 0) wait = std::max(wait, writes_.wait_for(now, work.writes));
  return wait;
}

core::Duration StoreClient::expected_wait() {
  double writes = 1;
  for (const auto& work : lanes_[user_writes]) writes += work.writes;
  const auto now = Clock::now();
  return std::max(resume_at_ - now, writes_.wait_until(now, writes));
}

core::Duration StoreClient::expected_read_wait() {
  const auto now = Clock::now();
  const auto ahead = static_cast<double>(lanes_[user_reads].size()) + 1;
  return std::max(resume_at_ - now, requests_.wait_until(now, ahead));
}

bool StoreClient::idle() const {
  return std::all_of(lanes_.begin(), lanes_.end(), [](const auto& lane) { return lane.empty(); });
}

void StoreClient::pump() {
  timer_.cancel();
  auto least = core::Duration::max();
  for (auto& lane : lanes_)
    while (!lane.empty()) {
      const auto now = Clock::now();
      const auto wait = wait_of(lane.front(), now);
      if (wait > core::Duration::zero()) {
        least = std::min(least, wait);
        break;
      }
      requests_.force(now);
      writes_.force(now, lane.front().writes);
      auto work = std::move(lane.front());
      lane.pop_front();
      launch(std::move(work), static_cast<Lane>(&lane - lanes_.data()));
    }
  if (least == core::Duration::max()) return;
  timer_.expires_after(least);
  timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) pump();
  });
}

void StoreClient::get(const std::string& key, Urgency urgency,
                      std::function<void(GetResult)> done) {
  send({{"GET", "/store/" + key, ""},
        kTimeout,
        0,
        [done = std::move(done)](std::optional<net::Response> response) {
          GetResult result;
          result.outcome = outcome_of(response);
          if (result.outcome == Outcome::ok)
            result.outcome = read_body(*response, [&](const Json& body) {
              result.item = {body.at("k").get<std::string>(), body.at("v"),
                             body.at("stamp").get<Revision>()};
            });
          done(std::move(result));
        }},
       urgency);
}

void StoreClient::list(const std::string& prefix, Urgency urgency,
                       std::function<void(ListResult)> done) {
  list_page(prefix, "", urgency, std::make_shared<ListResult>(), std::move(done));
}

void StoreClient::list_page(const std::string& prefix, const std::string& since, Urgency urgency,
                            std::shared_ptr<ListResult> gathered,
                            std::function<void(ListResult)> done) {
  std::string target = "/store?prefix=" + prefix;
  if (!since.empty()) target += "&since=" + since;
  target += "&page=1000";
  send({{"GET", target, ""},
        kTimeout,
        0,
        [=, this, alive = alive_](std::optional<net::Response> response) {
          auto outcome = outcome_of(response);
          bool more = false;
          if (outcome == Outcome::ok)
            outcome = read_body(*response, [&](const Json& body) {
              if (gathered->revision == 0) gathered->revision = body.at("ledger").get<Revision>();
              for (const auto& row : body.at("rows"))
                gathered->items.push_back(
                    {row.at("k").get<std::string>(), row.at("v"), row.at("stamp").get<Revision>()});
              more = body.value("truncated", false) && !body.at("rows").empty();
            });
          gathered->outcome = outcome;
          if (outcome == Outcome::ok && more && *alive)
            return list_page(prefix, gathered->items.back().key, urgency, gathered, done);
          done(std::move(*gathered));
        }},
       urgency);
}

void StoreClient::commit(const Transaction& transaction, Urgency urgency,
                         std::function<void(TransactionResult)> done) {
  Json conditions = Json::array();
  for (const auto& condition : transaction.conditions)
    conditions.push_back({{"k", condition.key}, {"stamp", condition.revision}});
  Json writes = Json::array();
  for (const auto& write : transaction.writes) {
    if (!write.value) {
      writes.push_back({{"delete", write.key}});
      continue;
    }
    Json put{{"write", write.key}, {"v", *write.value}};
    if (write.lease) put["tenure"] = *write.lease;
    writes.push_back(std::move(put));
  }
  const Json body{{"if", std::move(conditions)}, {"then", std::move(writes)}};
  send({{"POST", "/txn", body.dump()},
        kTimeout,
        static_cast<double>(transaction.writes.size()),
        [done = std::move(done)](std::optional<net::Response> response) {
          TransactionResult result;
          result.outcome = outcome_of(response);
          if (result.outcome == Outcome::ok || result.outcome == Outcome::conflict)
            result.outcome = read_body(*response, [&](const Json& answer) {
              result.revision = answer.at("ledger").get<Revision>();
              if (answer.contains("failed"))
                result.failed = answer.at("failed").get<std::vector<std::string>>();
            });
          else if (result.outcome != Outcome::unknown)
            result.outcome = Outcome::refused;
          done(std::move(result));
        }},
       urgency);
}

void StoreClient::changes(const std::string& prefix, Revision since, milliseconds block,
                          Urgency urgency, std::function<void(ChangesResult)> done) {
  Work work{{"GET",
             "/changes?prefix=" + prefix + "&since=" + std::to_string(since) +
                 "&block_ms=" + std::to_string(block.count()),
             ""},
            block + kTimeout,
            0,
            [done = std::move(done)](std::optional<net::Response> response) {
              ChangesResult result;
              result.outcome = outcome_of(response);
              if (result.outcome == Outcome::ok)
                result.outcome = read_body(*response, [&](const Json& body) {
                  result.revision = body.at("ledger").get<Revision>();
                  for (const auto& event : body.at("news")) {
                    Change change;
                    change.revision = event.at("stamp").get<Revision>();
                    if (event.contains("write")) {
                      change.key = event.at("write").get<std::string>();
                      change.value = event.at("v");
                    } else {
                      change.key = event.at("delete").get<std::string>();
                    }
                    result.changes.push_back(std::move(change));
                  }
                });
              done(std::move(result));
            }};
  if (block > milliseconds(0)) return launch_watch(std::move(work));
  send(std::move(work), urgency);
}

void StoreClient::create_lease(milliseconds ttl, std::function<void(Outcome, std::uint64_t)> done) {
  send({{"POST", "/holds", Json{{"ttl_ms", ttl.count()}}.dump()},
        kTimeout,
        0,
        [done = std::move(done)](std::optional<net::Response> response) {
          auto outcome = outcome_of(response);
          std::uint64_t lease = 0;
          if (outcome == Outcome::ok)
            outcome = read_body(*response, [&](const Json& body) {
              lease = body.at("tenure").get<std::uint64_t>();
            });
          done(outcome, lease);
        }},
       Urgency::safety);
}

void StoreClient::extend_lease(std::uint64_t lease, std::function<void(Outcome)> done) {
  send({{"POST", "/holds/" + std::to_string(lease) + "/extend", "{}"},
        milliseconds(1000),
        0,
        [done = std::move(done)](std::optional<net::Response> response) {
          done(outcome_of(response));
        }},
       Urgency::safety);
}

void StoreClient::revoke_lease(std::uint64_t lease) {
  send({{"DELETE", "/holds/" + std::to_string(lease), ""},
        kTimeout,
        0,
        [](std::optional<net::Response>) {}},
       Urgency::safety);
}

}  // namespace violetpulley::store
