/// Stand-ins for the state service, the cloud, the workers and the users of a small deployment, and
/// the start and stop of controllers. All of them run in one process on loopback addresses. They do
/// what PROTOCOL says; each disruption is switched on by the case that includes this file.
#pragma once

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <cmath>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

extern char** environ;

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using violetpulley::net::HttpClient;
using violetpulley::net::HttpServer;
using violetpulley::net::Request;
using violetpulley::net::Responder;
using violetpulley::net::Response;
using violetpulley::net::ServerLimits;
using Millis = std::chrono::milliseconds;

inline asio::ip::tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }
inline Millis ms(double seconds) { return Millis(static_cast<long>(seconds * 1000)); }

inline std::string query(const std::string& target, const std::string& name) {
  const auto mark = target.find('?');
  if (mark == std::string::npos) return "";
  const auto at = ("&" + target.substr(mark + 1)).find("&" + name + "=");
  if (at == std::string::npos) return "";
  const auto text = "&" + target.substr(mark + 1);
  const auto begin = at + name.size() + 2;
  return text.substr(begin, text.find('&', begin) - begin);
}

/// Values of a site file (`../given/kit/sites/*.toml`).
struct Settings {
  std::string site = "vinsamlag";
  std::string zone = "sudurnes";
  double report_s = 3, lease_s = 24, cancel_s = 54, gang_wait_s = 30, gang_peer_s = 4;
  double skew_ms = 5;
  double state_rps = 150, state_write_rps = 30, value_kb = 16;
  int txn_ops = 24;
  double cloud_rps = 3, list_lag_s = 10;
  double restart_delay_s = 6;
  double latency_ms = 5;
  int max_sockets = 2500;
  double team_cpus_max = 0;  // 0: no limit
  double boot_s = 20;
  std::size_t max_machines = 48;
  std::string bench = "tunna";
  double cores = 64, memory_gb = 512, fetch_gb_per_s = 0.3;
};

class World;

/// Time since the start, the record and the timers.
class World {
 public:
  explicit World(const std::string& record_path) : record_(fopen(record_path.c_str(), "w")) {}
  ~World() { fclose(record_); }
  double now() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }
  void log(const std::string& text) {
    fprintf(record_, "%9.3f %s\n", now(), text.c_str());
    fflush(record_);
  }
  void broken(const std::string& rule, const std::string& text) {
    ++broken_[rule];
    log("BROKEN " + rule + ": " + text);
    fprintf(stderr, "%9.3f BROKEN %s: %s\n", now(), rule.c_str(), text.c_str());
  }
  void after(double seconds, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io, ms(seconds));
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
      if (!error) action();
    });
  }
  void at(double second, std::function<void()> action) {
    after(std::max(0.0, second - now()), std::move(action));
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }
  bool chance(double share) { return uniform(0, 1) < share; }
  int broken(const std::string& rule) const {
    const auto found = broken_.find(rule);
    return found == broken_.end() ? 0 : found->second;
  }
  const std::map<std::string, int>& all_broken() const { return broken_; }

  asio::io_context io{1};
  std::mt19937_64 random{1};

 private:
  FILE* record_;
  Clock::time_point start_ = Clock::now();
  std::map<std::string, int> broken_;
};

/// The state service. Each controller has an endpoint of its own, so that a disruption may concern
/// one controller alone.
class StateService {
 public:
  struct Faults {
    bool refuse = false;    ///< 503; leases that are not extended expire
    bool hold = false;      ///< requests wait, and are carried out in order at the end
    double late_share = 0;  ///< share of transactions carried out 2 to 12 s late, unanswered
    double lost_share = 0;  ///< share of transactions carried out at once, unanswered
    double slow_factor = 1;
  };

  StateService(World& world, const Settings& settings, std::size_t nodes)
      : world_(world), settings_(settings), faults_(nodes), held_(nodes) {
    for (std::size_t node = 0; node < nodes; ++node)
      servers_.push_back(std::make_unique<HttpServer>(
          world.io, any_port(), limits(),
          [this, node](Request&& request, const Responder& respond) {
            receive(node, request, [respond](Response response) { respond(std::move(response)); });
          }));
    request_level_ = settings.state_rps;
    write_level_ = settings.state_write_rps;
  }
  std::string address(std::size_t node) const {
    return violetpulley::net::text_of(servers_.at(node)->local_endpoint());
  }
  Faults& faults(std::size_t node) { return faults_.at(node); }
  void set_outage(bool on) {
    if (outage_ && !on)
      for (auto& [id, lease] : leases_) lease.ends = Clock::now() + lease.ttl;
    outage_ = on;
    world_.log(on ? "state service: outage begins" : "state service: outage ends");
    if (!on) notify();
  }
  void set_hold(std::size_t node, bool on) {
    faults_[node].hold = on;
    if (on) return;
    for (auto& run : std::exchange(held_[node], {})) run();
  }
  /// The member that wrote the leader key of this revision.
  std::string leader_of(std::uint64_t token) const {
    const auto found = leaders_.find(token);
    return found == leaders_.end() ? "" : found->second;
  }
  std::string leader() const {
    const auto found = entries_.find("leader");
    return found == entries_.end() ? "" : found->second.value.value("member", "");
  }
  std::uint64_t leader_token() const {
    const auto found = entries_.find("leader");
    return found == entries_.end() ? 0 : found->second.revision;
  }
  bool has(const std::string& key) const { return entries_.contains(key); }
  std::uint64_t refused_400() const { return refused_400_; }
  std::uint64_t refused_429() const { return refused_429_; }

 private:
  using Respond = std::function<void(Response)>;
  struct Entry {
    Json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Millis ttl{0};
    Clock::time_point ends;
  };
  struct Watch {
    std::size_t node;
    std::string prefix;
    std::uint64_t since;
    Respond respond;
    Clock::time_point ends;
  };
  static ServerLimits limits() {
    ServerLimits limits;
    limits.idle_timeout = Millis(600'000);
    return limits;
  }

  void receive(std::size_t node, const Request& request, const Respond& respond) {
    auto& faults = faults_[node];
    if (faults.hold) {
      held_[node].push_back([this, node, request, respond] { receive(node, request, respond); });
      return;
    }
    double delay = settings_.latency_ms / 1000 * world_.uniform(0.6, 1.4) * faults.slow_factor;
    if (world_.chance(0.005)) delay += world_.uniform(0.1, 0.3);
    if (request.target == "/txn" && !outage_ && !faults.refuse) {
      if (world_.chance(faults.late_share)) {
        const double late = world_.uniform(2, 12);
        world_.log("state service: transaction of node " + std::to_string(node) +
                   " is carried out late: " + request.body.substr(0, 160));
        world_.after(late, [this, node, request] { route(node, request, [](Response) {}); });
        return;
      }
      if (world_.chance(faults.lost_share)) {
        world_.log("state service: answer of a transaction of node " + std::to_string(node) +
                   " is lost: " + request.body.substr(0, 160));
        world_.after(delay / 2, [this, node, request] { route(node, request, [](Response) {}); });
        return;
      }
    }
    world_.after(delay / 2, [this, node, request, respond, delay] {
      if (faults_[node].hold) {
        held_[node].push_back([this, node, request, respond] { receive(node, request, respond); });
        return;
      }
      if (outage_ || faults_[node].refuse) return respond({503, R"({"error":"trouble"})", {}});
      route(node, request, [this, respond, delay](Response response) {
        world_.after(delay / 2, [respond, response = std::move(response)]() mutable {
          respond(std::move(response));
        });
      });
    });
  }

  bool take(double& level, double rate, double amount, Clock::time_point& last) {
    const auto now = Clock::now();
    level = std::min(rate, level + std::chrono::duration<double>(now - last).count() * rate);
    last = now;
    if (level < amount) return false;
    level -= amount;
    return true;
  }

  void route(std::size_t node, const Request& request, const Respond& respond) {
    expire_leases();
    if (!take(request_level_, settings_.state_rps, 1, request_at_)) {
      ++refused_429_;
      return respond({429, "{}", {}});
    }
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/txn") return transact(request.body, respond);
    if (path == "/changes") return watch(node, request.target, respond);
    if (path == "/store") return list(request.target, respond);
    if (path.starts_with("/store/")) return get(path.substr(7), respond);
    if (path == "/holds") {
      const Millis ttl(Json::parse(request.body).at("ttl_ms").get<long>());
      const auto id = ++last_lease_;
      leases_[id] = {ttl, Clock::now() + ttl};
      world_.after(std::chrono::duration<double>(ttl).count() + 0.05, [this] { expire_leases(); });
      return respond({200, Json{{"tenure", id}}.dump(), {}});
    }
    if (!path.starts_with("/holds/")) return respond({400, "{}", {}});
    const auto id = std::stoull(path.substr(7));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return respond({404, "{}", {}});
    if (request.method == "DELETE") {
      end_lease(id);
      return respond({200, "{}", {}});
    }
    found->second.ends = Clock::now() + found->second.ttl;
    world_.after(std::chrono::duration<double>(found->second.ttl).count() + 0.05,
                 [this] { expire_leases(); });
    respond({200, Json{{"tenure", id}}.dump(), {}});
  }

  void expire_leases() {
    if (outage_) {
      world_.after(0.2, [this] {
        if (!outage_) expire_leases();
      });
      return;
    }
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (Clock::now() >= lease.ends) ended.push_back(id);
    for (const auto id : ended) end_lease(id);
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.lease == id) keys.push_back(key);
    if (keys.empty()) return;
    ++revision_;
    for (const auto& key : keys) {
      world_.log("state service: key " + key + " ends with its lease");
      entries_.erase(key);
      changes_.push_back({{"delete", key}, {"stamp", revision_}});
    }
    notify();
  }

  void transact(const std::string& text, const Respond& respond) {
    const auto body = Json::parse(text, nullptr, false);
    if (body.is_discarded()) return respond({400, "{}", {}});
    const auto writes = body.value("then", Json::array());
    const auto conditions = body.value("if", Json::array());
    if (text.size() > 65536 || writes.size() > static_cast<std::size_t>(settings_.txn_ops) ||
        conditions.size() > 4 * static_cast<std::size_t>(settings_.txn_ops)) {
      ++refused_400_;
      world_.log("state service: 400, transaction too large: " + std::to_string(text.size()));
      return respond({400, R"({"error":"too large"})", {}});
    }
    if (!take(write_level_, settings_.state_write_rps, static_cast<double>(writes.size()),
              write_at_)) {
      ++refused_429_;
      return respond({429, "{}", {}});
    }
    Json failed = Json::array();
    for (const auto& condition : conditions) {
      const auto found = entries_.find(condition.at("k").get<std::string>());
      const std::uint64_t revision = found == entries_.end() ? 0 : found->second.revision;
      if (revision != condition.at("stamp").get<std::uint64_t>())
        failed.push_back(condition.at("k"));
    }
    for (const auto& write : writes) {
      if (write.contains("tenure") && !leases_.contains(write.at("tenure").get<std::uint64_t>()))
        return respond({400, R"({"error":"no such lease"})", {}});
      if (write.contains("v") &&
          write.at("v").dump().size() > static_cast<std::size_t>(settings_.value_kb * 1024)) {
        ++refused_400_;
        world_.log("state service: 400, value too large: " + write.at("write").dump());
        return respond({400, R"({"error":"value too large"})", {}});
      }
    }
    if (!failed.empty())
      return respond({409, Json{{"failed", failed}, {"ledger", revision_}}.dump(), {}});
    if (!writes.empty()) ++revision_;
    for (const auto& write : writes) {
      if (write.contains("delete")) {
        const auto key = write.at("delete").get<std::string>();
        if (entries_.erase(key) > 0) changes_.push_back({{"delete", key}, {"stamp", revision_}});
        continue;
      }
      const auto key = write.at("write").get<std::string>();
      entries_[key] = {write.at("v"), revision_, write.value("tenure", std::uint64_t{0})};
      changes_.push_back({{"write", key}, {"v", write.at("v")}, {"stamp", revision_}});
      if (key == "leader") {
        leaders_[revision_] = write.at("v").value("member", "");
        world_.log("state service: " + leaders_[revision_] + " writes the leader key, revision " +
                   std::to_string(revision_));
      }
      if (key.starts_with("end/"))
        world_.log("state service: " + key + " = " + write.at("v").dump());
    }
    while (changes_.size() > 10'000) {
      oldest_ = changes_.front().at("stamp").get<std::uint64_t>();
      changes_.pop_front();
    }
    respond({200, Json{{"ledger", revision_}}.dump(), {}});
    notify();
  }

  void get(const std::string& key, const Respond& respond) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return respond({404, Json{{"ledger", revision_}}.dump(), {}});
    Json out{{"k", key}, {"v", found->second.value}, {"stamp", found->second.revision}};
    if (found->second.lease != 0) out["tenure"] = found->second.lease;
    respond({200, out.dump(), {}});
  }

  void list(const std::string& target, const Respond& respond) {
    const auto prefix = query(target, "prefix");
    const auto since = query(target, "since");
    const auto page = query(target, "page");
    const std::size_t most = std::min<std::size_t>(page.empty() ? 1000 : std::stoul(page), 1000);
    Json rows = Json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    for (auto entry = entries_.lower_bound(std::max(prefix, since)); entry != entries_.end();
         ++entry) {
      if (!entry->first.starts_with(prefix)) break;
      if (!since.empty() && entry->first <= since) continue;
      const auto size = entry->second.value.dump().size() + 60;
      if (rows.size() >= most || bytes + size > 512 * 1024) {
        truncated = true;
        break;
      }
      bytes += size;
      rows.push_back(
          {{"k", entry->first}, {"v", entry->second.value}, {"stamp", entry->second.revision}});
    }
    respond(
        {200, Json{{"rows", rows}, {"truncated", truncated}, {"ledger", revision_}}.dump(), {}});
  }

  bool send_changes(const std::string& prefix, std::uint64_t since, bool even_if_empty,
                    const Respond& respond) {
    Json news = Json::array();
    for (const auto& change : changes_) {
      if (change.at("stamp").get<std::uint64_t>() <= since) continue;
      const auto& key = change.contains("write") ? change.at("write") : change.at("delete");
      if (key.get_ref<const std::string&>().starts_with(prefix)) news.push_back(change);
    }
    if (news.empty() && !even_if_empty) return false;
    respond({200, Json{{"ledger", revision_}, {"news", std::move(news)}}.dump(), {}});
    return true;
  }

  void watch(std::size_t node, const std::string& target, const Respond& respond) {
    const auto prefix = query(target, "prefix");
    const auto since = std::stoull(query(target, "since"));
    const auto block = query(target, "block_ms");
    const long wait = block.empty() ? 0 : std::stol(block);
    if (since < oldest_) return respond({410, "{}", {}});
    if (send_changes(prefix, since, wait == 0, respond)) return;
    watches_.push_back({node, prefix, since, respond, Clock::now() + Millis(wait)});
    world_.after(static_cast<double>(wait) / 1000.0 + 0.01, [this] { notify(); });
  }

  void notify() {
    bool waiting_refused = false;
    std::erase_if(watches_, [&](const Watch& watch) {
      if (outage_ || faults_[watch.node].refuse || faults_[watch.node].hold) {
        waiting_refused = true;
        return false;
      }
      return send_changes(watch.prefix, watch.since, Clock::now() >= watch.ends, watch.respond);
    });
    if (waiting_refused && !renotify_) {
      renotify_ = true;
      world_.after(0.2, [this] {
        renotify_ = false;
        notify();
      });
    }
  }

  World& world_;
  const Settings& settings_;
  std::vector<Faults> faults_;
  std::vector<std::vector<std::function<void()>>> held_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, Entry> entries_;
  std::deque<Json> changes_;
  std::vector<Watch> watches_;
  std::map<std::uint64_t, Lease> leases_;
  std::map<std::uint64_t, std::string> leaders_;
  std::uint64_t revision_ = 0, last_lease_ = 0, oldest_ = 0, refused_400_ = 0, refused_429_ = 0;
  double request_level_ = 0, write_level_ = 0;
  Clock::time_point request_at_ = Clock::now(), write_at_ = Clock::now();
  bool outage_ = false, renotify_ = false;
};

/// What is known of a job: what its user was told, and what its tasks do.
struct JobFacts {
  Json body;
  double run_s = 30;
  double first_attempt_fails_after_s = 0;  ///< 0: no attempt fails
  std::set<std::string> failed_tasks;
  std::set<std::string> done_tasks;
  bool submitted = false;
  double accepted_at = -1, cancelled_at = -1, done_told_at = -1, done_really_at = -1;
  bool cancel_asked = false;
  double last_answer_at = -1;
  double started_at = -1;
  int tasks() const { return body.at("cuts").get<int>(); }
};

/// All jobs, and where their tasks are. Checks the rules about tasks.
class Jobs {
 public:
  Jobs(World& world, const Settings& settings) : world_(world), settings_(settings) {}
  std::map<std::string, JobFacts> all;
  std::size_t starts = 0;

  JobFacts* find(const std::string& id) {
    const auto found = all.find(id);
    return found == all.end() ? nullptr : &found->second;
  }
  static std::string job_of(const std::string& task) { return task.substr(0, task.rfind('/')); }

  /// A task holds its image from now on.
  void begins(const std::string& task, const std::string& machine) {
    ++starts;
    auto& places = places_[task];
    auto& job = all.at(job_of(task));
    if (job.started_at < 0) job.started_at = world_.now();
    for (const auto& place : places)
      if (place != machine)
        world_.broken("ran_twice", task + " starts on " + machine + " while it is on " + place);
    if (job.cancelled_at >= 0 && world_.now() > job.cancelled_at + settings_.cancel_s)
      world_.broken("ran_cancelled", task + " starts on " + machine + " " +
                                         std::to_string(world_.now() - job.cancelled_at) +
                                         " s after its cancellation was confirmed");
    places.insert(machine);
    if (settings_.team_cpus_max > 0) {
      double used = 0;
      for (const auto& [key, on] : places_)
        used += static_cast<double>(on.size()) * all.at(job_of(key)).body.at("cores").get<double>();
      if (used > settings_.team_cpus_max + 1e-6)
        world_.broken("quota", "the team uses " + std::to_string(used) + " CPUs of " +
                                   std::to_string(settings_.team_cpus_max));
    }
  }
  void ends(const std::string& task, const std::string& machine) {
    const auto found = places_.find(task);
    if (found == places_.end()) return;
    found->second.erase(machine);
    if (found->second.empty()) places_.erase(found);
  }
  void completed(const std::string& task) {
    auto& job = all.at(job_of(task));
    job.done_tasks.insert(task);
    if (static_cast<int>(job.done_tasks.size()) == job.tasks()) job.done_really_at = world_.now();
  }
  /// Cancelled tasks that are still on a machine.
  void check() {
    for (const auto& [task, places] : places_) {
      const auto& job = all.at(job_of(task));
      if (job.cancelled_at < 0 || world_.now() <= job.cancelled_at + settings_.cancel_s) continue;
      if (!reported_.insert(task).second) continue;
      world_.broken("ran_cancelled", task + " is on " + *places.begin() + " " +
                                         std::to_string(world_.now() - job.cancelled_at) +
                                         " s after its cancellation was confirmed");
    }
  }
  std::size_t on_machines(const std::string& job) const {
    std::size_t count = 0;
    for (const auto& [task, places] : places_)
      if (job_of(task) == job) count += places.size();
    return count;
  }

 private:
  World& world_;
  const Settings& settings_;
  std::map<std::string, std::set<std::string>> places_;
  std::set<std::string> reported_;
};

/// Addresses of the controllers, and which of them a machine reaches.
struct Nodes {
  std::vector<std::string> names, public_addresses, peer_addresses;
  std::size_t index_of(const std::string& name) const {
    for (std::size_t i = 0; i < names.size(); ++i)
      if (names[i] == name) return i;
    return names.size();
  }
};

/// One machine with its worker.
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  /// Disruptions of this machine.
  struct Faults {
    bool hang = false;                ///< does nothing, and goes on later
    bool deaf = false;                ///< its reports arrive; answers and commands to it are lost
    bool mute = false;                ///< its reports reach no controller; commands reach it
    std::set<std::size_t> cut_nodes;  ///< controllers to and from which nothing arrives
    bool hold = false;                ///< commands of cut controllers arrive at the end of the cut
    double late_commands = 0;         ///< share of commands carried out 2 to 16 s late, unanswered
    double late_reports = 0;          ///< share of reports of which a copy arrives 2 to 60 s later
    double answer_delay_s = 0;        ///< how long the answer to a command request is on its way
    double held_orders_s = 0;         ///< commands are carried out that late, unanswered
  };
  /// Called with each report that is sent, and with each command request before it is handled.
  std::function<void(const Json& report)> on_report;
  std::function<void(const Json& request)> on_command;
  Faults faults;
  bool zone_spot = false;

  Worker(World& world, const Settings& settings, Nodes& nodes, Jobs& jobs, StateService& state,
         std::string id)
      : world_(world),
        settings_(settings),
        nodes_(nodes),
        jobs_(jobs),
        state_(state),
        id_(std::move(id)),
        server_(
            world.io, any_port(), limits(),
            [this](Request&& request, const Responder& respond) { command(request, respond); }) {
    endpoint_ = violetpulley::net::text_of(server_.local_endpoint());
    session_began_ = world_.now();
    node_ = world_.random() % nodes_.names.size();
  }
  void start() {
    world_.log("machine " + id_ + " is up");
    session_began_ = last_tick_ = world_.now();
    tick();
  }
  /// The machine is returned or dies.
  void stop() {
    gone_ = true;
    for (const auto& [key, task] : tasks_)
      if (on_machine(task)) jobs_.ends(key.first, id_);
    tasks_.clear();
    server_.stop();
    client_.reset();
  }
  const std::string& id() const { return id_; }
  const std::string& endpoint() const { return endpoint_; }
  std::uint64_t token() const { return token_; }
  std::size_t node() const { return node_; }
  std::size_t live_tasks() const {
    std::size_t live = 0;
    for (const auto& [key, task] : tasks_) live += task.state != "exited";
    return live;
  }
  bool runs(const std::string& job) const {
    for (const auto& [key, task] : tasks_)
      if (Jobs::job_of(key.first) == job && task.state != "exited") return true;
    return false;
  }
  void set_hang(bool on) {
    faults.hang = on;
    world_.log("machine " + id_ + (on ? " hangs" : " goes on"));
    if (on) return;
    if (gone_) return;
    last_tick_ = world_.now();
    check_lease();
    for (auto& run : std::exchange(held_, {})) run();
  }
  void end_cut() {
    faults.cut_nodes.clear();
    for (auto& run : std::exchange(held_, {})) run();
  }

 private:
  struct Task {
    std::string state, cause;
    double fetch_left = 0, run_left = 0;
    double cores = 0, memory = 0;
  };
  using Key = std::pair<std::string, std::uint64_t>;
  static ServerLimits limits() {
    ServerLimits limits;
    limits.idle_timeout = Millis(600'000);
    return limits;
  }
  static bool on_machine(const Task& task) {
    return task.state != "exited" && task.state != "fetching";
  }

  void tick() {
    if (gone_) return;
    // A machine that hangs for longer than its lease ends its tasks before anything else: they
    // never run again.
    if (faults.hang) check_lease();
    if (!faults.hang) {
      const double elapsed = world_.now() - last_tick_;
      last_tick_ = world_.now();
      check_lease();
      for (auto& [key, task] : tasks_) advance(key, task, elapsed);
      report_if_due();
    }
    world_.after(0.05, [self = shared_from_this()] { self->tick(); });
  }
  void advance(const Key& key, Task& task, double elapsed) {
    if (task.state == "fetching") {
      task.fetch_left -= elapsed;
      if (task.fetch_left > 0) return;
      images_.insert(jobs_.all.at(Jobs::job_of(key.first)).body.at("casket").get<std::string>());
      task.state = "running";
      changed_ = true;
      jobs_.begins(key.first, id_);
      world_.log("task " + key.first + " try " + std::to_string(key.second) + " runs on " + id_);
      if (jobs_.all.at(Jobs::job_of(key.first)).done_tasks.contains(key.first)) task.run_left = 0;
      return;
    }
    if (task.state != "running") return;
    task.run_left -= elapsed;
    auto& job = jobs_.all.at(Jobs::job_of(key.first));
    if (job.first_attempt_fails_after_s > 0 && !job.failed_tasks.contains(key.first) &&
        job.run_s - task.run_left >= job.first_attempt_fails_after_s) {
      job.failed_tasks.insert(key.first);
      return exit(key, task, "error");
    }
    if (task.run_left > 0) return;
    jobs_.completed(key.first);
    exit(key, task, "done");
  }
  void exit(const Key& key, Task& task, const char* cause) {
    if (on_machine(task)) jobs_.ends(key.first, id_);
    task.state = "exited";
    task.cause = cause;
    changed_ = true;
    world_.log("task " + key.first + " try " + std::to_string(key.second) + " exits on " + id_ +
               ": " + cause);
  }
  void check_lease() {
    if (world_.now() - lease_from() <= settings_.lease_s) return;
    world_.log("machine " + id_ + ": its lease ends, session " + std::to_string(session_ + 1) +
               " begins, " + std::to_string(tasks_.size()) + " tasks are killed");
    for (const auto& [key, task] : tasks_)
      if (on_machine(task)) jobs_.ends(key.first, id_);
    tasks_.clear();
    ++session_;
    session_began_ = world_.now();
    answered_sent_ = -1;
    changed_ = true;
  }
  double lease_from() const { return std::max(session_began_, answered_sent_); }

  Json report() {
    Json cuts = Json::array();
    for (const auto& [key, task] : tasks_) {
      Json item{{"cut", key.first}, {"try", key.second}, {"status", task.state}};
      if (!task.cause.empty()) item["cause"] = task.cause;
      cuts.push_back(std::move(item));
    }
    return {{"rig", id_},
            {"endpoint", endpoint()},
            {"bench", settings_.bench},
            {"district", settings_.zone},
            {"loaners", zone_spot},
            {"shift", session_},
            {"tally", ++tally_},
            {"baton", token_},
            {"recall_s", nullptr},
            {"cuts", cuts}};
  }

  void execute(const Json& orders) {
    for (const auto& order : orders) {
      const Key key{order.at("cut").get<std::string>(), order.at("try").get<std::uint64_t>()};
      const auto verb = order.at("verb").get<std::string>();
      if (verb == "start") begin(key);
      if (verb == "kill") {
        const auto found = tasks_.find(key);
        if (found != tasks_.end() && found->second.state != "exited")
          exit(key, found->second, "halted");
      }
      if (verb == "reap") {
        const auto found = tasks_.find(key);
        if (found != tasks_.end() && found->second.state == "exited") {
          tasks_.erase(found);
          changed_ = true;
        }
      }
    }
  }
  void begin(const Key& key) {
    if (tasks_.contains(key)) return;
    changed_ = true;
    auto& task = tasks_[key];
    const auto* job = jobs_.find(Jobs::job_of(key.first));
    world_.log("start " + key.first + " try " + std::to_string(key.second) + " arrives at " + id_);
    if (job == nullptr || !job->submitted) return exit(key, task, "no_such");
    task.cores = job->body.at("cores").get<double>();
    task.memory = job->body.at("memory_gb").get<double>();
    double cores = 0, memory = 0;
    for (const auto& [other, placed] : tasks_) {
      if (placed.state == "exited") continue;
      cores += placed.cores;
      memory += placed.memory;
      if (other != key && other.first == key.first) return exit(key, task, "in_use");
    }
    if (cores > settings_.cores + 1e-6 || memory > settings_.memory_gb + 1e-6)
      return exit(key, task, "no_room");
    task.state = "fetching";
    const auto image = job->body.at("casket").get<std::string>();
    task.fetch_left = images_.contains(image)
                          ? 0
                          : job->body.at("image_gb").get<double>() / settings_.fetch_gb_per_s;
    task.run_left = job->run_s;
  }

  void command(const Request& request, const Responder& respond) {
    if (gone_) return;
    if (request.target == "/inspect") return respond({200, report().dump(), {}});
    const auto body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.contains("baton") || !body.contains("shift"))
      return respond({400, "{}", {}});
    const auto from = nodes_.index_of(state_.leader_of(body.at("baton").get<std::uint64_t>()));
    if (on_command) on_command(body);
    if (faults.deaf) return;
    if (faults.hang || faults.cut_nodes.contains(from)) {
      if (faults.hang || faults.hold)
        held_.push_back([this, body, respond] { carry_out(body, respond); });
      return;
    }
    const bool held = faults.held_orders_s > 0;
    if (!body.at("orders").empty() && (held || world_.chance(faults.late_commands))) {
      const double late = held ? faults.held_orders_s : world_.uniform(2, 16);
      world_.log("commands to " + id_ + " are held up: " + body.dump().substr(0, 200));
      world_.after(late, [self = shared_from_this(), body, respond] {
        if (!self->gone_) self->carry_out(body, respond);
      });
      return;
    }
    carry_out(body, respond);
  }
  void carry_out(const Json& body, const Responder& respond) {
    if (gone_) return;
    const auto token = body.at("baton").get<std::uint64_t>();
    if (token < token_ || body.at("shift").get<std::uint64_t>() != session_)
      return respond({409, report().dump(), {}});
    see(token);
    execute(body.at("orders"));
    const Response answer{200, report().dump(), {}};
    if (faults.answer_delay_s <= 0) return respond(answer);
    world_.after(faults.answer_delay_s, [respond, answer] { respond(answer); });
  }
  void see(std::uint64_t token) {
    if (token <= token_) return;
    token_ = token;
    if (world_.now() - token_changed_ > settings_.lease_s / 2) {
      changed_ = true;
      token_changed_ = world_.now();
    }
  }

  void report_if_due() {
    const double now = world_.now();
    if (in_flight_) {
      if (now - sent_ < 4) return;
      in_flight_ = false;
      ++round_;
      client_.reset();
      next_node(now + 1);
    }
    if (now < not_before_) return;
    const bool due = now >= next_report_ || (changed_ && now - sent_ >= 0.5);
    if (!due) return;
    send_report(now);
  }
  void send_report(double now) {
    changed_ = false;
    in_flight_ = true;
    sent_ = now;
    next_report_ = now + settings_.report_s * world_.uniform(0.75, 1.25);
    const auto content = report();
    if (on_report) on_report(content);
    auto body = content.dump();
    if (faults.mute || faults.cut_nodes.contains(node_)) return;  // no answer within 4 s
    if (world_.chance(faults.late_reports)) send_copy(body);
    if (!client_)
      client_ = std::make_unique<HttpClient>(
          world_.io, violetpulley::net::parse_endpoint(nodes_.public_addresses[node_]), 1);
    client_->request({"POST", "/agent/beat", std::move(body)}, Millis(4500),
                     [self = shared_from_this(), round = ++round_, sent = now, session = session_,
                      node = node_](const std::optional<Response>& response) {
                       self->answered(round, sent, session, node, response);
                     });
  }
  void send_copy(const std::string& body) {
    const auto node = world_.random() % nodes_.names.size();
    world_.after(world_.uniform(2, 60), [this, self = shared_from_this(), body, node] {
      if (gone_) return;
      auto client = std::make_shared<HttpClient>(
          world_.io, violetpulley::net::parse_endpoint(nodes_.public_addresses[node]), 1);
      client->request({"POST", "/agent/beat", body}, Millis(2000),
                      [client](const std::optional<Response>&) {});
    });
  }
  void answered(std::uint64_t round, double sent, std::uint64_t session, std::size_t node,
                const std::optional<Response>& response) {
    if (gone_ || round != round_ || !in_flight_) return;
    if (faults.hang || faults.deaf || faults.cut_nodes.contains(node)) return;
    const double now = world_.now();
    if (now - sent >= 4) return;
    if (!response) {
      in_flight_ = false;
      client_.reset();
      return next_node(now + 1);
    }
    in_flight_ = false;
    const auto body = Json::parse(response->body, nullptr, false);
    if (response->status == 200) {
      const auto token = body.value("baton", std::uint64_t{0});
      if (token < token_ || session != session_) return;
      see(token);
      answered_sent_ = sent;
      execute(body.value("orders", Json::array()));
      return;
    }
    client_.reset();
    if (response->status == 421 && body.is_object()) {
      const auto named = nodes_.index_of(body.value("foreman", std::string()));
      if (named < nodes_.names.size() && named != node_) {
        node_ = named;
        next_report_ = not_before_ = now + world_.uniform(0, 0.5);
        return;
      }
    }
    next_node(now + 1);
  }
  void next_node(double when) {
    node_ = (node_ + 1) % nodes_.names.size();
    next_report_ = not_before_ = when;
  }

  World& world_;
  const Settings& settings_;
  Nodes& nodes_;
  Jobs& jobs_;
  StateService& state_;
  std::string id_, endpoint_;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::vector<std::function<void()>> held_;
  std::uint64_t token_ = 0, session_ = 1, tally_ = 0, round_ = 0;
  std::size_t node_ = 0;
  double session_began_ = 0, answered_sent_ = -1, last_tick_ = 0, sent_ = -10, next_report_ = 0;
  double not_before_ = 0, token_changed_ = -1000;
  bool in_flight_ = false, changed_ = false, gone_ = false;
  std::unique_ptr<HttpClient> client_;
  HttpServer server_;
};

/// The cloud with its machines.
class Cloud {
 public:
  Cloud(World& world, const Settings& settings, Nodes& nodes, Jobs& jobs, StateService& state)
      : world_(world),
        settings_(settings),
        nodes_(nodes),
        jobs_(jobs),
        state_(state),
        server_(world.io, any_port(), limits(),
                [this](Request&& request, const Responder& respond) {
                  world_.after(world_.uniform(0.1, 0.3),
                               [this, request, respond] { route(request, respond); });
                }) {}
  std::string address() const { return violetpulley::net::text_of(server_.local_endpoint()); }
  void set_outage(bool on) {
    outage_ = on;
    world_.log(on ? "cloud: outage begins" : "cloud: outage ends");
  }
  std::shared_ptr<Worker> boot() { return add(false, 0); }
  std::map<std::string, std::shared_ptr<Worker>> up;
  double boot_factor_low = 0.6, boot_factor_high = 1.5;
  std::function<void(Worker&)> on_boot;

 private:
  static ServerLimits limits() {
    ServerLimits limits;
    limits.idle_timeout = Millis(600'000);
    return limits;
  }
  struct Rented {
    bool spot = false;
    double at = 0;
    std::shared_ptr<Worker> worker;
  };
  std::shared_ptr<Worker> add(bool spot, double boot) {
    char name[32];
    snprintf(name, sizeof name, "m-%06d", ++last_);
    auto worker = std::make_shared<Worker>(world_, settings_, nodes_, jobs_, state_, name);
    worker->zone_spot = spot;
    rented_[name] = {spot, world_.now(), worker};
    world_.after(boot, [this, worker, id = std::string(name)] {
      if (!rented_.contains(id)) return;
      if (on_boot) on_boot(*worker);
      auto fresh = worker;
      up[id] = fresh;
      fresh->start();
    });
    return worker;
  }
  void route(const Request& request, const Responder& respond) {
    if (outage_) return respond({503, R"({"error":"trouble"})", {}});
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/catalog")
      return respond(
          {200,
           Json{{"benches", Json::array({{{"label", settings_.bench},
                                          {"cores", settings_.cores},
                                          {"gpus", 0},
                                          {"memory_gb", settings_.memory_gb},
                                          {"local_gb", 40},
                                          {"fetch_gb_per_s", settings_.fetch_gb_per_s},
                                          {"rate", 3.72},
                                          {"spot_price", 1.15},
                                          {"ready_s", settings_.boot_s},
                                          {"districts", Json::array({settings_.zone})}}})}}
               .dump(),
           {}});
    if (path == "/rentals/release") {
      const auto body = Json::parse(request.body);
      for (const auto& id : body.at("rigs")) remove(id.get<std::string>());
      return respond({200, "{}", {}});
    }
    if (request.method == "POST") return rent(Json::parse(request.body), respond);
    Json rigs = Json::array();
    const auto since = query(request.target, "since");
    for (const auto& [id, machine] : rented_) {
      const double age = world_.now() - machine.at - settings_.list_lag_s;
      if (age < 0 || id <= since) continue;
      rigs.push_back({{"id", id},
                      {"endpoint", machine.worker->endpoint()},
                      {"bench", settings_.bench},
                      {"district", settings_.zone},
                      {"loaners", machine.spot},
                      {"status", up.contains(id) ? "running" : "booting"},
                      {"held_s", age}});
    }
    respond({200, Json{{"rigs", rigs}, {"truncated", false}}.dump(), {}});
  }
  void rent(const Json& body, const Responder& respond) {
    const auto name = body.at("hire").get<std::string>();
    if (const auto known = granted_.find(name); known != granted_.end())
      return respond({200, known->second, {}});
    Json ids = Json::array();
    for (int i = 0; i < body.at("number").get<int>() && rented_.size() < settings_.max_machines;
         ++i)
      ids.push_back(add(body.at("loaners").get<bool>(),
                        settings_.boot_s * world_.uniform(boot_factor_low, boot_factor_high))
                        ->id());
    if (ids.empty()) return respond({503, R"({"error":"no capacity"})", {}});
    granted_[name] = Json{{"rigs", ids}}.dump();
    respond({200, granted_[name], {}});
  }
  void remove(const std::string& id) {
    const auto found = rented_.find(id);
    if (found == rented_.end()) return;
    world_.log("cloud: machine " + id + " is deleted");
    auto worker = found->second.worker;
    worker->stop();
    up.erase(id);
    rented_.erase(found);
    graveyard_.push_back(worker);
  }

  World& world_;
  const Settings& settings_;
  Nodes& nodes_;
  Jobs& jobs_;
  StateService& state_;
  std::map<std::string, Rented> rented_;
  std::map<std::string, std::string> granted_;
  std::vector<std::shared_ptr<Worker>> graveyard_;
  int last_ = 100;
  bool outage_ = false;
  HttpServer server_;
};

/// The processes of the service.
class Controllers {
 public:
  Controllers(World& world, const Settings& settings, Nodes& nodes, StateService& state,
              std::function<std::string()> cloud_address, std::string folder)
      : world_(world),
        settings_(settings),
        nodes_(nodes),
        state_(state),
        cloud_address_(std::move(cloud_address)),
        folder_(std::move(folder)) {
    std::vector<asio::ip::tcp::acceptor> taken;
    // Free ports below the range from which the system takes the ports of connections.
    std::mt19937 pick(std::random_device{}());
    const auto port = [&] {
      for (;;) {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                               static_cast<unsigned short>(12000 + pick() % 20000));
        try {
          taken.emplace_back(world.io, endpoint, false);
          return violetpulley::net::text_of(endpoint);
        } catch (const std::system_error&) {
        }
      }
    };
    for (int i = 0; i < 3; ++i) {
      nodes_.names.push_back("trissa-" + std::to_string(i));
      nodes_.public_addresses.push_back(port());
      nodes_.peer_addresses.push_back(port());
    }
    pids_.resize(3, 0);
  }
  ~Controllers() {
    for (std::size_t i = 0; i < pids_.size(); ++i) kill_now(i);
  }
  void start(std::size_t node) {
    if (pids_[node] != 0) return;
    const auto path = folder_ + "/" + nodes_.names[node] + ".toml";
    std::ofstream(path) << settings_text(node);
    const auto log = folder_ + "/" + nodes_.names[node] + ".log";
    std::vector<std::string> arguments{"target/violetpulley", "--history", "deploy/history.yaml",
                                       "--config", path};
    std::vector<char*> args;
    for (auto& argument : arguments) args.push_back(argument.data());
    args.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    pid_t pid = 0;
    if (posix_spawn(&pid, args[0], &actions, nullptr, args.data(), environ) != 0) pid = 0;
    posix_spawn_file_actions_destroy(&actions);
    pids_[node] = pid;
    world_.log("controller " + nodes_.names[node] + " starts");
  }
  void kill_now(std::size_t node) {
    if (pids_[node] == 0) return;
    kill(pids_[node], SIGKILL);
    waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
    world_.log("controller " + nodes_.names[node] + " is killed");
  }
  void crash(std::size_t node) {
    if (pids_[node] == 0) return;
    kill_now(node);
    world_.after(settings_.restart_delay_s, [this, node] { start(node); });
  }
  void freeze(std::size_t node, double seconds) {
    if (pids_[node] == 0) return;
    world_.log("controller " + nodes_.names[node] + " stands still");
    kill(pids_[node], SIGSTOP);
    world_.after(seconds, [this, node, pid = pids_[node]] {
      if (pids_[node] != pid) return;
      world_.log("controller " + nodes_.names[node] + " goes on");
      kill(pid, SIGCONT);
    });
  }
  /// Whether a process that was not killed has ended.
  bool ended_by_itself(std::size_t node) {
    if (pids_[node] == 0) return false;
    int status = 0;
    if (waitpid(pids_[node], &status, WNOHANG) != pids_[node]) return false;
    pids_[node] = 0;
    world_.broken("ended", "controller " + nodes_.names[node] + " ended by itself, status " +
                               std::to_string(status));
    return true;
  }
  pid_t pid(std::size_t node) const { return pids_[node]; }
  std::size_t leader() const { return nodes_.index_of(state_.leader()); }

 private:
  std::string settings_text(std::size_t node) {
    std::string text = "member = \"" + nodes_.names[node] + "\"\nsite = \"" + settings_.zone +
                       "\"\npublic_addr = \"" + nodes_.public_addresses[node] +
                       "\"\nmesh_addr = \"" + nodes_.peer_addresses[node] + "\"\n";
    for (std::size_t other = 0; other < nodes_.names.size(); ++other)
      if (other != node)
        text += "[[siblings]]\nmember = \"" + nodes_.names[other] + "\"\nsite = \"" +
                settings_.zone + "\"\npeer_addr = \"" + nodes_.peer_addresses[other] + "\"\n";
    char rest[2048];
    snprintf(rest, sizeof rest, R"([services]
cloud = "%s"
state = "%s"
[settings]
nodes = 3
zones = ["%s"]
skew_ms = %.1f
[[settings.teams]]
name = "sameign"
cpus = 0.0
cpus_max = %.1f
gpus = 0.0
gpus_max = 0.0
[[settings.objectives]]
kind = "finished"
class = "verdlisti"
within_s = 150.0
share = 0.88
[[settings.objectives]]
kind = "deadline"
class = "tollur"
share = 0.96
times = 1.0
[settings.workers]
report_s = %.1f
lease_s = %.1f
gang_wait_s = %.1f
gang_peer_s = %.1f
cancel_s = %.1f
[settings.state]
rps = %.1f
write_rps = %.1f
value_kb = %.1f
txn_ops = %d
[settings.cloud]
rps = %.1f
list_lag_s = %.1f
[settings.limits]
cpu_share = 0.12
mem_mb = 136.0
max_sockets = %d
)",
             cloud_address_().c_str(), state_.address(node).c_str(), settings_.zone.c_str(),
             settings_.skew_ms, settings_.team_cpus_max, settings_.report_s, settings_.lease_s,
             settings_.gang_wait_s, settings_.gang_peer_s, settings_.cancel_s, settings_.state_rps,
             settings_.state_write_rps, settings_.value_kb, settings_.txn_ops, settings_.cloud_rps,
             settings_.list_lag_s, settings_.max_sockets);
    return text + rest;
  }

  World& world_;
  const Settings& settings_;
  Nodes& nodes_;
  StateService& state_;
  std::function<std::string()> cloud_address_;
  std::string folder_;
  std::vector<pid_t> pids_;
};

/// Users. Checks the rules about answers.
class Users {
 public:
  Users(World& world, const Settings& settings, Nodes& nodes, Jobs& jobs)
      : world_(world), settings_(settings), nodes_(nodes), jobs_(jobs) {}

  using Answer = std::function<void(const std::optional<Response>&, const Json&)>;
  void ask(std::size_t node, const std::string& method, const std::string& target,
           const std::string& body, double timeout, Answer done) {
    auto client = std::make_shared<HttpClient>(
        world_.io, violetpulley::net::parse_endpoint(nodes_.public_addresses[node]), 1);
    client->request({method, target, body}, ms(timeout),
                    [client, done = std::move(done)](const std::optional<Response>& response) {
                      done(response,
                           response ? Json::parse(response->body, nullptr, false) : Json());
                    });
  }
  std::size_t any_node() { return world_.random() % nodes_.names.size(); }

  static Json array(const std::string& id, int tasks, double cores, double estimate,
                    const std::string& image = "img-01") {
    return {{"id", id},
            {"lot", "tollur"},
            {"owner", "sameign"},
            {"shape", "array"},
            {"urgency", "high"},
            {"cuts", tasks},
            {"cores", cores},
            {"gpus", 0.0},
            {"memory_gb", 1.4},
            {"casket", image},
            {"image_gb", 0.3},
            {"benches", nullptr},
            {"district", nullptr},
            {"same_place", false},
            {"spread", false},
            {"loaners", true},
            {"expect_s", estimate},
            {"mark_s", 0.0},
            {"stow_s", 0.0},
            {"due_s", nullptr}};
  }

  /// Submits the job and repeats the submission until it is accepted.
  void submit(Json body, double run_s, std::size_t node) {
    const auto id = body.at("id").get<std::string>();
    auto& job = jobs_.all[id];
    job.body = std::move(body);
    job.run_s = run_s;
    job.submitted = true;
    send_submission(id, node);
  }
  void send_submission(const std::string& id, std::size_t node) {
    const double asked = world_.now();
    ask(node, "POST", "/v1/jobs", jobs_.all.at(id).body.dump(), 5,
        [this, id, node, asked](const std::optional<Response>& response, const Json& body) {
          auto& job = jobs_.all.at(id);
          world_.log("user: submission of " + id + " at node " + std::to_string(node) + ": " +
                     text(response));
          if (response && (response->status == 201 || response->status == 200)) {
            heard(id, asked, body);
            if (job.accepted_at < 0) job.accepted_at = world_.now();
            return;
          }
          if (response && (response->status == 400 || response->status == 422)) {
            if (job.accepted_at >= 0 && job.accepted_at < asked)
              world_.broken("forgotten",
                            "a repeated submission of " + id + " gets " + text(response));
            return;
          }
          world_.after(1, [this, id] { send_submission(id, any_node()); });
        });
  }
  void poll(const std::string& id, std::size_t node) {
    const double asked = world_.now();
    ask(node, "GET", "/v1/jobs/" + id, "", 2,
        [this, id, node, asked](const std::optional<Response>& response, const Json& body) {
          const auto* job = jobs_.find(id);
          if (!response || (response->status != 200 && response->status != 404)) {
            world_.log("user: question about " + id + " at node " + std::to_string(node) + ": " +
                       text(response));
            return;
          }
          if (job == nullptr) {
            if (response->status == 200) world_.broken("invented", id + ": " + text(response));
            return;
          }
          if (response->status == 404) {
            if (job->accepted_at >= 0 && job->accepted_at < asked)
              world_.broken("forgotten", id + " gets 404 at node " + std::to_string(node));
            return;
          }
          heard(id, asked, body);
        });
  }
  void cancel(const std::string& id, std::size_t node) {
    auto& job = jobs_.all.at(id);
    job.cancel_asked = true;
    const double asked = world_.now();
    ask(node, "POST", "/v1/jobs/" + id + "/withdraw", "", 5,
        [this, id, node, asked](const std::optional<Response>& response, const Json& body) {
          world_.log("user: cancellation of " + id + " at node " + std::to_string(node) + ": " +
                     text(response));
          if (response && response->status == 200) return heard(id, asked, body);
          if (response && response->status == 404 && jobs_.all.at(id).accepted_at >= 0 &&
              jobs_.all.at(id).accepted_at < asked)
            world_.broken("forgotten", "a cancellation of " + id + " gets 404");
          world_.after(1, [this, id] {
            if (jobs_.all.at(id).cancelled_at < 0 && jobs_.all.at(id).done_told_at < 0)
              cancel(id, any_node());
          });
        });
  }
  static std::string text(const std::optional<Response>& response) {
    return response ? std::to_string(response->status) + " " + response->body : "no answer";
  }
  std::size_t answers = 0;

 private:
  void heard(const std::string& id, double asked, const Json& body) {
    auto& job = jobs_.all.at(id);
    ++answers;
    job.last_answer_at = world_.now();
    const auto status = body.value("status", std::string());
    if (job.done_told_at >= 0 && job.done_told_at < asked && status != "done")
      world_.broken("went_back", id + " was done and is " + status);
    if (job.cancelled_at >= 0 && job.cancelled_at < asked && status != "withdrawn")
      world_.broken("went_back", id + " was cancelled and is " + status);
    if (status == "withdrawn") {
      if (!job.cancel_asked) world_.broken("went_back", id + " was never cancelled by its user");
      if (job.cancelled_at < 0) {
        job.cancelled_at = world_.now();
        world_.log("user: told that " + id + " is cancelled");
      }
    }
    if (status == "done" && job.done_told_at < 0) {
      job.done_told_at = world_.now();
      world_.log("user: told that " + id + " is done");
      if (static_cast<int>(job.done_tasks.size()) < job.tasks())
        world_.broken("not_done", id + " is reported done after " +
                                      std::to_string(job.done_tasks.size()) + " of " +
                                      std::to_string(job.tasks()) + " tasks");
    }
  }

  World& world_;
  const Settings& settings_;
  Nodes& nodes_;
  Jobs& jobs_;
};

/// A whole site.
struct Site {
  Site(const std::string& record, const std::string& folder, Settings given = {})
      : settings(std::move(given)),
        world(record),
        state(world, settings, 3),
        jobs(world, settings),
        cloud(world, settings, nodes, jobs, state),
        controllers(
            world, settings, nodes, state, [this] { return cloud.address(); }, folder),
        users(world, settings, nodes, jobs) {}
  /// Runs until `second`, and checks the rules meanwhile.
  void run_until(double second) {
    bool over = false;
    world.at(second, [&] { over = true; });
    while (!over) {
      world.io.run_for(Millis(100));
      world.io.restart();
      jobs.check();
      for (std::size_t node = 0; node < 3; ++node) controllers.ended_by_itself(node);
    }
  }
  bool wait_for(double limit, const std::function<bool()>& condition) {
    const double until = world.now() + limit;
    while (!condition()) {
      if (world.now() > until) return false;
      run_until(world.now() + 0.05);
    }
    return true;
  }
  Settings settings;
  World world;
  Nodes nodes;
  StateService state;
  Jobs jobs;
  Cloud cloud;
  Controllers controllers;
  Users users;
};

}  // namespace review
