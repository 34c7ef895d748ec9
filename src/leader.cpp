#include "leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "agent/agent_codec.hpp"
#include "failover/controller_settings.hpp"
#include "store/record_codec.hpp"
#include "wall_clock.hpp"

namespace violetpulley {

using core::Clock;
using failover::Step;
using std::chrono::milliseconds;
using store::Json;
using store::Outcome;

namespace {

constexpr std::uint64_t kSummariesPerCostLine = 6;  // summaries
constexpr milliseconds kTick{100};
constexpr std::chrono::minutes kIsolationMemory{3};
constexpr std::chrono::seconds kListInterval{10};

}  // namespace

Leader::Leader(asio::io_context& io, const config::Settings& settings, const core::Tuning& tuning,
               core::Leadership& leadership, store::Election& election, store::StoreClient& store,
               store::JobReplica& job_replica, cloud::CloudClient& cloud,
               const config::HistorySettings& history, history::Recorder* recorder,
               std::optional<core::TimePoint>& isolated_at)
    : io_(io),
      settings_(settings),
      tuning_(tuning),
      leadership_(leadership),
      election_(election),
      store_(store),
      job_replica_(job_replica),
      cloud_(cloud),
      token_(leadership.token()),
      elected_at_(Clock::now()),
      steps_(elected_at_),
      isolated_at_(isolated_at),
      recorder_(recorder),
      writer_(store, token_, settings.state_changes_per_transaction, store::page_bytes(settings)),
      read_barriers_(io, leadership, job_replica),
      command_sender_(
          io, token_, core::share_sockets({settings.max_sockets, settings.nodes()}, 0).commands,
          [this, alive = alive_](const core::MachineId& id, const core::Heartbeat* heartbeat) {
            if (!*alive || !controller_) return;
            if (heartbeat != nullptr) steps_.note(Step::first_answer, Clock::now());
            feed(core::CommandsAnswered{
                id, heartbeat == nullptr ? std::nullopt : std::optional(*heartbeat)});
            schedule_pump();
          }),
      tick_timer_(io),
      verify_timer_(io),
      mark_timer_(io) {
  if (recorder_ != nullptr) learned_state_ = recorder_->learned_state();
  if (history.home == config::HistoryHome::state_service) {
    learned_state_store_ = std::make_unique<store::LearnedStateStore>(
        store_, writer_, token_,
        store::LearnedStateSettings{history.key, history.log.snapshot_interval, history.max_age,
                                    store::page_bytes(settings)});
    // Nothing waits for it: a takeover that is faster goes without.
    learned_state_store_->load(wall_now(), [this](std::optional<core::LearnedState> found) {
      if (found) learned_state_ = std::move(*found);
    });
  }
  reader_ = std::make_unique<failover::RecoveredStateReader>(
      io_, token_, tuning_.commit_starts, store_, writer_, job_replica_, read_barriers_, election_,
      steps_, [this](core::RecoveredState inheritance) { start_leading(std::move(inheritance)); });
}

Leader::~Leader() {
  *alive_ = false;
  if (recorder_ != nullptr && controller_)
    recorder_->leader_ends(controller_->learned_state(Clock::now(), wall_now()));
}

void Leader::feed(core::Event event, core::TimePoint now) {
  if (recorder_ != nullptr) recorder_->record(now, event);
  core::apply(*controller_, event, now);
}

// Between events, when the actions of all before were taken.
void Leader::keep_history(core::TimePoint now) {
  if (recorder_ != nullptr) recorder_->pump(*controller_, now, wall_now());
  if (learned_state_store_ && learned_state_store_->due(now))
    learned_state_store_->save(controller_->learned_state(now, wall_now()), now);
}

void Leader::save_placements(const core::SavePlacements& action) {
  const auto& job = action.record.job;
  auto record = action.record;
  if (store::placements_bytes(record) > store::page_bytes(settings_)) record = {job, {}, false};
  writer_.placements().put(job, store::placements_to_json(record), store::placements_bytes(record),
                           store::WritePriority::urgent, Clock::now(),
                           [this, job, version = action.version] {
                             feed(core::PlacementsSaved{job, version});
                             schedule_pump();
                           });
}

void Leader::mark_placements() {
  writer_.commit({{}, {{store::kPlacementsMark, Json{{"token", token_}}, std::nullopt}}},
                 [this](const store::TransactionResult& result) {
                   if (result.outcome == Outcome::ok) {
                     spdlog::info("starts of gangs and services are recorded from here on");
                     return;
                   }
                   mark_timer_.expires_after(std::chrono::seconds(2));
                   mark_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
                     if (*alive && !error) mark_placements();
                   });
                 });
}

void Leader::start_leading(core::RecoveredState recovered) {
  const bool resigns = !isolated_at_ || Clock::now() - *isolated_at_ > kIsolationMemory;
  auto controller = failover::controller_settings(settings_, tuning_, wall_now(), resigns);
  const auto now = Clock::now();
  spdlog::info("takeover: {} jobs, {} machines, {} progress records", recovered.jobs.size(),
               recovered.machines.size(), recovered.progress.size());
  std::set<core::JobId> known;
  for (const auto& record : recovered.jobs) known.insert(record.spec.id);
  for (const auto& record : recovered.placements)
    if (!known.contains(record.job)) writer_.placements().erase(record.job, now);
  recovered.learned_state = std::move(learned_state_);
  if (!recovered.learned_state.empty())
    spdlog::info("takeover: beliefs {:.1f} s old about {} jobs, {} machines, {} refused types",
                 recovered.learned_state.elapsed(controller.wall_at_start).count(),
                 recovered.learned_state.jobs.size(), recovered.learned_state.machines.size(),
                 recovered.learned_state.cooldowns.size());
  const core::LeaderElected event{std::move(controller), token_, leadership_.former_leases_end(now),
                                  std::move(recovered)};
  if (recorder_ != nullptr) recorder_->leader_elected(now, event);
  controller_ = core::make_controller(event, now);
  steps_.note(Step::core_built, Clock::now());
  feed_catalog();
  // What opened or closed between the barrier and now.
  for (const auto& id : known)
    if (job_replica_.find(id) == nullptr) feed(core::JobClosed{id}, now);
  for (const auto& [id, record] : job_replica_.jobs())
    if (!known.contains(id)) unverified_[id] = record;
  verify_jobs();
  read_barriers_.keep();
  pump();
  schedule_tick();
}

void Leader::schedule_tick() {
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!*alive || error) return;
    pump();
    const auto now = Clock::now();
    log_timeline(now);
    if (!listing_ && now - last_list_ > kListInterval) list_machines();
    if (now - last_summary_ > std::chrono::seconds(5)) {
      last_summary_ = now;
      spdlog::info("{}", controller_->summary());
      cost_breakdown_.sample(controller_->fleet(), now);
      if (++summaries_ % kSummariesPerCostLine == 0) spdlog::info("{}", cost_breakdown_.text());
    }
    schedule_tick();
  });
}

void Leader::schedule_pump() {
  if (pump_posted_) return;
  pump_posted_ = true;
  asio::post(io_, [this, alive = alive_] {
    if (!*alive) return;
    pump_posted_ = false;
    pump();
  });
}

void Leader::pump() {
  if (!controller_) return;
  const auto now = Clock::now();
  feed_catalog();
  feed(core::Ticked{leadership_.may_serve(now), leadership_.last_proven()}, now);
  auto actions = controller_->take_actions();
  if (recorder_ != nullptr) recorder_->record_actions(now, actions);
  command_sender_.set_max_connections(controller_->commands().shares().commands);
  for (auto& action : actions) execute(action);
  writer_.flush(now);
  if (!recovered_ && !controller_->recovering()) {
    recovered_ = true;
    recovered_at_ = now;
    steps_.note(Step::reconciled, now);
    log_reconciliation(now);
  }
  keep_history(now);
}

// It was said after our key was won, since it names it; a node that does not lead answers no
// report, and if it ever leads again it has a higher token (docs/safety.md, "Older leaders that are
// known to be gone"). A follower of an older program names no key and leaves the longer wait.
void Leader::note_follower(const std::string& member, core::FencingToken follows) {
  if (follows != token_ || !controller_ || !controller_->recovering()) return;
  const auto known = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                 [&](const auto& peer) { return peer.member == member; });
  if (!known || !followers_.insert(member).second) return;
  if (followers_.size() < settings_.peers.size()) return;
  spdlog::info("no older leader is left: all {} other controllers follow", followers_.size());
  feed(core::FormerLeadersGone{});
}

void Leader::note_peer_receives_heartbeats(core::TimePoint now) {
  if (controller_ && controller_->possibly_isolated(now)) feed(core::PeerReceivesHeartbeats{}, now);
}

void Leader::note_commands(const core::SendCommands& batch) {
  if (timeline_logged_) return;
  const auto now = Clock::now();
  steps_.note(Step::first_command, now);
  for (const auto& command : batch.commands) {
    if (command.type != core::CommandType::start) continue;
    const auto job = controller_->jobs().find(command.task.job);
    if (job != controller_->jobs().end())
      steps_.note(job->second.from_former_leader ? Step::first_start_of_older_task
                                                 : Step::first_start_of_newer_task,
                  now);
  }
}

// Once the first older task was started after the reckoning, or a while later where none waits.
void Leader::log_timeline(core::TimePoint now) {
  constexpr std::chrono::seconds kPatience{5};
  if (timeline_logged_ || !recovered_) return;
  if (!steps_.reached(Step::first_start_of_older_task) && now - recovered_at_ < kPatience) return;
  timeline_logged_ = true;
  spdlog::info("takeover steps, seconds after the key: {}", steps_.text());
}

// What operations.md explains under "After a takeover".
void Leader::log_reconciliation(core::TimePoint now) {
  const auto& reconciler = controller_->reconciler();
  const auto& cost = reconciler.cost();
  spdlog::info(
      "recovered {:.1f} s after the key; held up beside free room: {:.0f} task-seconds of "
      "arrays, {:.0f} of gangs, {:.0f} of replicas ({:.0f} of jobs that were seen nowhere)",
      core::Seconds(now - elected_at_).count(), cost.arrays.count(), cost.gangs.count(),
      cost.replicas.count(), cost.unseen.count());
  const auto& s = reconciler.stats();
  spdlog::info(
      "squared: asked={} most_at_once={} adopted={} done_unstored={} stored_done={} "
      "second_copies={} of_no_job={} unregistered={} new_sessions={} late={} returned={}",
      reconciler.queries_sent(), controller_->commands().window().peak(), s.adopted,
      s.done_unrecorded, s.stored_done, s.duplicate_copies, s.unknown_job, s.unregistered,
      s.new_epochs, s.stale_heartbeats, s.declared_dead);
}

void Leader::job_opened(const core::JobRecord& record) {
  if (!controller_) return;
  unverified_[record.spec.id] = record;
  verify_jobs();
}

void Leader::job_closed(const core::JobId& id) {
  unverified_.erase(id);
  if (!controller_) return;
  if (tuning_.commit_starts) writer_.placements().erase(id, Clock::now());
  feed(core::JobClosed{id});
  schedule_pump();
}

// A job may be placed only if it was read while this node verifiably led: a proof sent after the
// read shows it (docs/safety.md, "One copy of a task", 3).
void Leader::verify_jobs() {
  if (verifying_ || unverified_.empty()) return;
  verifying_ = true;
  auto batch = std::exchange(unverified_, {});
  election_.prove([this, alive = alive_, batch = std::move(batch)](bool ours) {
    if (!*alive) return;
    const auto now = Clock::now();
    for (const auto& [id, record] : batch) {
      if (job_replica_.find(id) == nullptr) continue;
      if (ours)
        feed(core::JobOpened{record}, now);
      else
        unverified_.emplace(id, record);
    }
    schedule_pump();
    verify_timer_.expires_after(ours ? milliseconds(30) : milliseconds(300));
    verify_timer_.async_wait([this, alive](const asio::error_code& error) {
      if (!*alive || error) return;
      verifying_ = false;
      verify_jobs();
    });
  });
}

void Leader::set_catalog(const std::vector<core::MachineType>& types) {
  types_ = types;
  catalog_due_ = true;
  if (controller_) schedule_pump();
}

// Prices change every machine: that waits until a save is made, which would have to write all of
// them at once (history/state_capture.hpp).
void Leader::feed_catalog() {
  if (!catalog_due_ || (recorder_ != nullptr && recorder_->snapshotting())) return;
  catalog_due_ = false;
  feed(core::CatalogKnown{types_});
}

void Leader::list_machines() {
  listing_ = true;
  cloud_.list([this, alive = alive_](std::optional<std::vector<core::ListedMachine>> machines) {
    if (!*alive) return;
    listing_ = false;
    last_list_ = Clock::now();
    if (!machines) return;
    feed(core::CloudListed{std::move(*machines)});
    schedule_pump();
  });
}

void Leader::handle_heartbeat(const net::Request& request, const net::Responder& respond) {
  const auto now = Clock::now();
  const net::Response refused{503, R"({"error":"not entitled to lead now"})",
                              std::chrono::seconds(1)};
  if (!controller_ || !leadership_.may_serve(now)) return respond(refused);
  core::Heartbeat heartbeat;
  try {
    heartbeat = agent::parse_heartbeat(request.body);
  } catch (const std::exception& problem) {
    spdlog::warn("malformed report: {}", problem.what());
    return respond({400, R"({"error":"malformed report"})", {}});
  }
  const core::HeartbeatReceived event{std::move(heartbeat)};
  feed(event, now);
  schedule_pump();
  // The worker would drop a 200 of a lower token and stay here while its lease runs out.
  if (event.heartbeat.token > token_)
    return respond({503, R"({"error":"another controller leads"})", std::chrono::seconds(1)});
  auto body = agent::response_body(token_, controller_->response_commands(event.heartbeat));
  // Decided now, not when the report was read: the process may have stood still between the two.
  if (!leadership_.may_serve(Clock::now())) return respond(refused);
  respond({200, std::move(body), {}});
}

void Leader::finish(const core::FinishJob& action) {
  const std::string job = store::kJobPrefix + action.job;
  const std::string end = store::kEndPrefix + action.job;
  store::Transaction transaction{
      {{job, action.revision}, {end, 0}},
      {{job, std::nullopt, std::nullopt}, {end, Json{{"state", "done"}}, std::nullopt}}};
  writer_.commit(std::move(transaction), [this, action](store::TransactionResult result) {
    if (result.outcome == Outcome::ok) {
      spdlog::info("job {} is done", action.job);
      forget_progress(action.job, action.chunks);
      job_replica_.note_closed(action.job, result.revision);
      return;
    }
    // Ended otherwise, or unknown: the mirror tells, and until then it is tried again.
    feed(core::FinishAnswered{action.job, Clock::now() + milliseconds(700)});
  });
}

void Leader::forget_progress(const core::JobId& job, const std::vector<core::TaskIndex>& chunks) {
  for (const auto chunk : chunks)
    writer_.progress().erase(store::progress_name(job, chunk), Clock::now());
}

void Leader::save_machine(const core::SaveMachine& action) {
  const auto now = Clock::now();
  const auto& record = action.record;
  const bool up = !record.endpoint.empty();
  auto& table = up ? writer_.machines() : writer_.provisioning();
  const auto priority =
      up && !action.only_images ? store::WritePriority::urgent : store::WritePriority::deferred;
  table.put(record.id, store::machine_to_json(record), store::kMachineBytes, priority, now,
            [this, id = record.id, up] {
              // Only now: until its registration is committed, the rental's record tells of the
              // machine.
              if (up) writer_.provisioning().erase(id, Clock::now());
              feed(core::MachineSaved{id, up, true});
              schedule_pump();
            });
}

void Leader::execute(core::Action& action) {
  const auto visit = [this]<typename T>(T& a) {
    if constexpr (std::is_same_v<T, core::SendCommands>) {
      note_commands(a);
      command_sender_.send(a);
    } else if constexpr (std::is_same_v<T, core::SaveMachine>) {
      save_machine(a);
    } else if constexpr (std::is_same_v<T, core::DeleteMachine>) {
      command_sender_.drop(a.id);
      writer_.machines().erase(a.id, Clock::now());
      writer_.provisioning().erase(a.id, Clock::now());
    } else if constexpr (std::is_same_v<T, core::SaveProgress>) {
      const auto name = store::progress_name(a.record.job, a.record.chunk);
      writer_.progress().put(name, store::progress_to_json(a.record, a.tasks_in_chunk),
                             store::progress_bytes(name, a.tasks_in_chunk),
                             store::WritePriority::deferred, Clock::now(), [this, saved = a] {
                               feed(core::ProgressSaved{saved, true});
                             });
    } else if constexpr (std::is_same_v<T, core::SavePlacements>) {
      save_placements(a);
    } else if constexpr (std::is_same_v<T, core::MarkPlacements>) {
      mark_placements();
    } else if constexpr (std::is_same_v<T, core::FinishJob>) {
      finish(a);
    } else if constexpr (std::is_same_v<T, core::DeleteProgress>) {
      forget_progress(a.job, a.chunks);
    } else if constexpr (std::is_same_v<T, core::ScaleOut>) {
      spdlog::info("renting {} {} {} in {} ({})", a.count, a.spot ? "spot" : "ordinary", a.type,
                   a.zone, a.name);
      cloud_.request_machines(
          a, [this, alive = alive_, request = a](const core::ScaleOutResult& answer) {
            if (!*alive) return;
            if (answer.machines.size() < static_cast<std::size_t>(request.count))
              spdlog::info("rental {} brought {} of {} machines", request.name,
                           answer.machines.size(), request.count);
            feed(core::ScaleOutAnswered{request.name, answer});
            schedule_pump();
          });
    } else if constexpr (std::is_same_v<T, core::ScaleIn>) {
      spdlog::info("returning {} machines ({}), first {}", a.machines.size(), a.cause,
                   a.machines.front());
      cloud_.release(a.machines, [this, alive = alive_, machines = a.machines](bool ok) {
        if (!*alive) return;
        if (!ok) spdlog::warn("machines could not be returned; will try again");
        feed(core::ScaleInAnswered{machines, ok});
        schedule_pump();
      });
    } else if constexpr (std::is_same_v<T, core::JobSuspected>) {
      spdlog::warn("job {} failed on {} machines and nowhere ended well: tried again in {:.0f} s",
                   a.job, a.machines, a.pause.count());
    } else if constexpr (std::is_same_v<T, core::Resign>) {
      if (a.isolated) isolated_at_ = Clock::now();
      asio::post(io_, [this, alive = alive_, cause = a.cause] {
        if (*alive) election_.resign(cause, std::chrono::seconds(8));
      });
    }
  };
  std::visit(visit, action);
}

}  // namespace violetpulley
