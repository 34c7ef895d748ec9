/// @file
/// A small deployment on loopback: state service, cloud, workers and platform as the users' pages
/// describe them. The project's controllers run as separate processes. Everything else runs in this
/// process, on one thread. Each controller has its own address of the state service and of the
/// cloud, so that a fault can be limited to one controller and each call has a known sender.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

extern char** environ;

namespace review {

using Json = nlohmann::json;
using violetpulley::net::HttpClient;
using violetpulley::net::HttpServer;
using violetpulley::net::Request;
using violetpulley::net::Responder;
using violetpulley::net::Response;
using violetpulley::net::ServerLimits;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline double seconds_of(Clock::duration d) { return std::chrono::duration<double>(d).count(); }
inline Millis millis_of(double seconds) { return Millis(static_cast<long>(seconds * 1000)); }

/// Sizes of the site. The values are those of `vinsamlag` in the brief, unless a case sets others.
struct Numbers {
  int nodes = 3;
  std::vector<std::string> zones{"sudurnes"};
  double report_s = 3, lease_s = 24, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 54;
  double state_rps = 150, state_write_rps = 30, value_kb = 16;
  int txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 10;
  double mem_mb = 136;
  int max_sockets = 2500;
  double restart_s = 6;
  Json teams = Json::array({{{"name", "sameign"}}});  // name, cpus, cpus_max
};

class Record {
 public:
  explicit Record(const std::string& path) : out_(fopen(path.c_str(), "w")), start_(Clock::now()) {}
  double now() const { return seconds_of(Clock::now() - start_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    va_list args;
    va_start(args, format);
    fprintf(out_, "%8.3f ", now());
    vfprintf(out_, format, args);
    fputc('\n', out_);
    fflush(out_);
    va_end(args);
  }

 private:
  FILE* out_;
  Clock::time_point start_;
};

class Timers {
 public:
  explicit Timers(asio::io_context& io) : io_(io) {}
  void after(double seconds, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io_, millis_of(seconds));
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
      if (!error) action();
    });
  }

 private:
  asio::io_context& io_;
};

/// Rate limit with a burst of `burst_s` seconds' worth.
class Rate {
 public:
  Rate(double per_s, double burst_s) : per_s_(per_s), most_(per_s * burst_s), left_(most_) {}
  bool take(double count) {
    const auto now = Clock::now();
    left_ = std::min(most_, left_ + seconds_of(now - last_) * per_s_);
    last_ = now;
    if (left_ < count) return false;
    left_ -= count;
    return true;
  }

 private:
  double per_s_, most_, left_;
  Clock::time_point last_ = Clock::now();
};

inline std::string parameter(const std::string& target, const std::string& name) {
  for (const char* lead : {"?", "&"}) {
    const auto at = target.find(lead + name + "=");
    if (at == std::string::npos) continue;
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  return "";
}

inline asio::ip::tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }

/// The state service (PROTOCOL, "Controller nodes -> state service").
class StateService {
 public:
  using Reply = std::function<void(Response)>;
  StateService(asio::io_context& io, const Numbers& numbers, Record& record)
      : io_(io),
        timers_(io),
        numbers_(numbers),
        record_(record),
        requests_(numbers.state_rps, 1),
        writes_(numbers.state_write_rps, 1) {}

  void add_node(const std::string& node) {
    servers_[node] = std::make_unique<HttpServer>(
        io_, any_port(), ServerLimits{}, [this, node](Request&& request, Responder respond) {
          receive(node, request, [respond](Response r) { respond(std::move(r)); });
        });
  }
  std::string address(const std::string& node) const {
    return violetpulley::net::text_of(servers_.at(node)->local_endpoint());
  }
  /// While on, this node alone gets 503; its open watches wait.
  void refuse(const std::string& node, bool on) {
    record_.line("state service: %s is %s", node.c_str(), on ? "refused (503)" : "served again");
    if (on)
      refused_.insert(node);
    else
      refused_.erase(node);
  }
  void outage(bool on) {
    record_.line("state service: outage %s", on ? "begins" : "ends");
    if (outage_ && !on)
      for (auto& [id, lease] : leases_) arm(id);
    outage_ = on;
  }
  /// Transactions of this node that `holds_back` selects are carried out, and their answers lost.
  std::function<bool(const std::string& node, const Json& body)> lose_answer;
  /// Delay of the answers to a node's requests.
  std::function<double(const std::string& node, const Request& request)> answer_delay;

  std::string leader() const {
    const auto found = entries_.find("leader");
    return found == entries_.end() ? "" : found->second.value.value("member", "");
  }
  const Json* value(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second.value;
  }
  std::uint64_t refused_429 = 0;

 private:
  struct Entry {
    Json value;
    std::uint64_t stamp = 0, lease = 0;
  };
  struct Lease {
    Millis ttl{};
    std::uint64_t armed = 0;
  };
  struct Watch {
    std::string node, prefix;
    std::uint64_t since;
    Reply reply;
    bool open = true;
  };

  bool refused(const std::string& node) const { return outage_ || refused_.contains(node); }

  void receive(const std::string& node, const Request& request, Reply reply) {
    if (refused(node)) return reply({503, R"({"error":"trouble"})", {}});
    if (!requests_.take(1)) return ++refused_429, reply({429, R"({"error":"rate"})", {}});
    const double delay = answer_delay ? answer_delay(node, request) : 0;
    if (delay > 0) {
      reply = [this, delay, reply](Response r) { timers_.after(delay, [reply, r] { reply(r); }); };
    }
    route(node, request, reply);
  }

  void route(const std::string& node, const Request& request, const Reply& reply) {
    const auto path = request.target.substr(0, request.target.find('?'));
    const Response malformed{400, R"({"error":"malformed"})", {}};
    const auto body = Json::parse(request.body, nullptr, false);
    if (path == "/txn" && request.method == "POST") {
      if (!body.is_object()) return reply(malformed);
      return transact(node, request.body.size(), body, reply);
    }
    if (path == "/changes") return watch(node, request.target, reply);
    if (path == "/store") return list(request.target, reply);
    if (path.starts_with("/store/")) {
      const auto found = entries_.find(path.substr(7));
      if (found == entries_.end()) return reply({404, Json{{"ledger", ledger_}}.dump(), {}});
      Json out{{"k", found->first}, {"v", found->second.value}, {"stamp", found->second.stamp}};
      if (found->second.lease != 0) out["tenure"] = found->second.lease;
      return reply({200, out.dump(), {}});
    }
    if (path == "/holds" && request.method == "POST") {
      if (!body.is_object()) return reply(malformed);
      const auto id = ++last_lease_;
      leases_[id].ttl = Millis(body.value("ttl_ms", 1000));
      arm(id);
      return reply({200, Json{{"tenure", id}}.dump(), {}});
    }
    if (path.starts_with("/holds/")) {
      const auto id = std::strtoull(path.c_str() + 7, nullptr, 10);
      if (!leases_.contains(id)) return reply({404, "{}", {}});
      if (request.method == "DELETE")
        end_lease(id);
      else
        arm(id);
      return reply({200, Json{{"tenure", id}}.dump(), {}});
    }
    reply({404, "{}", {}});
  }

  void arm(std::uint64_t id) {
    auto& lease = leases_.at(id);
    const auto armed = ++lease.armed;
    timers_.after(seconds_of(lease.ttl) + 0.01, [this, id, armed] {
      const auto found = leases_.find(id);
      if (found != leases_.end() && found->second.armed == armed && !outage_) end_lease(id);
    });
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.lease == id) keys.push_back(key);
    if (keys.empty()) return;
    ++ledger_;
    for (const auto& key : keys) remove(key);
    notify();
  }
  void remove(const std::string& key) {
    if (entries_.erase(key) == 0) return;
    log({{"delete", key}, {"stamp", ledger_}}, key);
  }
  void log(Json change, const std::string& key) {
    if (key == "leader") record_.line("state service: leader key %s", change.dump().c_str());
    changes_.push_back({ledger_, key, std::move(change)});
    if (changes_.size() > 10'000) {
      forgotten_ = changes_.front().stamp;
      changes_.pop_front();
    }
  }

  void transact(const std::string& node, std::size_t size, const Json& body, const Reply& reply) {
    const auto conditions = body.value("if", Json::array());
    const auto writes = body.value("then", Json::array());
    if (!writes_.take(static_cast<double>(writes.size())))
      return ++refused_429, reply({429, R"({"error":"rate"})", {}});
    const auto ops = static_cast<std::size_t>(numbers_.txn_ops);
    bool too_large = size > 64 * 1024 || writes.size() > ops || conditions.size() > ops * 4;
    for (const auto& write : writes)
      if (write.contains("v"))
        too_large = too_large || write.at("v").dump().size() > numbers_.value_kb * 1024;
    if (too_large) return reply({400, R"({"error":"too large"})", {}});
    Json failed = Json::array();
    for (const auto& condition : conditions) {
      const auto found = entries_.find(condition.at("k").get<std::string>());
      const std::uint64_t stamp = found == entries_.end() ? 0 : found->second.stamp;
      if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition.at("k"));
    }
    for (const auto& write : writes)
      if (write.contains("tenure") && !leases_.contains(write.at("tenure").get<std::uint64_t>()))
        return reply({400, R"({"error":"no such lease"})", {}});
    const bool lost = lose_answer && lose_answer(node, body);
    if (!failed.empty()) {
      if (!lost) reply({409, Json{{"failed", failed}, {"ledger", ledger_}}.dump(), {}});
      return;
    }
    if (!writes.empty()) ++ledger_;
    for (const auto& write : writes) {
      if (write.contains("delete")) {
        remove(write.at("delete").get<std::string>());
        continue;
      }
      const auto key = write.at("write").get<std::string>();
      entries_[key] = {write.at("v"), ledger_, write.value("tenure", std::uint64_t{0})};
      log({{"write", key}, {"v", write.at("v")}, {"stamp", ledger_}}, key);
    }
    if (!lost) reply({200, Json{{"ledger", ledger_}}.dump(), {}});
    if (!writes.empty()) notify();
  }

  void list(const std::string& target, const Reply& reply) {
    const auto prefix = parameter(target, "prefix");
    const auto since = parameter(target, "since");
    const auto page = parameter(target, "page");
    const std::size_t most = std::min<std::size_t>(1000, page.empty() ? 1000 : std::stoul(page));
    std::string rows;
    std::size_t count = 0;
    bool truncated = false;
    for (auto entry = entries_.lower_bound(std::max(prefix, since));
         entry != entries_.end() && entry->first.starts_with(prefix); ++entry) {
      if (entry->first == since) continue;
      const auto row =
          Json{{"k", entry->first}, {"v", entry->second.value}, {"stamp", entry->second.stamp}}
              .dump();
      if (count == most || rows.size() + row.size() > 500 * 1024) {
        truncated = true;
        break;
      }
      rows += (count++ > 0 ? "," : "") + row;
    }
    reply({200,
           R"({"rows":[)" + rows + R"(],"truncated":)" + (truncated ? "true" : "false") +
               R"(,"ledger":)" + std::to_string(ledger_) + "}",
           {}});
  }

  std::optional<Response> news(const std::string& prefix, std::uint64_t since, bool even_empty) {
    if (since < forgotten_) return Response{410, R"({"error":"too old"})", {}};
    Json found = Json::array();
    auto first = std::upper_bound(
        changes_.begin(), changes_.end(), since,
        [](std::uint64_t stamp, const Change& change) { return stamp < change.stamp; });
    for (; first != changes_.end(); ++first)
      if (first->key.starts_with(prefix)) found.push_back(first->body);
    if (found.empty() && !even_empty) return std::nullopt;
    return Response{200, Json{{"ledger", ledger_}, {"news", found}}.dump(), {}};
  }
  void watch(const std::string& node, const std::string& target, const Reply& reply) {
    const auto prefix = parameter(target, "prefix");
    const auto since = std::stoull(parameter(target, "since"));
    const auto block = parameter(target, "block_ms");
    const long wait = block.empty() ? 0 : std::stol(block);
    if (auto response = news(prefix, since, wait == 0)) return reply(*response);
    auto open = std::make_shared<Watch>(Watch{node, prefix, since, reply});
    watches_.push_back(open);
    timers_.after(static_cast<double>(wait) / 1000, [this, open] { expire(open); });
  }
  void expire(const std::shared_ptr<Watch>& open) {
    if (!open->open) return;
    if (refused(open->node)) return timers_.after(0.1, [this, open] { expire(open); });
    open->open = false;
    open->reply(*news(open->prefix, open->since, true));
  }
  void notify() {
    auto watches = std::exchange(watches_, {});
    for (const auto& open : watches) {
      if (!open->open) continue;
      if (!refused(open->node))
        if (auto response = news(open->prefix, open->since, false)) {
          open->open = false;
          open->reply(*response);
          continue;
        }
      watches_.push_back(open);
    }
  }

  struct Change {
    std::uint64_t stamp;
    std::string key;
    Json body;
  };
  asio::io_context& io_;
  Timers timers_;
  const Numbers& numbers_;
  Record& record_;
  Rate requests_, writes_;
  std::map<std::string, std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::set<std::string> refused_;
  std::uint64_t ledger_ = 0, forgotten_ = 0, last_lease_ = 0;
  bool outage_ = false;
};

/// Sizes of `cadastro-aberto` in the brief.
inline Numbers cadastro() {
  Numbers n;
  n.zones = {"acores", "madeira", "norte", "sul"};
  n.lease_s = 27;
  n.gang_wait_s = 35;
  n.cancel_s = 47;
  n.state_rps = 100;
  n.state_write_rps = 25;
  n.txn_ops = 12;
  n.cloud_rps = 10;
  n.max_sockets = 3000;
  n.restart_s = 3;
  n.teams = {{{"name", "rustica"}, {"cpus", 56.0}, {"cpus_max", 144.0}},
             {{"name", "urbana"}, {"cpus", 120.0}, {"cpus_max", 288.0}},
             {{"name", "geodesia"}, {"cpus", 144.0}, {"cpus_max", 288.0}},
             {{"name", "balcao"}, {"cpus", 80.0}, {"cpus_max", 144.0}}};
  return n;
}

/// Sizes of `cadastro-aberto-grown` (kit, next/LATER.md).
inline Numbers cadastro_grown() {
  auto n = cadastro();
  n.nodes = 5;
  n.report_s = 5;
  n.teams = {{{"name", "rustica"}, {"cpus", 2500.0}, {"cpus_max", 6000.0}},
             {{"name", "urbana"}, {"cpus", 5000.0}, {"cpus_max", 12000.0}},
             {{"name", "geodesia"}, {"cpus", 6000.0}, {"cpus_max", 12000.0}},
             {{"name", "balcao"}, {"cpus", 3500.0}, {"cpus_max", 6000.0}}};
  return n;
}

/// What a worker must know of a job; users upload it.
struct JobFacts {
  Json body;
  double run_s = 10;    // true run time of each task
  bool broken = false;  // fails on every machine
};
using JobTable = std::map<std::string, JobFacts>;

struct MachineType {
  std::string label;
  double cores, memory_gb, rate, spot, ready_s, fetch_gb_per_s, local_gb;
  std::vector<std::string> zones;
};

/// One worker (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"). Arrays
/// and services only; checkpoints are not modelled, so no job of a case has any.
class Worker {
 public:
  struct Events {
    std::function<void(const std::string&machine, const std::string&task, std::uint64_t attempt)>
        started, ended;
  };
  Worker(asio::io_context& io, std::string id, const MachineType& type, std::string zone, bool spot,
         const std::map<std::string, std::string>& nodes, const Numbers& numbers,
         const JobTable& jobs, Record& record, Events events)
      : io_(io),
        timers_(io),
        id_(std::move(id)),
        type_(type),
        zone_(std::move(zone)),
        spot_(spot),
        nodes_(nodes),
        numbers_(numbers),
        jobs_(jobs),
        record_(record),
        events_(std::move(events)),
        random_(std::hash<std::string>{}(id_)),
        lease_from_(Clock::now()),
        server_(io, any_port(), ServerLimits{}, [this](Request&& request, Responder respond) {
          if (!cut_from_commands) direct(request, respond);
        }) {
    node_ = std::next(nodes_.begin(), static_cast<long>(random_() % nodes_.size()))->first;
    report_after(0.05);
    watch_lease();
  }
  ~Worker() {
    for (const auto& [key, task] : tasks_)
      if (on_machine(task)) events_.ended(id_, key.first, key.second);
  }

  struct Task {
    std::string state, cause;
    Clock::time_point ends{};
    std::uint64_t serial = 0;
  };
  const std::map<std::pair<std::string, std::uint64_t>, Task>& tasks() const { return tasks_; }
  static bool on_machine(const Task& task) {
    return task.state == "running" || task.state == "flushing" || task.state == "waiting";
  }
  bool runs(const std::string& task) const {
    return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
      return entry.first.first == task && on_machine(entry.second);
    });
  }
  bool cut_from_commands = false;
  bool cut_from_nodes = false;
  bool sick = false;  // fails every task that it starts
  std::size_t largest_report = 0;
  std::uint64_t leases_lost = 0;
  const std::string& id() const { return id_; }
  const std::string& node() const { return node_; }
  const std::string& type() const { return type_.label; }

 private:
  Json report() {
    Json cuts = Json::array();
    for (const auto& [key, task] : tasks_) {
      Json item{{"cut", key.first}, {"try", key.second}, {"status", task.state}};
      if (!task.cause.empty()) item["cause"] = task.cause;
      cuts.push_back(std::move(item));
    }
    return {
        {"rig", id_},           {"endpoint", violetpulley::net::text_of(server_.local_endpoint())},
        {"bench", type_.label}, {"district", zone_},
        {"loaners", spot_},     {"shift", shift_},
        {"tally", ++tally_},    {"baton", baton_},
        {"recall_s", nullptr},  {"cuts", std::move(cuts)}};
  }

  void report_after(double seconds) {
    const auto serial = ++report_serial_;
    timers_.after(seconds, [this, serial, alive = std::weak_ptr<int>(alive_)] {
      if (alive.lock() && serial == report_serial_ && !reporting_) send_report();
    });
  }
  void changed() {
    if (reporting_) {
      report_soon_ = true;
      return;
    }
    const auto since = seconds_of(Clock::now() - last_report_);
    report_after(std::max(0.0, 0.5 - since));
  }
  double interval() {
    return numbers_.report_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
  }

  void send_report() {
    reporting_ = true;
    report_soon_ = false;
    const auto sent = last_report_ = Clock::now();
    const auto shift = shift_;
    auto body = report().dump();
    largest_report = std::max(largest_report, body.size());
    if (cut_from_nodes)  // the report is lost
      return timers_.after(4.0, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.lock()) return;
        reporting_ = false;
        next_node();
        report_after(1.0);
      });
    if (!client_ || client_node_ != node_) {
      client_ =
          std::make_unique<HttpClient>(io_, violetpulley::net::parse_endpoint(nodes_.at(node_)), 1);
      client_node_ = node_;
    }
    client_->request({"POST", "/agent/beat", std::move(body)}, Millis(4000),
                     [this, sent, shift](const std::optional<Response>& response) {
                       answered(response, sent, shift);
                     });
  }

  void answered(const std::optional<Response>& response, Clock::time_point sent,
                std::uint64_t shift) {
    reporting_ = false;
    const int status = response ? response->status : 0;
    if (status != last_status_)
      record_.line("worker %s: report answered by %s with %d", id_.c_str(), node_.c_str(), status);
    last_status_ = status;
    if (status == 200) {
      const auto body = Json::parse(response->body, nullptr, false);
      if (body.is_object() && body.value("baton", std::uint64_t{0}) >= baton_ && shift == shift_ &&
          body.contains("baton")) {
        see(body.at("baton").get<std::uint64_t>());
        lease_from_ = sent;
        execute(body.value("orders", Json::array()));
      }
      if (report_soon_) return changed();
      return report_after(interval());
    }
    if (status == 421) {
      const auto body = Json::parse(response->body, nullptr, false);
      const auto leader = body.is_object() ? body.value("foreman", std::string()) : std::string();
      if (nodes_.contains(leader) && leader != node_) {
        node_ = leader;
        return report_after(std::uniform_real_distribution<double>(0, 0.5)(random_));
      }
    }
    next_node();
    report_after(1.0);
  }
  void next_node() {
    auto next = std::next(nodes_.find(node_));
    node_ = next == nodes_.end() ? nodes_.begin()->first : next->first;
  }

  void see(std::uint64_t baton) {
    if (baton > baton_ && seconds_of(Clock::now() - higher_seen_) > numbers_.lease_s / 2) {
      higher_seen_ = Clock::now();
      if (baton_ != 0) report_soon_ = true;
    }
    baton_ = std::max(baton_, baton);
  }

  void direct(const Request& request, const Responder& respond) {
    if (request.target == "/inspect") return respond({200, report().dump(), {}});
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("baton") || !body.contains("shift"))
      return respond({400, "{}", {}});
    const bool valid = body.at("baton").get<std::uint64_t>() >= baton_ &&
                       body.at("shift").get<std::uint64_t>() == shift_;
    if (valid) {
      see(body.at("baton").get<std::uint64_t>());
      execute(body.value("orders", Json::array()));
    }
    respond({valid ? 200 : 409, report().dump(), {}});
  }

  void execute(const Json& orders) {
    for (const auto& order : orders) {
      const std::pair key{order.at("cut").get<std::string>(), order.at("try").get<std::uint64_t>()};
      const auto verb = order.at("verb").get<std::string>();
      if (verb == "start")
        start(key);
      else if (verb == "kill")
        kill(key);
      else if (verb == "reap")
        reap(key);
    }
  }
  void start(const std::pair<std::string, std::uint64_t>& key) {
    if (tasks_.contains(key)) return;
    auto& task = tasks_[key];
    task.serial = ++serial_;
    changed();
    const auto slash = key.first.rfind('/');
    const auto job = jobs_.find(key.first.substr(0, slash));
    if (job == jobs_.end()) return exit(key, "no_such");
    for (const auto& [other, state] : tasks_)
      if (other.first == key.first && other.second != key.second && state.state != "exited")
        return exit(key, "in_use");
    double cores = job->second.body.at("cores").get<double>();
    double memory = job->second.body.at("memory_gb").get<double>();
    for (const auto& [other, state] : tasks_) {
      if (other == key || state.state == "exited") continue;
      const auto& body = jobs_.at(other.first.substr(0, other.first.rfind('/'))).body;
      cores += body.at("cores").get<double>();
      memory += body.at("memory_gb").get<double>();
    }
    if (cores > type_.cores + 1e-6 || memory > type_.memory_gb + 1e-6) return exit(key, "no_room");
    task.state = "fetching";
    const auto image = job->second.body.at("casket").get<std::string>();
    double wait = 0.02;
    if (!images_.contains(image))
      wait = std::max(wait, job->second.body.at("image_gb").get<double>() / type_.fetch_gb_per_s);
    later(key, task.serial, wait, [this, key, image, job_id = job->first] {
      images_.insert(image);
      auto& begun = tasks_.at(key);
      begun.state = "running";
      events_.started(id_, key.first, key.second);
      changed();
      const auto& facts = jobs_.at(job_id);
      if (facts.body.at("shape") == "service" && !sick) return;
      const bool finished = done_.contains(key.first);
      const bool fails = facts.broken || sick;
      later(key, begun.serial,
            finished ? 0.01
            : fails  ? 2.0
                     : facts.run_s,
            [this, key, fails] {
              if (!fails) done_.insert(key.first);
              exit(key, fails ? "error" : "done");
            });
    });
  }
  void later(const std::pair<std::string, std::uint64_t>& key, std::uint64_t serial, double seconds,
             std::function<void()> action) {
    timers_.after(seconds, [this, key, serial, action, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.lock()) return;
      const auto found = tasks_.find(key);
      if (found != tasks_.end() && found->second.serial == serial &&
          found->second.state != "exited")
        action();
    });
  }
  void exit(const std::pair<std::string, std::uint64_t>& key, const char* cause) {
    auto& task = tasks_.at(key);
    if (on_machine(task)) events_.ended(id_, key.first, key.second);
    task.state = "exited";
    task.cause = cause;
    changed();
  }
  void kill(const std::pair<std::string, std::uint64_t>& key) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || found->second.state == "exited") return;
    exit(key, "halted");
  }
  void reap(const std::pair<std::string, std::uint64_t>& key) {
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || found->second.state != "exited") return;
    tasks_.erase(found);
    changed();
  }

  void watch_lease() {
    timers_.after(0.1, [this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.lock()) return;
      if (seconds_of(Clock::now() - lease_from_) > numbers_.lease_s) end_session();
      watch_lease();
    });
  }
  void end_session() {
    ++leases_lost;
    record_.line("worker %s: lease over, %zu tasks killed and forgotten", id_.c_str(),
                 tasks_.size());
    for (const auto& [key, task] : tasks_)
      if (on_machine(task)) events_.ended(id_, key.first, key.second);
    tasks_.clear();
    ++shift_;
    tally_ = 0;
    lease_from_ = Clock::now();
    changed();
  }

  asio::io_context& io_;
  Timers timers_;
  std::string id_;
  const MachineType& type_;
  std::string zone_;
  bool spot_;
  const std::map<std::string, std::string>& nodes_;
  const Numbers& numbers_;
  const JobTable& jobs_;
  Record& record_;
  Events events_;
  std::mt19937_64 random_;
  std::string node_, client_node_;
  std::unique_ptr<HttpClient> client_;
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
  std::set<std::string> images_, done_;
  std::uint64_t baton_ = 0, shift_ = 1, tally_ = 0, serial_ = 0, report_serial_ = 0;
  int last_status_ = -1;
  bool reporting_ = false, report_soon_ = false;
  Clock::time_point lease_from_, last_report_{}, higher_seen_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  HttpServer server_;
};

/// The cloud (PROTOCOL, "Controller nodes -> cloud").
class Cloud {
 public:
  struct Machine {
    MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    Clock::time_point rented;
    std::unique_ptr<Worker> worker;
    std::optional<Clock::time_point> gone;
    std::string rented_by;
  };
  Cloud(asio::io_context& io, const Numbers& numbers, Record& record)
      : io_(io), timers_(io), numbers_(numbers), record_(record), calls_(numbers.cloud_rps, 2) {}

  /// Offers `bancada` in the zones of cadastro-aberto instead.
  void offer_bancada(const std::vector<std::string>& zones) {
    types = {{"bancada", 16, 128, 1.1, 0.39, 30, 0.12, 60, zones}};
    capacity = {{"bancada", 28}};
  }
  std::vector<MachineType> types{{"kjallari", 8, 16, 0.38, 0.12, 4, 0.6, 40, {"sudurnes"}},
                                 {"tunna", 64, 512, 3.72, 1.15, 4, 0.3, 40, {"sudurnes"}}};
  std::map<std::string, int> capacity{{"kjallari", 8}, {"tunna", 4}};
  std::function<std::unique_ptr<Worker>(const std::string& id, Machine& machine)> boot;
  /// Called before machines are deleted.
  std::function<void(const std::string& node, const std::vector<std::string>& machines)> releasing;
  bool outage = false;
  std::map<std::string, Machine> machines;

  void add_node(const std::string& node) {
    servers_[node] = std::make_unique<HttpServer>(
        io_, any_port(), ServerLimits{}, [this, node](Request&& request, Responder respond) {
          timers_.after(0.05, [this, node, request = std::move(request), respond] {
            receive(node, request, respond);
          });
        });
  }
  std::string address(const std::string& node) const {
    return violetpulley::net::text_of(servers_.at(node)->local_endpoint());
  }
  std::string rent(const std::string& label, const std::string& zone, bool spot, double ready_s,
                   const std::string& node) {
    const auto id = "m-" + std::to_string(1000000 + ++last_).substr(1);
    auto& machine = machines[id];
    machine.type = &type_of(label);
    machine.zone = zone;
    machine.spot = spot;
    machine.rented = Clock::now();
    machine.rented_by = node;
    timers_.after(ready_s, [this, id] {
      auto& booted = machines.at(id);
      if (booted.gone) return;
      booted.worker = boot(id, booted);
      record_.line("cloud: machine %s (%s) is up", id.c_str(), booted.type->label.c_str());
    });
    return id;
  }

 private:
  MachineType& type_of(const std::string& label) {
    return *std::find_if(types.begin(), types.end(),
                         [&](const MachineType& type) { return type.label == label; });
  }
  int rented(const std::string& label) const {
    return static_cast<int>(std::count_if(machines.begin(), machines.end(), [&](const auto& entry) {
      return !entry.second.gone && entry.second.type->label == label;
    }));
  }

  void receive(const std::string& node, const Request& request, const Responder& respond) {
    if (outage) return respond({503, R"({"error":"trouble"})", {}});
    if (!calls_.take(1)) return respond({429, R"({"error":"rate"})", {}});
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/catalog") return catalog(respond);
    if (path == "/rentals" && request.method == "GET") return list(request.target, respond);
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return respond({400, "{}", {}});
    if (path == "/rentals") return hire(node, body, respond);
    if (path == "/rentals/release") return release(node, body, respond);
    respond({404, "{}", {}});
  }
  void catalog(const Responder& respond) {
    Json benches = Json::array();
    for (const auto& type : types)
      benches.push_back({{"label", type.label},
                         {"cores", type.cores},
                         {"gpus", 0},
                         {"memory_gb", type.memory_gb},
                         {"local_gb", type.local_gb},
                         {"fetch_gb_per_s", type.fetch_gb_per_s},
                         {"rate", type.rate},
                         {"spot_price", type.spot},
                         {"ready_s", type.ready_s},
                         {"districts", type.zones}});
    respond({200, Json{{"benches", benches}}.dump(), {}});
  }
  void hire(const std::string& node, const Json& body, const Responder& respond) {
    const auto name = body.at("hire").get<std::string>();
    const auto label = body.at("bench").get<std::string>();
    if (answers_.contains(name)) return respond({200, answers_.at(name).dump(), {}});
    Json rigs = Json::array();
    const int number = std::min(50, body.at("number").get<int>());
    while (static_cast<int>(rigs.size()) < number && rented(label) < capacity[label])
      rigs.push_back(rent(label, body.at("district").get<std::string>(),
                          body.at("loaners").get<bool>(), type_of(label).ready_s, node));
    record_.line("cloud: %s rents %d %s: got %s", node.c_str(), number, label.c_str(),
                 rigs.dump().c_str());
    if (rigs.empty()) return respond({503, R"({"error":"no capacity"})", {}});
    answers_[name] = {{"rigs", rigs}};
    respond({200, answers_[name].dump(), {}});
  }
  void release(const std::string& node, const Json& body, const Responder& respond) {
    std::vector<std::string> names;
    for (const auto& rig : body.at("rigs")) names.push_back(rig.get<std::string>());
    if (releasing) releasing(node, names);
    for (const auto& name : names) {
      const auto found = machines.find(name);
      if (found == machines.end() || found->second.gone) continue;
      record_.line("cloud: %s returns %s", node.c_str(), name.c_str());
      found->second.gone = Clock::now();
      auto worker = std::shared_ptr<Worker>(std::move(found->second.worker));
      asio::post(io_, [worker] {});
    }
    respond({200, "{}", {}});
  }
  void list(const std::string& target, const Responder& respond) {
    const auto since = parameter(target, "since");
    const auto seen_at = Clock::now() - millis_of(numbers_.list_lag_s);
    Json rigs = Json::array();
    bool truncated = false;
    for (const auto& [id, machine] : machines) {
      if (id <= since || machine.rented > seen_at) continue;
      if (machine.gone && *machine.gone <= seen_at) continue;
      if (rigs.size() == 500) {
        truncated = true;
        break;
      }
      const auto age = seconds_of(seen_at - machine.rented);
      const bool up = machine.worker && age >= machine.type->ready_s;
      rigs.push_back({{"id", id},
                      {"endpoint", ""},
                      {"bench", machine.type->label},
                      {"district", machine.zone},
                      {"loaners", machine.spot},
                      {"status", up ? "running" : "booting"},
                      {"held_s", age}});
    }
    respond({200, Json{{"rigs", rigs}, {"truncated", truncated}}.dump(), {}});
  }

  asio::io_context& io_;
  Timers timers_;
  const Numbers& numbers_;
  Record& record_;
  Rate calls_;
  std::map<std::string, std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, Json> answers_;
  int last_ = 0;
};

/// The whole deployment. A case derives from it or uses it, and ends with `exit(verdict)`.
class Site {
 public:
  explicit Site(const Numbers& n)
      : numbers(n),
        record(path_of("REVIEW_RECORD", "record.txt")),
        timers(io),
        state(io, numbers, record),
        cloud(io, numbers, record) {
    const char* trouble_text = getenv("TROUBLE");
    trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    record.line("%s", trouble ? "run with the disruption" : "run without the disruption");
    folder_ = std::filesystem::temp_directory_path() /
              ("violetpulley-review-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < numbers.nodes; ++i) names.push_back("trissa-" + std::to_string(i));
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> held;
    const auto port = [&] {
      held.push_back(free_port());
      return violetpulley::net::text_of(held.back()->local_endpoint());
    };
    for (const auto& name : names) {
      nodes[name] = port();
      mesh_[name] = port();
      state.add_node(name);
      cloud.add_node(name);
    }
    cloud.boot = [this](const std::string& id, Cloud::Machine& machine) {
      return std::make_unique<Worker>(io, id, *machine.type, machine.zone, machine.spot, nodes,
                                      numbers, jobs, record, worker_events());
    };
  }
  ~Site() {
    for (const auto& [name, pid] : pids_) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    if (getenv("REVIEW_KEEP") == nullptr) std::filesystem::remove_all(folder_, ignored);
  }

  void start_all() {
    for (const auto& name : names) start(name);
  }
  void start(const std::string& name) {
    const auto file = folder_ / (name + ".toml");
    std::ofstream(file) << settings(name);
    const auto log = folder_ / (name + ".log");
    // The run command of deploy/service.toml, from the root of the repository.
    std::vector<std::string> arguments{"target/violetpulley", "--history", "deploy/history.yaml",
                                       "--config", file.string()};
    std::vector<char*> argv;
    for (auto& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    setenv("LOG_LEVEL", "info", 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    pid_t pid = 0;
    if (posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ) != 0) {
      record.line("cannot start %s", argv[0]);
      finish(2);
    }
    posix_spawn_file_actions_destroy(&actions);
    pids_[name] = pid;
    record.line("platform: %s started, process %d", name.c_str(), pid);
  }
  void signal(const std::string& name, int number) {
    record.line("platform: signal %d to %s", number, name.c_str());
    if (pids_.contains(name)) ::kill(pids_.at(name), number);
  }
  void kill(const std::string& name) {
    if (!pids_.contains(name)) return;
    record.line("platform: %s is killed", name.c_str());
    ::kill(pids_.at(name), SIGCONT);
    ::kill(pids_.at(name), SIGKILL);
    waitpid(pids_.at(name), nullptr, 0);
    pids_.erase(name);
  }
  bool runs(const std::string& name) const { return pids_.contains(name); }
  /// Collects processes that ended by themselves.
  std::vector<std::string> ended_by_themselves() {
    std::vector<std::string> ended;
    for (const auto& [name, pid] : pids_) {
      int status = 0;
      if (waitpid(pid, &status, WNOHANG) != pid) continue;
      record.line("platform: %s ended by itself, wait status %d", name.c_str(), status);
      ended.push_back(name);
    }
    for (const auto& name : ended) pids_.erase(name);
    return ended;
  }
  /// Memory that the process holds, in MB (PROTOCOL's 136 MB: DEPLOY, "Memory").
  double memory_mb(const std::string& name) const {
    if (!pids_.contains(name)) return 0;
    std::ifstream file("/proc/" + std::to_string(pids_.at(name)) + "/statm");
    long size = 0, resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }

  std::string settings(const std::string& name) const {
    std::string text = "member = \"" + name + "\"\nsite = \"" + numbers.zones.front() +
                       "\"\npublic_addr = \"" + nodes.at(name) + "\"\nmesh_addr = \"" +
                       mesh_.at(name) + "\"\n";
    for (const auto& other : names)
      if (other != name)
        text += "[[siblings]]\nmember = \"" + other + "\"\nsite = \"" + numbers.zones.front() +
                "\"\npeer_addr = \"" + mesh_.at(other) + "\"\n";
    text += "[services]\ncloud = \"" + cloud.address(name) + "\"\nstate = \"" +
            state.address(name) + "\"\n[settings]\nnodes = " + std::to_string(numbers.nodes) +
            "\nzones = " + Json(numbers.zones).dump() + "\nskew_ms = 5.0\n";
    for (const auto& team : numbers.teams)
      text += "[[settings.teams]]\nname = " + team.at("name").dump() +
              "\ncpus = " + decimal(team.value("cpus", 0.0)) +
              "\ncpus_max = " + decimal(team.value("cpus_max", 0.0)) +
              "\ngpus = 0.0\ngpus_max = 0.0\n";
    text += "[settings.workers]\nreport_s = " + decimal(numbers.report_s) +
            "\nlease_s = " + decimal(numbers.lease_s) +
            "\ngang_wait_s = " + decimal(numbers.gang_wait_s) +
            "\ngang_peer_s = " + decimal(numbers.gang_peer_s) +
            "\ncancel_s = " + decimal(numbers.cancel_s) +
            "\n[settings.state]\nrps = " + decimal(numbers.state_rps) +
            "\nwrite_rps = " + decimal(numbers.state_write_rps) +
            "\nvalue_kb = " + decimal(numbers.value_kb) +
            "\ntxn_ops = " + std::to_string(numbers.txn_ops) +
            "\n[settings.cloud]\nrps = " + decimal(numbers.cloud_rps) +
            "\nlist_lag_s = " + decimal(numbers.list_lag_s) +
            "\n[settings.limits]\ncpu_share = 0.12\nmem_mb = " + decimal(numbers.mem_mb) +
            "\nmax_sockets = " + std::to_string(numbers.max_sockets) + "\n";
    return text;
  }

  // Users.
  static Json job(const std::string& id, int tasks, double cores, double memory_gb,
                  double expect_s) {
    return {{"id", id},
            {"lot", "tollur"},
            {"owner", "sameign"},
            {"shape", "array"},
            {"urgency", "high"},
            {"cuts", tasks},
            {"cores", cores},
            {"gpus", 0.0},
            {"memory_gb", memory_gb},
            {"casket", "img-1"},
            {"image_gb", 0.3},
            {"benches", nullptr},
            {"district", nullptr},
            {"same_place", false},
            {"spread", false},
            {"loaners", false},
            {"expect_s", expect_s},
            {"mark_s", 0.0},
            {"stow_s", 0.0},
            {"due_s", nullptr}};
  }
  using Done = std::function<void(int status, const Json& body)>;
  void ask(const std::string& node, const std::string& method, const std::string& target,
           const std::string& body, double timeout_s, Done done) {
    auto client = std::make_shared<std::unique_ptr<HttpClient>>(
        std::make_unique<HttpClient>(io, violetpulley::net::parse_endpoint(nodes.at(node)), 1));
    (*client)->request({method, target, body}, millis_of(timeout_s),
                       [this, client, done](const std::optional<Response>& response) {
                         // Destroyed after this callback.
                         asio::post(io, [client] { client->reset(); });
                         const auto json =
                             response ? Json::parse(response->body, nullptr, false) : Json();
                         done(response ? response->status : 0, json);
                       });
  }
  /// Submits at the node, or at the next one after a failure, until accepted.
  void submit(const Json& job, double run_s, std::string node, Done done = {}) {
    const auto id = job.at("id").get<std::string>();
    jobs[id].body = job;
    jobs[id].run_s = run_s;
    ask(node, "POST", "/v1/jobs", job.dump(), 5, [=, this](int status, const Json& body) {
      record.line("user: POST /v1/jobs %s at %s: %d %s", id.c_str(), node.c_str(), status,
                  body.dump().c_str());
      if (status == 201 || status == 200 || status == 400 || status == 422) {
        if (status < 300) accepted.insert(id);
        if (done) done(status, body);
        return;
      }
      timers.after(1, [=, this] { submit(job, run_s, next(node), done); });
    });
  }
  void poll(const std::string& id, const std::string& node, Done done) {
    ask(node, "GET", "/v1/jobs/" + id, "", 2, [=, this](int status, const Json& body) {
      record.line("user: GET /v1/jobs/%s at %s: %d %s", id.c_str(), node.c_str(), status,
                  body.dump().c_str());
      done(status, body);
    });
  }
  void cancel(const std::string& id, const std::string& node, Done done = {}) {
    ask(node, "POST", "/v1/jobs/" + id + "/withdraw", "", 5, [=, this](int status, const Json& b) {
      record.line("user: POST /v1/jobs/%s/withdraw at %s: %d %s", id.c_str(), node.c_str(), status,
                  b.dump().c_str());
      if (status == 200 && done) return done(status, b);
      if (status != 200) timers.after(1, [=, this] { cancel(id, next(node), done); });
    });
  }
  std::string next(const std::string& node) const {
    auto found = std::find(names.begin(), names.end(), node);
    return ++found == names.end() ? names.front() : *found;
  }
  /// A running controller other than this one.
  std::string other(const std::string& node) const { return next(node); }

  /// Calls `then` once the condition holds; ends the case with 2 if that takes too long.
  void when(const char* what, double within_s, std::function<bool()> condition,
            std::function<void()> then) {
    const auto until = Clock::now() + millis_of(within_s);
    auto check = std::make_shared<std::function<void()>>();
    *check = [=, this] {
      if (condition()) {
        record.line("case: %s", what);
        return then();
      }
      if (Clock::now() > until) {
        record.line("case: not reached within %.0f s: %s", within_s, what);
        return finish(2);
      }
      timers.after(0.05, *check);
    };
    (*check)();
  }
  /// Machines on which the task is now.
  std::vector<std::string> places_of(const std::string& task) const {
    std::vector<std::string> places;
    for (const auto& [id, machine] : cloud.machines)
      if (machine.worker && machine.worker->runs(task)) places.push_back(id);
    return places;
  }
  std::size_t tasks_on_machines() const {
    std::size_t count = 0;
    for (const auto& [id, machine] : cloud.machines)
      if (machine.worker)
        for (const auto& [key, task] : machine.worker->tasks())
          if (Worker::on_machine(task)) ++count;
    return count;
  }

  [[noreturn]] void finish(int verdict) {
    record.line("verdict: %d (%s)", verdict,
                verdict == 0   ? "the rule held"
                : verdict == 1 ? "the rule was broken"
                               : "the case could not run");
    printf("verdict %d\n", verdict);
    fflush(stdout);
    this->~Site();
    _exit(verdict);
  }
  int run(double limit_s = 115) {
    timers.after(limit_s, [this] {
      record.line("case: out of time");
      finish(2);
    });
    io.run();
    finish(2);
  }

  Numbers numbers;
  bool trouble = true;
  Record record;
  asio::io_context io;
  Timers timers;
  JobTable jobs;
  std::map<std::string, std::string> nodes;
  std::vector<std::string> names;
  std::set<std::string> accepted;
  StateService state;
  Cloud cloud;
  std::function<void(const std::string&machine, const std::string&task, std::uint64_t attempt)>
      task_started, task_ended;
  std::uint64_t starts = 0;

 private:
  static std::string path_of(const char* variable, const char* otherwise) {
    const char* path = getenv(variable);
    return path == nullptr ? otherwise : path;
  }
  static std::string decimal(double value) {
    char text[64];
    snprintf(text, sizeof text, "%.3f", value);
    return text;
  }
  // Ports below those that the system gives to connections.
  std::unique_ptr<asio::ip::tcp::acceptor> free_port() {
    for (;;) {
      const auto port = next_port_++;
      if (next_port_ > 31'000) next_port_ = 10'000;
      try {
        return std::make_unique<asio::ip::tcp::acceptor>(
            io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                        static_cast<unsigned short>(port)));
      } catch (const std::system_error&) {  // in use
      }
    }
  }
  Worker::Events worker_events() {
    return {[this](const std::string& machine, const std::string& task, std::uint64_t attempt) {
              ++starts;
              if (quiet_tasks == false)
                record.line("worker %s: %s attempt %llu runs", machine.c_str(), task.c_str(),
                            static_cast<unsigned long long>(attempt));
              if (task_started) task_started(machine, task, attempt);
            },
            [this](const std::string& machine, const std::string& task, std::uint64_t attempt) {
              if (quiet_tasks == false)
                record.line("worker %s: %s attempt %llu is gone", machine.c_str(), task.c_str(),
                            static_cast<unsigned long long>(attempt));
              if (task_ended) task_ended(machine, task, attempt);
            }};
  }

 public:
  bool quiet_tasks = false;

 private:
  int next_port_ = 10'000 + static_cast<int>(getpid()) % 1300 * 16;
  std::map<std::string, std::string> mesh_;
  std::map<std::string, pid_t> pids_;
  std::filesystem::path folder_;
};

}  // namespace review
