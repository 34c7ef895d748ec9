#include "node/node.hpp"

#include <spdlog/spdlog.h>

#include "node/store_share.hpp"
#include "store/store_keys.hpp"
#include "wall_clock.hpp"

namespace violetpulley {

using core::Clock;
using std::chrono::milliseconds;
using store::Outcome;
using store::RequestPriority;

namespace {

constexpr std::chrono::seconds kTickInterval{1};
/// A peer counts as receiving heartbeats if an agent sent it a request within this time.
constexpr std::uint64_t kRecentHeartbeatMs = 3000;
/// Upper bound for a silence of the state service that a peer reports: keeps the time arithmetic
/// from overflowing.
constexpr std::uint64_t kMaxSilenceMs = 1'000'000;
constexpr std::size_t kMaxReportedJobs = 2000;  // in one status
constexpr milliseconds kLeaderWatchDelay{50};
constexpr milliseconds kFollowerWatchDelay{400};
constexpr milliseconds kCatalogWaitAfterElection{500};
constexpr double kCloudRateFraction = 0.9;  // of the cloud's request limit

std::uint64_t seed_of(const std::string& member) {
  return std::hash<std::string>{}(member) ^ 0x9E3779B97F4A7C15ULL;
}

net::ServerLimits server_limits(const config::Settings& settings) {
  net::ServerLimits limits;
  // A machine that sent nothing for longer than its lease does not need its connection any more.
  limits.agent_idle_timeout =
      std::chrono::ceil<milliseconds>(settings.workers.lease + settings.workers.heartbeat_interval);
  return limits;
}

std::uint64_t ms_between(core::TimePoint then, core::TimePoint now) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now - then).count());
}

}  // namespace

Node::Node(asio::io_context& io, config::Settings settings,
           const config::OperatorSettings& operator_settings, config::HistorySettings history)
    : io_(io),
      settings_(std::move(settings)),
      tuning_(operator_settings.tuning),
      history_(std::move(history)),
      leadership_(settings_.workers, settings_.clock_skew),
      store_(io, net::parse_endpoint(settings_.state_address), store_share(settings_, false),
             seed_of(settings_.member)),
      job_replica_(io, store_, replica_events()),
      election_(io, store_, leadership_, settings_.member, settings_.peer_address,
                election_events(), seed_of(settings_.member) + 1),
      cloud_(io, net::parse_endpoint(settings_.cloud_address),
             settings_.cloud_requests_per_s * kCloudRateFraction),
      catalog_(io, store_, cloud_, leadership_,
               [this](const MachineTypes& types) {
                 if (leader_) leader_->set_catalog(types);
               }),
      user_api_(io, store_, job_replica_, user_environment()),
      heartbeat_endpoint_(settings_.member, election_, [this] { return ready_leader(); }),
      health_(!settings_.peers.empty(), Clock::now()),
      router_(endpoints()),
      tick_timer_(io),
      peer_network_(io, net::parse_endpoint(settings_.peer_address), settings_.peers,
                    peer_events()),
      server_(io, net::parse_endpoint(settings_.public_address), server_limits(settings_),
              request_handler(), RequestRouter::client_kind) {
  recorder_ = make_recorder();
  if (!operator_settings.diagnostics_address.empty())
    operator_api_ = make_operator_api(net::parse_endpoint(operator_settings.diagnostics_address));
  update_connection_limits();
  job_replica_.start();
  election_.start();
  catalog_.fetch();
  schedule_tick();
  spdlog::info("{} serves on {}, peer network on {}, {} peers", settings_.member,
               settings_.public_address, settings_.peer_address, settings_.peers.size());
}

Node::~Node() = default;

store::JobReplica::Events Node::replica_events() {
  return {[this](const core::JobRecord& record) {
            if (leader_) leader_->job_opened(record);
          },
          [this](const core::JobId& id) {
            reported_counts_.erase(id);
            if (leader_) leader_->job_closed(id);
          }};
}

store::Election::Events Node::election_events() {
  return {[this] { leadership_won(); }, [this](const std::string& /*cause*/) { leadership_lost(); },
          [] {}};
}

api::UserApi::Environment Node::user_environment() {
  return {settings_.teams, settings_.zones,
          [this]() -> const MachineTypes& { return catalog_.types(); },
          [this](const core::JobId& id) { return counts(id); }};
}

peers::PeerNetwork::Events Node::peer_events() {
  return {[this](const peers::Status& status) { handle_peer_status(status); },
          [this](const std::string& member) {
            leader_revision_at_disconnect_[member] = election_.leader_revision_of(member);
          },
          [this](const std::string& member) {
            election_.revoke_lease_of(member, leader_revision_at_disconnect_[member]);
          }};
}

RequestRouter::Endpoints Node::endpoints() {
  return {[this](const net::Request& request, const net::Responder& respond) {
            heartbeat_endpoint_.handle(request, respond);
          },
          [this](const net::Responder& respond) {
            respond(health_response(health_.healthy(job_replica_.synced(), Clock::now())));
          },
          user_api_};
}

net::RequestHandler Node::request_handler() {
  return [this](net::Request&& request, const net::Responder& respond) {
    router_.route(request, respond);
  };
}

std::unique_ptr<history::Recorder> Node::make_recorder() const {
  if (history_.location != config::HistoryLocation::directory) return nullptr;
  return std::make_unique<history::Recorder>(
      history::Recorder::Settings{history_.directory, history_.key, history_.log}, wall_now());
}

std::unique_ptr<api::OperatorApi> Node::make_operator_api(const asio::ip::tcp::endpoint& address) {
  const auto leading_core = [this]() -> const core::Controller* {
    const auto* leader = ready_leader();
    return leader == nullptr ? nullptr : leader->controller();
  };
  const auto leader_address = [this, port = address.port()] {
    return leader_operator_address(port);
  };
  auto operator_api = std::make_unique<api::OperatorApi>(
      io_, address,
      api::OperatorApi::Environment{settings_.teams,
                                    [this]() -> const MachineTypes& { return catalog_.types(); },
                                    leading_core, leader_address});
  spdlog::info("operator API (why a job waits) listens on {}", net::text_of(address));
  return operator_api;
}

void Node::leadership_won() {
  store_.set_share(store_share(settings_, true));
  job_replica_.set_watch_delay(kLeaderWatchDelay);
  leader_ = std::make_unique<Leader>(Leader::Services{io_, settings_, tuning_, leadership_,
                                                      election_, store_, job_replica_, cloud_,
                                                      history_, recorder_.get(), isolated_at_});
  if (!catalog_.types().empty()) leader_->set_catalog(catalog_.types());
  catalog_.fetch_later(kCatalogWaitAfterElection);
}

void Node::leadership_lost() {
  store_.set_share(store_share(settings_, false));
  job_replica_.set_watch_delay(kFollowerWatchDelay);
  // A callback of the leader may be running, so the leader is destroyed only after the callback has
  // returned. The node owns the leader until then, because the leader uses components of the node.
  if (leader_) former_leaders_.push_back(std::move(leader_));
  asio::post(io_, lifetime_.guard([this] { former_leaders_.clear(); }));
}

Leader* Node::ready_leader() const { return leader_ && leader_->ready() ? leader_.get() : nullptr; }

std::optional<asio::ip::tcp::endpoint> Node::leader_operator_address(
    asio::ip::port_type port) const {
  const auto member = election_.leader_name();
  for (const auto& peer : settings_.peers) {
    if (peer.member != member) continue;
    return asio::ip::tcp::endpoint(net::parse_endpoint(peer.peer_address).address(), port);
  }
  return std::nullopt;
}

void Node::schedule_tick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) tick();
  }));
}

void Node::tick() {
  check_store();
  broadcast_status();
  update_connection_limits();
  schedule_tick();
}

// The value does not matter: any answer shows that the state service can be reached.
void Node::check_store() {
  store_.get(store::kCatalogKey, RequestPriority::background,
             lifetime_.guard([this](const store::GetResult& result) {
               if (result.outcome == Outcome::ok || result.outcome == Outcome::not_found)
                 health_.record_store_answer(Clock::now());
             }));
}

void Node::broadcast_status() {
  const auto now = Clock::now();
  peers::Status status;
  status.member = settings_.member;
  status.store_silence_ms = ms_between(health_.store_answered(), now);
  if (const auto& last = heartbeat_endpoint_.last_request())
    status.agents_silence_ms = ms_between(*last, now);
  status.token = leadership_.token();
  status.followed_token = election_.leader() ? election_.leader()->revision : 0;
  add_job_counts(status);
  peer_network_.broadcast(status);
}

void Node::add_job_counts(peers::Status& status) const {
  const auto* leader = ready_leader();
  if (leader == nullptr) return;
  const auto& controller = *leader->controller();
  for (const auto& [id, job] : controller.jobs()) {
    const auto known = controller.counts(id);
    if (known && (known->done > 0 || known->running > 0) && status.counts.size() < kMaxReportedJobs)
      status.counts.push_back({id, known->done, known->running});
  }
}

// Only the leader knows the number of machines and divides its connections accordingly. Other nodes
// receive short requests from agents that search for the leader and from users of the former
// leader, and accept as many connections as the socket budget allows.
void Node::update_connection_limits() {
  const core::SocketBudget budget{settings_.max_sockets, settings_.nodes()};
  const auto* leader = ready_leader();
  const auto shares = leader != nullptr ? leader->controller()->commands().shares()
                                        : core::allocate_sockets(budget, budget.sockets);
  server_.set_limits(shares.accepted(budget.sockets), shares.heartbeats, shares.users);
}

void Node::handle_peer_status(const peers::Status& status) {
  const auto now = Clock::now();
  const milliseconds store_silence(std::min<std::uint64_t>(status.store_silence_ms, kMaxSilenceMs));
  health_.record_peer_status(status.member, now, store_silence);
  if (leader_ && status.token == 0)
    leader_->handle_follower_status(status.member, status.followed_token);
  if (leader_ && status.agents_silence_ms < kRecentHeartbeatMs)
    leader_->handle_peer_receives_heartbeats(now);
  for (const auto& count : status.counts)
    if (job_replica_.find(count.id) != nullptr)
      reported_counts_[count.id] = {count.done, count.running};
}

core::JobCounts Node::counts(const core::JobId& id) const {
  if (const auto* leader = ready_leader())
    if (const auto known = leader->controller()->counts(id)) return *known;
  const auto reported = reported_counts_.find(id);
  return reported == reported_counts_.end() ? core::JobCounts{} : reported->second;
}

}  // namespace violetpulley
