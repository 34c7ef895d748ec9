// The state service by its protocol. Requests are paced by this node's share of the limits; safety
// traffic goes first and is never held back by the pace.
#pragma once

#include <array>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "core/dispatch/rate_limiter.hpp"
#include "core/model/types.hpp"
#include "net/http_client.hpp"

namespace violetpulley::store {

using Json = nlohmann::json;
using core::Revision;

// safety: never held back. user: somebody waits for the answer. background: the rest.
enum class Urgency { safety, user, background };

// refused: certainly not executed. unknown: may have been, or may yet be, executed.
enum class Outcome { ok, conflict, not_found, too_old, refused, unknown };

struct Item {
  std::string key;
  Json value;
  Revision revision = 0;
};

struct Change {
  std::string key;
  std::optional<Json> value;  // empty: deleted
  Revision revision = 0;
};

struct Condition {
  std::string key;
  Revision revision = 0;
};

struct Write {
  std::string key;
  std::optional<Json> value;  // empty: delete
  std::optional<std::uint64_t> lease;
};

struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  Outcome outcome = Outcome::unknown;
  Revision revision = 0;
  std::vector<std::string> failed;
};

struct GetResult {
  Outcome outcome = Outcome::unknown;
  Item item;
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Item> items;
  Revision revision = 0;  // of the first page: later changes must be watched from here
};

struct ChangesResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Change> changes;
  Revision revision = 0;
};

struct StoreShare {
  double requests_per_s = 30;
  double writes_per_s = 8;
};

class StoreClient {
 public:
  StoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer, StoreShare share,
              std::uint64_t seed);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void set_share(StoreShare share);

  void get(const std::string& key, Urgency urgency, std::function<void(GetResult)> done);
  void list(const std::string& prefix, Urgency urgency, std::function<void(ListResult)> done);
  void commit(const Transaction& transaction, Urgency urgency,
              std::function<void(TransactionResult)> done);
  void changes(const std::string& prefix, Revision since, std::chrono::milliseconds block,
               Urgency urgency, std::function<void(ChangesResult)> done);
  void create_lease(std::chrono::milliseconds ttl,
                    std::function<void(Outcome, std::uint64_t lease)> done);
  void extend_lease(std::uint64_t lease, std::function<void(Outcome)> done);
  void revoke_lease(std::uint64_t lease);

  // How long a user's write would wait for the pace if it came now: callers shed load on it.
  core::Duration expected_wait();
  // The same for a user's read.
  core::Duration expected_read_wait();
  // Requests have stayed without any answer for longer than one is waited for: a user's request is
  // then given up at once, since what cannot be taken is not held. The background ones go on
  // asking.
  bool silent(core::TimePoint now) const;
  // From one write of this node to the next, at its pace.
  core::Duration write_interval() const {
    return core::to_duration(core::Seconds(1.0 / writes_.rate()));
  }
  // The pace allows, and nobody's request waits: background work may use what is left.
  bool idle() const;

 private:
  struct Work {
    net::Request request;
    std::chrono::milliseconds timeout;
    double writes;
    net::ResponseHandler handler;
    core::TimePoint patience{};  // until then a 429, which is no execution, is tried again
  };
  // Reads must not wait behind writes, whose budget is smaller by far.
  enum Lane { user_writes, user_reads, background, kLanes };
  static Lane lane_of(const Work& work, Urgency urgency) {
    if (urgency != Urgency::user) return background;
    return work.writes > 0 ? user_writes : user_reads;
  }
  core::Duration wait_of(const Work& work, core::TimePoint now);
  void send(Work work, Urgency urgency);
  void launch(Work work, Lane lane);
  void launch_watch(Work work);
  void note(const std::optional<net::Response>& response, core::TimePoint sent);
  void pump();
  void list_page(const std::string& prefix, const std::string& since, Urgency urgency,
                 std::shared_ptr<ListResult> gathered, std::function<void(ListResult)> done);

  asio::io_context& io_;
  asio::steady_timer timer_;
  net::HttpClient client_;
  net::HttpClient watch_client_;
  core::RateLimiter requests_;
  core::RateLimiter writes_;
  std::array<std::deque<Work>, kLanes> lanes_;
  std::mt19937_64 random_;
  core::TimePoint resume_at_{};
  std::chrono::milliseconds back_off_{0};
  std::optional<core::TimePoint> unanswered_since_;  // sending of the first that got no answer
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
