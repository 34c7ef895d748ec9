// In-process stand-ins for the outside systems, written from their protocols: the state service,
// the cloud and one worker per rented machine.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace violetpulley::standins {

using Json = nlohmann::json;
using net::Request;
using net::Responder;

inline asio::ip::tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }

using net::text_of;

// Runs until it has come. The bound, which no working program meets, makes a failure of a hang.
inline void run_until(asio::io_context& io, const std::function<bool()>& done) {
  const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done()) {
    ASSERT_LT(std::chrono::steady_clock::now(), bound) << "what is waited for does not come";
    io.run_one_for(std::chrono::milliseconds(100));
  }
}

inline std::string query(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

class StateService {
 public:
  explicit StateService(asio::io_context& io) : io_(io) { add_door(); }

  // Each caller may come by a door of its own, and be refused or answered late there alone.
  std::size_t add_door() {
    const auto door = doors_.size();
    auto& made = doors_.emplace_back();
    made.server = std::make_unique<net::HttpServer>(
        io_, any_port(), net::ServerLimits{},
        [this, door](Request&& request, const Responder& respond) {
          come(door, request, [respond](const net::Response& response) { respond(response); });
        });
    return door;
  }
  std::string address(std::size_t door = 0) const {
    return text_of(doors_.at(door).server->local_endpoint());
  }
  // 503 to every request that comes here; open watches wait silently, and for some time after.
  void refuse(std::size_t door, bool on) { doors_.at(door).refused = on; }
  // The same for all. Holds do not run out, and have their full time afterwards.
  void outage(bool on) {
    if (outage_ && !on)
      for (auto& [lease, kept] : std::map(holds_)) extend(lease, kept.ttl);
    outage_ = on;
  }
  // Executed when they come, answered so much later.
  void answer_late(std::size_t door, std::chrono::milliseconds by) { doors_.at(door).late = by; }
  // Lists are read when they come, and answered when told.
  void keep_lists(bool on) {
    keeps_lists_ = on;
    if (!on)
      for (auto& answer : std::exchange(kept_lists_, {})) answer();
  }
  std::size_t lists_kept() const { return kept_lists_.size(); }
  // From here on it tells a revision that is too small by so much.
  void go_backward(std::uint64_t by) { backward_ = by; }
  // Transactions are executed so much later, and never answered; 0: as usual.
  void execute_late(std::size_t door, std::chrono::milliseconds by) { doors_.at(door).held = by; }
  std::size_t executed_late() const { return executed_late_; }

 private:
  using Answer = std::function<void(const net::Response&)>;
  struct Door {
    std::unique_ptr<net::HttpServer> server;
    bool refused = false;
    std::chrono::milliseconds late{0};
    std::chrono::milliseconds held{0};
  };
  bool refuses(std::size_t door) const { return outage_ || doors_.at(door).refused; }
  void after(std::chrono::milliseconds wait, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([timer, what = std::move(what)](const asio::error_code&) { what(); });
  }
  void come(std::size_t door, const Request& request, const Answer& respond) {
    if (refuses(door)) return respond({503, R"({"error":"trouble"})", {}});
    const auto& at = doors_.at(door);
    if (at.held.count() > 0 && request.target == "/txn") {
      after(at.held, [this, body = Json::parse(request.body)] {
        transact(body, [](const net::Response&) {});
        ++executed_late_;
      });
      return;
    }
    if (at.late.count() == 0) return route(door, request, respond);
    route(door, request, [this, late = at.late, respond](const net::Response& response) {
      after(late, [respond, response] { respond(response); });
    });
  }

  struct Entry {
    Json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Watch {
    std::size_t door;
    std::string prefix;
    std::uint64_t since;
    Answer respond;
    std::shared_ptr<asio::steady_timer> timer;
  };

  void route(std::size_t door, const Request& request, const Answer& respond) {
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/txn") return transact(Json::parse(request.body), respond);
    if (path == "/changes") return watch(door, request.target, respond);
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
      const auto lease = ++last_hold_;
      extend(lease, std::chrono::milliseconds(Json::parse(request.body).at("ttl_ms").get<int>()));
      return respond({200, Json{{"tenure", lease}}.dump(), {}});
    }
    const auto lease = std::stoull(path.substr(7));
    if (!holds_.contains(lease)) return respond({404, "{}", {}});
    if (request.method == "DELETE")
      end(lease);
    else
      extend(lease, holds_.at(lease).ttl);
    respond({200, "{}", {}});
  }

  void extend(std::uint64_t lease, std::chrono::milliseconds ttl) {
    auto timer = std::make_shared<asio::steady_timer>(io_, ttl);
    timer->async_wait([this, lease](const asio::error_code& error) {
      if (!error && !outage_) end(lease);
    });
    holds_[lease] = {ttl, timer};
  }

  void end(std::uint64_t lease) {
    holds_.erase(lease);
    ++revision_;
    for (auto entry = entries_.begin(); entry != entries_.end();)
      if (entry->second.lease == lease) {
        changes_.push_back({{"delete", entry->first}, {"stamp", revision_}});
        entry = entries_.erase(entry);
      } else {
        ++entry;
      }
    wake();
  }

  void transact(const Json& body, const Answer& respond) {
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
      if (write.contains("tenure") && !holds_.contains(write.at("tenure").get<std::uint64_t>()))
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
    wake();
  }

  void list(const std::string& target, const Answer& respond) {
    Json rows = Json::array();
    for (const auto& [key, entry] : entries_)
      if (key.starts_with(query(target, "prefix")) && key > query(target, "since"))
        rows.push_back({{"k", key}, {"v", entry.value}, {"stamp", entry.revision}});
    const net::Response answer{
        200, Json{{"rows", rows}, {"truncated", false}, {"ledger", revision_}}.dump(), {}};
    if (!keeps_lists_) return respond(answer);
    kept_lists_.push_back([respond, answer] { respond(answer); });
  }

  bool answer(const std::string& prefix, std::uint64_t since, bool now, const Answer& respond) {
    Json changes = Json::array();
    for (const auto& change : changes_) {
      const auto key = change.value(change.contains("write") ? "write" : "delete", std::string());
      if (change.at("stamp").get<std::uint64_t>() > since && key.starts_with(prefix))
        changes.push_back(change);
    }
    if (changes.empty() && !now) return false;
    respond({200, Json{{"ledger", revision_ - backward_}, {"news", changes}}.dump(), {}});
    return true;
  }

  void watch(std::size_t door, const std::string& target, const Answer& respond) {
    const auto prefix = query(target, "prefix");
    const auto since = std::stoull(query(target, "since"));
    const std::chrono::milliseconds block(std::stoul(query(target, "block_ms")));
    if (answer(prefix, since, block.count() == 0, respond)) return;
    auto timer = std::make_shared<asio::steady_timer>(io_, block);
    expire(door, prefix, since, respond, timer);
    watches_.push_back({door, prefix, since, respond, timer});
  }
  void expire(std::size_t door, const std::string& prefix, std::uint64_t since,
              const Answer& respond, const std::shared_ptr<asio::steady_timer>& timer) {
    timer->async_wait([=, this](const asio::error_code& error) {
      if (error) return;
      if (!refuses(door)) return void(answer(prefix, since, true, respond));
      timer->expires_after(std::chrono::milliseconds(100));
      expire(door, prefix, since, respond, timer);
    });
  }

  // A change that comes while a watch is refused does not wake it, and nothing does when the
  // refusal ends: it stays silent until the next change or its time is over.
  void wake() {
    std::erase_if(watches_, [&](const Watch& watch) {
      if (watch.timer->expiry() < std::chrono::steady_clock::now()) return true;
      if (refuses(watch.door) || !answer(watch.prefix, watch.since, false, watch.respond))
        return false;
      watch.timer->cancel();
      return true;
    });
  }

  struct Hold {
    std::chrono::milliseconds ttl;
    std::shared_ptr<asio::steady_timer> timer;
  };
  asio::io_context& io_;
  std::map<std::string, Entry> entries_;
  std::vector<Json> changes_;
  std::vector<Watch> watches_;
  std::map<std::uint64_t, Hold> holds_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_hold_ = 0;
  std::uint64_t backward_ = 0;
  std::size_t executed_late_ = 0;
  bool outage_ = false;
  bool keeps_lists_ = false;
  std::vector<std::function<void()>> kept_lists_;
  std::deque<Door> doors_;
};

// One machine's worker: reports, obeys, and runs every task for a moment.
class Worker {
 public:
  Worker(asio::io_context& io, std::string id, std::map<std::string, std::string> nodes)
      : io_(io),
        id_(std::move(id)),
        nodes_(std::move(nodes)),
        node_(nodes_.begin()->first),
        timer_(io),
        server_(io, any_port(), {}, [this](Request&& request, const Responder& respond) {
          batch(Json::parse(request.body), respond);
        }) {
    heartbeat();
  }

  std::size_t starts() const { return starts_; }

 private:
  struct Task {
    std::string state = "fetching";
    std::string cause;
    std::chrono::steady_clock::time_point ends{};
  };

  Json state() {
    const auto now = std::chrono::steady_clock::now();
    Json tasks = Json::array();
    for (auto& [key, task] : tasks_) {
      if (task.state != "exited" && now >= task.ends) {
        task.state = "exited";
        task.cause = "done";
      }
      Json entry{{"cut", key.first}, {"try", key.second}, {"status", task.state}};
      if (!task.cause.empty()) entry["cause"] = task.cause;
      tasks.push_back(entry);
    }
    return {{"rig", id_},           {"endpoint", text_of(server_.local_endpoint())},
            {"bench", "small"},     {"district", "z1"},
            {"loaners", false},     {"shift", 1},
            {"tally", ++sequence_}, {"baton", token_},
            {"recall_s", nullptr},  {"cuts", tasks}};
  }

  void execute(const Json& commands) {
    for (const auto& command : commands) {
      const std::pair key{command.at("cut").get<std::string>(),
                          command.at("try").get<std::uint64_t>()};
      const auto type = command.at("verb").get<std::string>();
      if (type == "start" && !tasks_.contains(key)) {
        ++starts_;
        tasks_[key] = {
            "running", "",
            std::chrono::steady_clock::now() +
                std::chrono::milliseconds(key.first.starts_with("req-9") ? 600'000 : 100)};
      } else if (type == "kill" && tasks_.contains(key) && tasks_[key].state != "exited") {
        tasks_[key].state = "exited";
        tasks_[key].cause = "halted";
      } else if (type == "reap") {
        tasks_.erase(key);
      }
    }
  }

  void batch(const Json& body, const Responder& respond) {
    const bool obey = body.at("baton").get<std::uint64_t>() >= token_ && body.at("shift") == 1;
    if (obey) {
      token_ = body.at("baton").get<std::uint64_t>();
      execute(body.at("orders"));
    }
    respond({obey ? 200 : 409, state().dump(), {}});
  }

  void heartbeat() {
    client_ = std::make_unique<net::HttpClient>(io_, net::parse_endpoint(nodes_.at(node_)), 1);
    client_->request({"POST", "/agent/beat", state().dump()}, std::chrono::seconds(2),
                     [this](const std::optional<net::Response>& response) {
                       if (response && response->status == 200) {
                         const auto body = Json::parse(response->body);
                         if (body.at("baton").get<std::uint64_t>() >= token_) {
                           token_ = body.at("baton").get<std::uint64_t>();
                           execute(body.at("orders"));
                         }
                       } else {
                         next_node(response);
                       }
                       timer_.expires_after(std::chrono::milliseconds(100));
                       timer_.async_wait([this](const asio::error_code& error) {
                         if (!error) heartbeat();
                       });
                     });
  }

  void next_node(const std::optional<net::Response>& response) {
    if (response && response->status == 421) {
      const auto body = Json::parse(response->body);
      const auto named = body.value("foreman", std::string());
      if (nodes_.contains(named) && named != node_) {
        node_ = named;
        return;
      }
    }
    auto next = std::next(nodes_.find(node_));
    node_ = next == nodes_.end() ? nodes_.begin()->first : next->first;
  }

  asio::io_context& io_;
  std::string id_;
  std::map<std::string, std::string> nodes_;
  std::string node_;
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  std::size_t starts_ = 0;
  asio::steady_timer timer_;
  net::HttpServer server_;
  std::unique_ptr<net::HttpClient> client_;
};

class Cloud {
 public:
  Cloud(asio::io_context& io, std::map<std::string, std::string> nodes)
      : io_(io),
        nodes_(std::move(nodes)),
        server_(io, any_port(), {},
                [this](Request&& request, const Responder& respond) { route(request, respond); }) {}

  std::string address() const { return text_of(server_.local_endpoint()); }
  void set_nodes(std::map<std::string, std::string> nodes) { nodes_ = std::move(nodes); }
  std::size_t starts() const {
    std::size_t total = returned_starts_;
    for (const auto& [id, worker] : workers_) total += worker->starts();
    return total;
  }

 private:
  void route(const Request& request, const Responder& respond) {
    if (request.target == "/catalog")
      return respond({200,
                      R"({"benches":[{"label":"small","cores":8,"gpus":0,"memory_gb":32,
                          "local_gb":20,"fetch_gb_per_s":1.0,"rate":1.0,"spot_price":null,
                          "ready_s":1,"districts":["z1"]}]})",
                      {}});
    if (request.target == "/rentals" && request.method == "POST") {
      const auto body = Json::parse(request.body);
      Json ids = Json::array();
      for (int i = 0; i < body.at("number").get<int>() && workers_.size() < 6; ++i) {
        const auto id = "m-" + std::to_string(100000 + ++counter_);
        workers_[id] = std::make_unique<Worker>(io_, id, nodes_);
        ids.push_back(id);
      }
      if (ids.empty()) return respond({503, R"({"error":"no capacity"})", {}});
      return respond({200, Json{{"rigs", ids}}.dump(), {}});
    }
    if (request.target == "/rentals/release") {
      for (const auto& id : Json::parse(request.body).at("rigs")) {
        const auto found = workers_.find(id.get<std::string>());
        if (found == workers_.end()) continue;
        returned_starts_ += found->second->starts();
        // The worker may be what is answering right now: it ends a moment later.
        asio::post(io_, [old = std::shared_ptr<Worker>(std::move(found->second))] {});
        workers_.erase(found);
      }
      return respond({200, "{}", {}});
    }
    respond({200, R"({"rigs":[],"truncated":false})", {}});
  }

  asio::io_context& io_;
  std::map<std::string, std::string> nodes_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::size_t returned_starts_ = 0;
  int counter_ = 0;
  net::HttpServer server_;
};

}  // namespace violetpulley::standins
