#include "node.hpp"

#include <spdlog/spdlog.h>

#include "wall_clock.hpp"

namespace violetpulley {

using core::Clock;
using std::chrono::milliseconds;
using store::Json;
using store::kCatalogKey;
using store::kLeaderKey;
using store::Outcome;
using store::RequestPriority;

namespace {

constexpr std::chrono::seconds kStoreLost{3};
constexpr std::chrono::seconds kCatalogInterval{30};
constexpr std::uint64_t kRecentWorkerMs = 3000;  // ms: lately
constexpr milliseconds kLeaderWatchGap{50};
constexpr milliseconds kFollowerWatchGap{400};

std::uint64_t seed_of(const std::string& member) {
  return std::hash<std::string>{}(member) ^ 0x9E3779B97F4A7C15ULL;
}

const std::string kReportPath = "/agent/beat";

net::ServerLimits server_limits(const config::Settings& settings) {
  net::ServerLimits limits;
  // A machine that was quiet for longer than its lease has no use for the connection.
  limits.idle_worker =
      std::chrono::ceil<milliseconds>(settings.workers.lease + settings.workers.heartbeat_interval);
  return limits;
}

}  // namespace

Node::Node(asio::io_context& io, config::Settings settings, const config::Operators& operators,
           config::HistorySettings history)
    : io_(io),
      settings_(std::move(settings)),
      tuning_(operators.tuning),
      history_(std::move(history)),
      leadership_(settings_.workers, settings_.clock_skew),
      store_(io, net::parse_endpoint(settings_.state_address), share(false),
             seed_of(settings_.member)),
      job_replica_(io, store_,
                   {[this](const core::JobRecord& record) {
                      if (leader_) leader_->job_opened(record);
                    },
                    [this](const core::JobId& id) {
                      reported_counts_.erase(id);
                      if (leader_) leader_->job_closed(id);
                    }}),
      election_(io, store_, leadership_, settings_.member, settings_.peer_address,
                {[this] { won(); }, [this](const std::string&) { lost(); }, [] {}},
                seed_of(settings_.member) + 1),
      cloud_(io, net::parse_endpoint(settings_.cloud_address),
             settings_.cloud_requests_per_s * 0.9),
      users_(io, store_, job_replica_,
             {settings_.teams, settings_.zones,
              [this]() -> const std::vector<core::MachineType>& { return types_; },
              [this](const core::JobId& id) { return counts(id); }}),
      second_timer_(io),
      catalog_timer_(io),
      started_(Clock::now()),
      store_answered_(started_),
      peer_network_(io, net::parse_endpoint(settings_.peer_address), settings_.peers,
                    {[this](const peers::Status& status) { on_peer_status(status); },
                     [this](const std::string& member) {
                       peer_views_[member].led_by = election_.led_by(member);
                     },
                     [this](const std::string& member) {
                       election_.revoke_lease_of(member, peer_views_[member].led_by);
                     }}),
      server_(
          io, net::parse_endpoint(settings_.public_address), server_limits(settings_),
          [this](net::Request&& request, const net::Responder& respond) {
            route(std::move(request), respond);
          },
          [](const std::string& target) {
            return target.starts_with(kReportPath) ? net::Peer::worker : net::Peer::user;
          }) {
  if (history_.home == config::HistoryHome::directory)
    recorder_ = std::make_unique<history::Recorder>(
        history::Recorder::Settings{history_.directory, history_.key, history_.log}, wall_now());
  if (!operators.why_address.empty()) open_operators(net::parse_endpoint(operators.why_address));
  share_sockets();
  job_replica_.start();
  election_.start();
  fetch_catalog();
  schedule_second();
  spdlog::info("{} serves on {}, mesh on {}, {} siblings", settings_.member,
               settings_.public_address, settings_.peer_address, settings_.peers.size());
}

Node::~Node() { *alive_ = false; }

store::StoreShare Node::share(bool leading) const {
  const auto nodes = static_cast<double>(settings_.nodes());
  const double others = std::max(1.0, nodes - 1);
  // The leader writes for all; the others accept, cancel and read. Submissions come in bursts that
  // rarely meet, so the shares add up to more than the limit: a 429 is tried again.
  const double reads = leading ? (nodes > 1 ? 0.5 : 0.9) : std::min(0.45, 0.8 / others);
  const double writes = leading ? (nodes > 1 ? 0.6 : 0.9) : std::min(0.45, 0.9 / others);
  return {settings_.state_requests_per_s * reads, settings_.state_writes_per_s * writes};
}

void Node::open_operators(const asio::ip::tcp::endpoint& at) {
  const auto leading = [this] {
    return leader_ && leader_->ready() ? leader_->controller() : nullptr;
  };
  const auto leader = [this, port = at.port()]() -> std::optional<asio::ip::tcp::endpoint> {
    const auto member = election_.current_member();
    for (const auto& peer : settings_.peers)
      if (peer.member == member)
        return asio::ip::tcp::endpoint(net::parse_endpoint(peer.peer_address).address(), port);
    return std::nullopt;
  };
  operators_ = std::make_unique<api::OperatorApi>(
      io_, at,
      api::OperatorApi::Environment{
          settings_.teams, [this]() -> const std::vector<core::MachineType>& { return types_; },
          leading, leader});
  spdlog::info("operators may ask at {} why a job waits", net::text_of(at));
}

void Node::won() {
  store_.set_share(share(true));
  job_replica_.set_watch_gap(kLeaderWatchGap);
  leader_ = std::make_unique<Leader>(io_, settings_, tuning_, leadership_, election_, store_,
                                     job_replica_, cloud_, history_, recorder_.get(), isolated_at_);
  if (!types_.empty()) leader_->set_catalog(types_);
  fetch_catalog_later(milliseconds(500));
}

void Node::lost() {
  store_.set_share(share(false));
  job_replica_.set_watch_gap(kFollowerWatchGap);
  // The leader may be in the middle of a callback: it ends when that has returned.
  // It must not outlive the node, whose parts it uses until its end.
  if (leader_) ended_.push_back(std::move(leader_));
  asio::post(io_, [this, alive = alive_] {
    if (*alive) ended_.clear();
  });
}

void Node::catalog_known(std::vector<core::MachineType> types) {
  types_ = std::move(types);
  if (leader_) leader_->set_catalog(types_);
}

void Node::fetch_catalog_later(milliseconds wait) {
  catalog_timer_.expires_after(wait);
  catalog_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) fetch_catalog();
  });
}

// The leader keeps the cloud's catalog in the store, so that a restart during an outage of the
// cloud still knows the machine types. Only the leader reads prices again.
void Node::fetch_catalog() {
  if (leadership_.leading()) return fetch_catalog_from_cloud();
  if (!types_.empty()) return;
  store_.get(kCatalogKey, RequestPriority::background,
             [this, alive = alive_](store::GetResult result) {
               if (!*alive) return;
               if (result.outcome == Outcome::ok) {
                 try {
                   return catalog_known(cloud::parse_catalog(result.item.value.dump()));
                 } catch (const std::exception& problem) {
                   spdlog::error("the stored catalog cannot be read: {}", problem.what());
                 }
               }
               fetch_catalog_from_cloud();
             });
}

void Node::fetch_catalog_from_cloud() {
  cloud_.catalog([this, alive = alive_](std::optional<cloud::CloudClient::Catalog> catalog) {
    if (!*alive) return;
    if (!catalog) return fetch_catalog_later(milliseconds(1500));
    catalog_known(std::move(catalog->types));
    if (!leadership_.leading()) return;
    if (!catalog_saved_) {
      store::Transaction save{{{kLeaderKey, leadership_.token()}},
                              {{kCatalogKey, Json::parse(catalog->body), std::nullopt}}};
      store_.commit(save, RequestPriority::background,
                    [this, alive](store::TransactionResult result) {
                      if (*alive) catalog_saved_ = result.outcome == Outcome::ok;
                    });
    }
    fetch_catalog_later(kCatalogInterval);
  });
}

core::JobCounts Node::counts(const core::JobId& id) const {
  if (leader_ && leader_->ready())
    if (const auto known = leader_->controller()->counts(id)) return *known;
  const auto told = reported_counts_.find(id);
  return told == reported_counts_.end() ? core::JobCounts{} : told->second;
}

void Node::on_peer_status(const peers::Status& status) {
  const auto now = Clock::now();
  auto& view = peer_views_[status.member];
  view.on_peer_status = now;
  view.store_answered =
      now - milliseconds(std::min<std::uint64_t>(status.store_silence_ms, 1'000'000));
  view.token = status.token;
  if (leader_ && status.token == 0) leader_->note_follower(status.member, status.follows);
  if (leader_ && status.workers_silence_ms < kRecentWorkerMs)
    leader_->note_peer_receives_heartbeats(now);
  for (const auto& count : status.counts)
    if (job_replica_.find(count.id) != nullptr)
      reported_counts_[count.id] = {count.done, count.running};
}

void Node::broadcast_status() {
  peers::Status status;
  status.member = settings_.member;
  const auto ms_since = [now = Clock::now()](core::TimePoint then) {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now - then).count());
  };
  status.store_silence_ms = ms_since(store_answered_);
  if (last_worker_request_) status.workers_silence_ms = ms_since(*last_worker_request_);
  status.token = leadership_.token();
  status.follows = election_.leader() ? election_.leader()->revision : 0;
  if (leader_ && leader_->ready())
    for (const auto& [id, job] : leader_->controller()->jobs()) {
      const auto known = leader_->controller()->counts(id);
      if (known && (known->done > 0 || known->running > 0) && status.counts.size() < 2000)
        status.counts.push_back({id, known->done, known->running});
    }
  peer_network_.broadcast(status);
}

void Node::schedule_second() {
  second_timer_.expires_after(std::chrono::seconds(1));
  second_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!*alive || error) return;
    store_.get(kCatalogKey, RequestPriority::background, [this, alive](store::GetResult result) {
      if (*alive && (result.outcome == Outcome::ok || result.outcome == Outcome::not_found))
        store_answered_ = Clock::now();
    });
    broadcast_status();
    share_sockets();
    schedule_second();
  });
}

// Machines are known to the leader alone. The others are asked by workers that look for it, and by
// whoever was served by them before, for a moment each: they keep as much as they may.
void Node::share_sockets() {
  const core::SocketBudget budget{settings_.max_sockets, settings_.nodes()};
  const auto shares = leader_ && leader_->ready() ? leader_->controller()->commands().shares()
                                                  : core::share_sockets(budget, budget.sockets);
  server_.set_limits(shares.accepted(budget.sockets), shares.heartbeats, shares.users);
}

// A node alone in having lost the store is unhealthy, and so is one that has lost its siblings with
// it: users are not to wait on it. In an outage that all share it stays: each removal would double
// the time that it stays out afterwards.
bool Node::healthy() const {
  const auto now = Clock::now();
  if (!job_replica_.synced()) return false;
  if (now - store_answered_ < kStoreLost) return true;
  bool any_responsive = settings_.peers.empty();
  for (const auto& [member, view] : peer_views_) {
    if (now - view.on_peer_status > kStoreLost) continue;
    any_responsive = true;
    if (now - view.store_answered < kStoreLost) return false;
  }
  return any_responsive;
}

void Node::health(const net::Responder& respond) {
  if (healthy()) return respond({200, R"({"status":"ok"})", {}});
  respond({503, R"({"status":"the state service is out of reach"})", std::chrono::seconds(1)});
}

void Node::report(const net::Request& request, const net::Responder& respond) {
  last_worker_request_ = Clock::now();
  if (leader_ && leader_->ready()) return leader_->handle_heartbeat(request, respond);
  const auto member = election_.current_member();
  if (!member.empty() && member != settings_.member)
    return respond({421, Json{{"foreman", member}}.dump(), {}});
  respond({503, R"({"error":"no leader is known"})", std::chrono::seconds(1)});
}

void Node::route(net::Request&& request, const net::Responder& respond) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const net::Response wrong_method{405, R"({"error":"method not allowed"})", {}};
  if (path == kReportPath)
    return request.method == "POST" ? report(request, respond) : respond(wrong_method);
  if (path == "/healthz") return request.method == "GET" ? health(respond) : respond(wrong_method);
  if (path == "/v1/jobs")
    return request.method == "POST" ? users_.submit(request, respond) : respond(wrong_method);
  static const std::string jobs = "/v1/jobs/";
  static const std::string withdraw = "/withdraw";
  if (path.starts_with(jobs)) {
    auto id = path.substr(jobs.size());
    if (id.ends_with(withdraw)) {
      id.resize(id.size() - withdraw.size());
      return request.method == "POST" ? users_.cancel(id, respond) : respond(wrong_method);
    }
    if (id.find('/') == std::string::npos)
      return request.method == "GET" ? users_.poll(id, respond) : respond(wrong_method);
  }
  respond({404, R"({"error":"no such path"})", {}});
}

}  // namespace violetpulley
