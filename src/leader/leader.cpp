#include "leader/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "agent/agent_codec.hpp"
#include "failover/controller_settings.hpp"
#include "store/record_codec.hpp"
#include "wall_clock.hpp"

namespace violetpulley {

using core::Clock;
using failover::FailoverStep;

namespace {

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::seconds kListInterval{10};
/// After a resignation because of isolation, the next leader of this process does not resign for
/// the same cause within this time.
constexpr std::chrono::minutes kMinIsolationResignInterval{3};
constexpr std::chrono::seconds kHeartbeatRetryAfter{1};

/// Limit of the connections for commands until the number of machines is known.
std::size_t initial_command_connections(const config::Settings& settings) {
  return core::allocate_sockets({settings.max_sockets, settings.nodes()}, 0).commands;
}

}  // namespace

Leader::Leader(const Services& services)
    : services_(services),
      token_(services.leadership.token()),
      failover_log_(Clock::now()),
      writer_(services.store, token_, services.settings.state_changes_per_transaction,
              store::page_bytes(services.settings),
              [this](store::Revision revision) {
                spdlog::debug("leader key of revision {} was unchanged at revision {}", token_,
                              revision);
                if (controller_) feed(core::LeadershipProven{revision});
              }),
      read_barriers_(services.io, services.leadership, services.job_replica),
      command_sender_(
          services.io, token_, initial_command_connections(services.settings),
          lifetime_.guard([this](const core::MachineId& id, const core::Heartbeat* heartbeat) {
            commands_answered(id, heartbeat);
          })),
      executor_({services.io, services.election, services.job_replica, writer_, command_sender_,
                 services.cloud},
                token_, store::page_bytes(services.settings), executor_events()),
      job_verifier_(services.io, services.election, services.job_replica, verifier_events()),
      tick_timer_(services.io) {
  if (services.recorder != nullptr) learned_state_ = services.recorder->learned_state();
  if (services.history.location == config::HistoryLocation::state_service) {
    learned_state_store_ = make_learned_state_store();
    load_learned_state();
  }
  reader_ = make_recovered_state_reader();
}

Leader::~Leader() {
  lifetime_.end();
  if (services_.recorder != nullptr && controller_)
    services_.recorder->leader_ends(controller_->learned_state(Clock::now(), wall_now()));
}

ActionExecutor::Events Leader::executor_events() {
  return {[this](const core::Event& event) { feed(event); }, [this] { schedule_core_run(); },
          [this](const core::SendCommands& batch) {
            failover_log_.record_first_commands(batch, *controller_);
          },
          [this] { services_.isolated_at = Clock::now(); }};
}

JobVerifier::Events Leader::verifier_events() {
  return {[this](const core::JobRecord& record, core::TimePoint now) {
            feed(core::JobOpened{record}, now);
          },
          [this] { schedule_core_run(); }};
}

std::unique_ptr<store::LearnedStateStore> Leader::make_learned_state_store() {
  const auto& history = services_.history;
  return std::make_unique<store::LearnedStateStore>(
      services_.store, writer_, token_,
      store::LearnedStateSettings{history.key, history.log.snapshot_interval, history.max_age,
                                  store::page_bytes(services_.settings)});
}

// The failover does not wait for the read: if it completes first, the core starts without the
// learned state.
void Leader::load_learned_state() {
  learned_state_store_->load(wall_now(), [this](std::optional<core::LearnedState> found) {
    if (found) learned_state_ = std::move(*found);
  });
}

std::unique_ptr<failover::RecoveredStateReader> Leader::make_recovered_state_reader() {
  return std::make_unique<failover::RecoveredStateReader>(
      services_.io, token_, services_.tuning.commit_starts, services_.store, writer_,
      services_.job_replica, read_barriers_, services_.election, failover_log_.timeline(),
      [this](core::RecoveredState recovered) { start_leading(std::move(recovered)); });
}

void Leader::start_leading(core::RecoveredState recovered) {
  auto settings = controller_settings();
  const auto now = Clock::now();
  spdlog::info("failover: recovered {} jobs, {} machines, {} progress records",
               recovered.jobs.size(), recovered.machines.size(), recovered.progress.size());
  JobIds recovered_jobs;
  for (const auto& record : recovered.jobs) recovered_jobs.insert(record.spec.id);
  erase_placements_of_closed_jobs(recovered, recovered_jobs, now);
  adopt_learned_state(recovered, settings.wall_at_start);
  make_core(std::move(settings), std::move(recovered), now);
  feed_catalog();
  catch_up_with_replica(recovered_jobs, now);
  read_barriers_.run();
  run_core();
  schedule_tick();
}

core::ControllerSettings Leader::controller_settings() const {
  const auto& isolated_at = services_.isolated_at;
  const bool resigns = !isolated_at || Clock::now() - *isolated_at > kMinIsolationResignInterval;
  return failover::controller_settings(services_.settings, services_.tuning, wall_now(), resigns);
}

void Leader::erase_placements_of_closed_jobs(const core::RecoveredState& recovered,
                                             const JobIds& open, core::TimePoint now) {
  for (const auto& record : recovered.placements)
    if (!open.contains(record.job)) writer_.placements().erase(record.job, now);
}

void Leader::adopt_learned_state(core::RecoveredState& recovered, core::WallTime wall) {
  recovered.learned_state = std::move(learned_state_);
  const auto& learned = recovered.learned_state;
  if (learned.empty()) return;
  spdlog::info(
      "failover: learned state {:.1f} s old about {} jobs, {} machines, {} refused offerings",
      learned.elapsed(wall).count(), learned.jobs.size(), learned.machines.size(),
      learned.cooldowns.size());
}

void Leader::make_core(core::ControllerSettings settings, core::RecoveredState recovered,
                       core::TimePoint now) {
  const auto former_leases_end = services_.leadership.former_leases_end(now);
  const core::LeaderElected event{std::move(settings), token_, former_leases_end,
                                  std::move(recovered)};
  if (services_.recorder != nullptr) services_.recorder->leader_elected(now, event);
  controller_ = core::make_controller(event, now);
  feed(core::LeadershipProven{token_}, now);
  failover_log_.timeline().record(FailoverStep::core_built, Clock::now());
}

// Handles the jobs that were opened or closed since the read barrier of the recovery.
void Leader::catch_up_with_replica(const JobIds& recovered, core::TimePoint now) {
  const auto& replica = services_.job_replica;
  for (const auto& id : recovered)
    if (replica.find(id) == nullptr) feed(core::JobClosed{id}, now);
  for (const auto& [id, record] : replica.jobs())
    if (!recovered.contains(id)) job_verifier_.add(record);
  job_verifier_.verify();
}

void Leader::feed(const core::Event& event, core::TimePoint now) {
  if (services_.recorder != nullptr) services_.recorder->record(now, event);
  core::apply(*controller_, event, now);
}

// New prices change every machine, and a snapshot in progress would have to write all machines at
// once (history/state_capture.hpp). The catalog is therefore fed after the snapshot is complete.
void Leader::feed_catalog() {
  if (!catalog_due_) return;
  if (services_.recorder != nullptr && services_.recorder->snapshotting()) return;
  catalog_due_ = false;
  feed(core::CatalogReceived{types_});
}

void Leader::commands_answered(const core::MachineId& machine, const core::Heartbeat* heartbeat) {
  if (!controller_) return;
  core::CommandsAnswered event{machine, std::nullopt};
  if (heartbeat != nullptr) {
    failover_log_.timeline().record(FailoverStep::first_answer, Clock::now());
    event.heartbeat = *heartbeat;
  }
  feed(event);
  schedule_core_run();
}

void Leader::schedule_core_run() {
  if (core_run_posted_) return;
  core_run_posted_ = true;
  asio::post(services_.io, lifetime_.guard([this] {
    core_run_posted_ = false;
    run_core();
  }));
}

void Leader::run_core() {
  if (!controller_) return;
  const auto now = Clock::now();
  const auto& leadership = services_.leadership;
  feed_catalog();
  feed(core::Ticked{leadership.may_serve(now), leadership.last_proven()}, now);
  const auto actions = controller_->take_actions();
  if (services_.recorder != nullptr) services_.recorder->record_actions(now, actions);
  command_sender_.set_max_connections(controller_->commands().shares().commands);
  for (const auto& action : actions) executor_.dispatch(action);
  writer_.flush(now);
  failover_log_.check_reconciled(*controller_, now);
  attempt_log_.log_notes(*controller_, now);
  save_history(now);
}

void Leader::schedule_tick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) tick();
  }));
}

void Leader::tick() {
  run_core();
  const auto now = Clock::now();
  failover_log_.check_timeline(now);
  if (!listing_ && now - last_list_ > kListInterval) list_machines();
  summary_log_.log_due(*controller_, now);
  schedule_tick();
}

void Leader::save_history(core::TimePoint now) {
  if (services_.recorder != nullptr) services_.recorder->write_due(*controller_, now, wall_now());
  if (learned_state_store_ && learned_state_store_->due(now))
    learned_state_store_->save(controller_->learned_state(now, wall_now()), now);
}

void Leader::list_machines() {
  using Machines = std::optional<std::vector<core::ListedMachine>>;
  listing_ = true;
  services_.cloud.list(lifetime_.guard([this](Machines machines) {
    listing_ = false;
    last_list_ = Clock::now();
    if (!machines) return;
    feed(core::CloudListed{std::move(*machines)});
    schedule_core_run();
  }));
}

// A status that names this leader's key was sent after the key was created. A node that does not
// lead answers no heartbeat, and if it leads again it has a higher fencing token. So once all peers
// have sent such a status, no former leader is left (docs/safety.md, "Older leaders that are known
// to be gone"). A peer of an older program version names no key; then the leader waits until the
// leases of former leaders have expired.
void Leader::handle_follower_status(const std::string& member, core::FencingToken followed_token) {
  if (followed_token != token_ || !controller_ || !controller_->recovering()) return;
  const auto& peers = services_.settings.peers;
  const auto known = std::any_of(peers.begin(), peers.end(),
                                 [&](const auto& peer) { return peer.member == member; });
  if (!known || !followers_.insert(member).second) return;
  if (followers_.size() < peers.size()) return;
  spdlog::info("all {} other controllers follow this leader, so no former leader is left",
               followers_.size());
  feed(core::FormerLeadersGone{});
}

void Leader::handle_peer_receives_heartbeats(core::TimePoint now) {
  if (controller_ && controller_->possibly_isolated(now)) feed(core::PeerReceivesHeartbeats{}, now);
}

void Leader::job_opened(const core::JobRecord& record) {
  if (!controller_) return;
  job_verifier_.add(record);
  job_verifier_.verify();
}

void Leader::job_closed(const core::JobId& id) {
  job_verifier_.remove(id);
  if (!controller_) return;
  if (services_.tuning.commit_starts) writer_.placements().erase(id, Clock::now());
  feed(core::JobClosed{id});
  schedule_core_run();
}

void Leader::set_catalog(const std::vector<core::MachineType>& types) {
  types_ = types;
  catalog_due_ = true;
  if (controller_) schedule_core_run();
}

void Leader::handle_heartbeat(const net::Request& request, const net::Responder& respond) {
  const auto now = Clock::now();
  const net::Response may_not_serve{503, R"({"error":"not entitled to lead now"})",
                                    kHeartbeatRetryAfter};
  if (!controller_ || !services_.leadership.may_serve(now)) return respond(may_not_serve);
  core::Heartbeat heartbeat;
  try {
    heartbeat = agent::parse_heartbeat(request.body);
  } catch (const agent::DecodeError& problem) {
    spdlog::warn("malformed heartbeat refused: {}", problem.what());
    return respond({400, R"({"error":"malformed report"})", {}});
  }
  const core::HeartbeatReceived event{std::move(heartbeat)};
  feed(event, now);
  schedule_core_run();
  // The agent ignores a 200 with a lower token: it would keep sending heartbeats to this node while
  // its lease expires.
  if (!controller_->is_known_token(event.heartbeat.token))
    return respond({503, R"({"error":"another controller leads"})", kHeartbeatRetryAfter});
  const auto& machine = event.heartbeat.machine;
  const auto commands = controller_->response_commands(event.heartbeat);
  controller_->record_response(machine, commands, now);
  auto body = agent::response_body(controller_->response_token(machine), commands);
  // Checked again just before the response: the process may have been suspended since the first
  // check.
  if (!services_.leadership.may_serve(Clock::now())) return respond(may_not_serve);
  respond({200, std::move(body), {}});
}

}  // namespace violetpulley
