/// @file
/// In-process fake of the state service. It implements the HTTP protocol independently of the
/// store client under test, and owns the stored entries, leases, watches and injected faults.
#pragma once

#include <deque>
#include <map>

#include "support/fake_support.hpp"

namespace violetpulley::fakes {

/// The state service, with faults that a test switches on and off, most of them by endpoint.
class StateService {
 public:
  explicit StateService(asio::io_context& io) : io_(io) { add_endpoint(); }

  /// Adds an endpoint and returns its index. Faults of an endpoint that only one client uses
  /// affect no other client.
  std::size_t add_endpoint() {
    const auto index = endpoints_.size();
    endpoints_.emplace_back().server = std::make_unique<net::HttpServer>(
        io_, any_port(), net::ServerLimits{},
        [this, index](Request&& request, const Responder& respond) {
          receive(index, request, [respond](const net::Response& response) { respond(response); });
        });
    return index;
  }
  std::string address(std::size_t endpoint = 0) const {
    return text_of(endpoints_.at(endpoint).server->local_endpoint());
  }
  /// While `on`, the endpoint answers every request with 503. Changes made meanwhile are not sent
  /// to its open watches; the watches are answered at the next change or when they expire.
  void set_refused(std::size_t endpoint, bool on) { endpoints_.at(endpoint).refused = on; }
  /// While `on`, all endpoints refuse requests. Leases do not expire during the outage and have
  /// their full duration again afterwards.
  void set_outage(bool on) {
    if (outage_ && !on)
      for (auto& [id, lease] : std::map(leases_)) extend_lease(id, lease.ttl);
    outage_ = on;
  }
  /// Requests to the endpoint are executed at once, and their responses are sent after `delay`.
  void set_response_delay(std::size_t endpoint, std::chrono::milliseconds delay) {
    endpoints_.at(endpoint).response_delay = delay;
  }
  /// While `on`, lists are read when they are requested, but their responses are held back until
  /// the fault is switched off.
  void set_lists_stalled(bool on) {
    lists_stalled_ = on;
    if (!on)
      for (auto& send_list : std::exchange(stalled_lists_, {})) send_list();
  }
  std::size_t stalled_list_count() const { return stalled_lists_.size(); }
  /// Responses to requests for changes report a revision that is `lag` too low; 0 ends the fault.
  void set_revision_lag(std::uint64_t lag) { revision_lag_ = lag; }
  /// Transactions sent to the endpoint are executed after `delay` and never answered; 0 ends the
  /// fault.
  void set_execution_delay(std::size_t endpoint, std::chrono::milliseconds delay) {
    endpoints_.at(endpoint).execution_delay = delay;
  }
  std::size_t late_execution_count() const { return late_executions_; }
  /// The member that the leader key names; empty if there is no key.
  std::string leader() const {
    const auto found = entries_.find("leader");
    return found == entries_.end() ? "" : found->second.value.at("member").get<std::string>();
  }

 private:
  using ResponseCallback = std::function<void(const net::Response&)>;
  struct Endpoint {
    std::unique_ptr<net::HttpServer> server;
    bool refused = false;
    std::chrono::milliseconds response_delay{0};
    std::chrono::milliseconds execution_delay{0};
  };
  bool is_refused(std::size_t endpoint) const { return outage_ || endpoints_.at(endpoint).refused; }
  void schedule(std::chrono::milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code&) { action(); });
  }
  void receive(std::size_t endpoint, const Request& request, const ResponseCallback& respond) {
    if (is_refused(endpoint)) return respond({503, R"({"error":"trouble"})", {}});
    const auto& endpoint_state = endpoints_.at(endpoint);
    if (endpoint_state.execution_delay.count() > 0 && request.target == "/txn") {
      schedule(endpoint_state.execution_delay, [this, body = Json::parse(request.body)] {
        transact(body, [](const net::Response&) {});
        ++late_executions_;
      });
      return;
    }
    if (endpoint_state.response_delay.count() == 0) return route(endpoint, request, respond);
    route(endpoint, request,
          [this, delay = endpoint_state.response_delay, respond](const net::Response& response) {
            schedule(delay, [respond, response] { respond(response); });
          });
  }

  struct Entry {
    Json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Watch {
    std::size_t endpoint;
    std::string prefix;
    std::uint64_t since;
    ResponseCallback respond;
    std::shared_ptr<asio::steady_timer> timer;
  };

  void route(std::size_t endpoint, const Request& request, const ResponseCallback& respond) {
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/txn") return transact(Json::parse(request.body), respond);
    if (path == "/changes") return start_watch(endpoint, request.target, respond);
    if (path == "/store") return list(request.target, respond);
    if (path.starts_with("/store/")) {
      const auto found = entries_.find(path.substr(7));
      if (found == entries_.end()) return respond({404, Json{{"ledger", revision_}}.dump(), {}});
      return respond(
          {200,
           Json{{"k", found->first}, {"v", found->second.value}, {"stamp", found->second.revision}}
               .dump(),
           {}});
    }
    if (path == "/holds") {
      const auto lease = ++last_lease_;
      extend_lease(lease,
                   std::chrono::milliseconds(Json::parse(request.body).at("ttl_ms").get<int>()));
      return respond({200, Json{{"tenure", lease}}.dump(), {}});
    }
    const auto lease = std::stoull(path.substr(7));
    if (!leases_.contains(lease)) return respond({404, "{}", {}});
    if (request.method == "DELETE")
      end_lease(lease);
    else
      extend_lease(lease, leases_.at(lease).ttl);
    respond({200, "{}", {}});
  }

  void extend_lease(std::uint64_t lease, std::chrono::milliseconds ttl) {
    auto timer = std::make_shared<asio::steady_timer>(io_, ttl);
    timer->async_wait([this, lease](const asio::error_code& error) {
      if (!error && !outage_) end_lease(lease);
    });
    leases_[lease] = {ttl, timer};
  }

  void end_lease(std::uint64_t lease) {
    leases_.erase(lease);
    ++revision_;
    for (auto entry = entries_.begin(); entry != entries_.end();)
      if (entry->second.lease == lease) {
        changes_.push_back({{"delete", entry->first}, {"stamp", revision_}});
        entry = entries_.erase(entry);
      } else {
        ++entry;
      }
    notify_watches();
  }

  void transact(const Json& body, const ResponseCallback& respond) {
    Json failed = Json::array();
    for (const auto& condition : body.at("if")) {
      const auto found = entries_.find(condition.at("k").get<std::string>());
      const std::uint64_t revision = found == entries_.end() ? 0 : found->second.revision;
      if (revision != condition.at("stamp").get<std::uint64_t>())
        failed.push_back(condition.at("k"));
    }
    if (!failed.empty())
      return respond({409, Json{{"failed", failed}, {"ledger", revision_}}.dump(), {}});
    for (const auto& write : body.at("then"))
      if (write.contains("tenure") && !leases_.contains(write.at("tenure").get<std::uint64_t>()))
        return respond({400, R"({"error":"no such lease"})", {}});
    ++revision_;
    for (const auto& write : body.at("then")) {
      if (write.contains("delete")) {
        entries_.erase(write.at("delete").get<std::string>());
        changes_.push_back({{"delete", write.at("delete")}, {"stamp", revision_}});
      } else {
        const auto key = write.at("write").get<std::string>();
        entries_[key] = {write.at("v"), revision_, write.value("tenure", std::uint64_t{0})};
        changes_.push_back({{"write", key}, {"v", write.at("v")}, {"stamp", revision_}});
      }
    }
    respond({200, Json{{"ledger", revision_}}.dump(), {}});
    notify_watches();
  }

  void list(const std::string& target, const ResponseCallback& respond) {
    Json rows = Json::array();
    for (const auto& [key, entry] : entries_)
      if (key.starts_with(query_parameter(target, "prefix")) &&
          key > query_parameter(target, "since"))
        rows.push_back({{"k", key}, {"v", entry.value}, {"stamp", entry.revision}});
    const net::Response response{
        200, Json{{"rows", rows}, {"truncated", false}, {"ledger", revision_}}.dump(), {}};
    if (!lists_stalled_) return respond(response);
    stalled_lists_.push_back([respond, response] { respond(response); });
  }

  /// Responds with the changes after `since`. Returns false without a response if there are none,
  /// unless `even_if_empty`.
  bool send_changes(const std::string& prefix, std::uint64_t since, bool even_if_empty,
                    const ResponseCallback& respond) {
    Json changes = Json::array();
    for (const auto& change : changes_) {
      const auto key = change.value(change.contains("write") ? "write" : "delete", std::string());
      if (change.at("stamp").get<std::uint64_t>() > since && key.starts_with(prefix))
        changes.push_back(change);
    }
    if (changes.empty() && !even_if_empty) return false;
    respond({200, Json{{"ledger", revision_ - revision_lag_}, {"news", changes}}.dump(), {}});
    return true;
  }

  void start_watch(std::size_t endpoint, const std::string& target,
                   const ResponseCallback& respond) {
    const auto prefix = query_parameter(target, "prefix");
    const auto since = std::stoull(query_parameter(target, "since"));
    const std::chrono::milliseconds max_wait(std::stoul(query_parameter(target, "block_ms")));
    if (send_changes(prefix, since, max_wait.count() == 0, respond)) return;
    auto timer = std::make_shared<asio::steady_timer>(io_, max_wait);
    await_expiry(endpoint, prefix, since, respond, timer);
    watches_.push_back({endpoint, prefix, since, respond, timer});
  }
  /// Answers the watch when its maximum wait is over, even without changes. While its endpoint
  /// refuses requests, the answer is delayed until the endpoint accepts them again.
  void await_expiry(std::size_t endpoint, const std::string& prefix, std::uint64_t since,
                    const ResponseCallback& respond,
                    const std::shared_ptr<asio::steady_timer>& timer) {
    timer->async_wait([=, this](const asio::error_code& error) {
      if (error) return;
      if (!is_refused(endpoint)) return void(send_changes(prefix, since, true, respond));
      timer->expires_after(std::chrono::milliseconds(100));
      await_expiry(endpoint, prefix, since, respond, timer);
    });
  }

  // Sends new changes to the open watches. Watches of an endpoint that refuses requests get no
  // response, not even when the refusal ends, but only at the next change or when they expire.
  void notify_watches() {
    std::erase_if(watches_, [&](const Watch& watch) {
      if (watch.timer->expiry() < std::chrono::steady_clock::now()) return true;
      if (is_refused(watch.endpoint) ||
          !send_changes(watch.prefix, watch.since, false, watch.respond))
        return false;
      watch.timer->cancel();
      return true;
    });
  }

  struct Lease {
    std::chrono::milliseconds ttl;
    std::shared_ptr<asio::steady_timer> timer;
  };
  asio::io_context& io_;
  std::map<std::string, Entry> entries_;
  std::vector<Json> changes_;
  std::vector<Watch> watches_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_ = 0;
  std::uint64_t revision_lag_ = 0;
  std::size_t late_executions_ = 0;
  bool outage_ = false;
  bool lists_stalled_ = false;
  std::vector<std::function<void()>> stalled_lists_;
  std::deque<Endpoint> endpoints_;
};

}  // namespace violetpulley::fakes
