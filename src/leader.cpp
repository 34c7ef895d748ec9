#include "leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "agent/agent_codec.hpp"
#include "standby/controller_settings.hpp"
#include "store/leader_records.hpp"
#include "wall_clock.hpp"

namespace violetpulley {

using core::Clock;
using standby::Step;
using std::chrono::milliseconds;
using store::Json;
using store::Outcome;
using store::Urgency;

namespace {

constexpr std::uint64_t kSpendingEvery = 6;  // summaries
constexpr milliseconds kTick{100};
constexpr std::chrono::minutes kDeafRemembered{3};
constexpr std::chrono::seconds kListEvery{10};

}  // namespace

Leader::Leader(asio::io_context& io, const config::Settings& settings, const core::Tuning& tuning,
               core::Leadership& leadership, store::Election& election, store::StoreClient& store,
               store::JobMirror& mirror, cloud::CloudClient& cloud,
               const config::HistorySettings& history, history::Keeper* keeper,
               std::optional<core::TimePoint>& deaf_at)
    : io_(io),
      settings_(settings),
      tuning_(tuning),
      leadership_(leadership),
      election_(election),
      store_(store),
      mirror_(mirror),
      cloud_(cloud),
      token_(leadership.token()),
      won_at_(Clock::now()),
      steps_(won_at_),
      deaf_at_(deaf_at),
      keeper_(keeper),
      writer_(store, token_, settings.state_changes_per_transaction, store::page_bytes(settings)),
      briefing_(io, leadership, mirror),
      orders_(io, token_, core::share_sockets({settings.max_sockets, settings.nodes()}, 0).orders,
              [this, alive = alive_](const core::MachineId& id, const core::WorkerReport* report) {
                if (!*alive || !controller_) return;
                if (report != nullptr) steps_.note(Step::first_answer, Clock::now());
                feed(core::OrdersAnswered{
                    id, report == nullptr ? std::nullopt : std::optional(*report)});
                pump_soon();
              }),
      tick_timer_(io),
      verify_timer_(io),
      mark_timer_(io) {
  if (keeper_ != nullptr) believed_ = keeper_->beliefs();
  if (history.home == config::HistoryHome::state_service) {
    beliefs_ = std::make_unique<store::BeliefStore>(
        store_, writer_, token_,
        store::BeliefSettings{history.key, history.log.save_every, history.most_age,
                              store::page_bytes(settings)});
    // Nothing waits for it: a takeover that is faster goes without.
    beliefs_->load(wall_now(), [this](std::optional<core::Beliefs> found) {
      if (found) believed_ = std::move(*found);
    });
  }
  reader_ = std::make_unique<standby::InheritanceReader>(
      io_, token_, tuning_.commit_starts, store_, writer_, mirror_, briefing_, election_, steps_,
      [this](core::Inheritance inheritance) { take_over(std::move(inheritance)); });
}

Leader::~Leader() {
  *alive_ = false;
  if (keeper_ != nullptr && controller_)
    keeper_->leader_ends(controller_->beliefs(Clock::now(), wall_now()));
}

void Leader::feed(core::Event event, core::TimePoint now) {
  if (keeper_ != nullptr) keeper_->record(now, event);
  core::apply(*controller_, event, now);
}

// Between events, when the actions of all before were taken.
void Leader::keep_history(core::TimePoint now) {
  if (keeper_ != nullptr) keeper_->pump(*controller_, now, wall_now());
  if (beliefs_ && beliefs_->due(now)) beliefs_->save(controller_->beliefs(now, wall_now()), now);
}

void Leader::save_placements(const core::SavePlacements& action) {
  const auto& job = action.record.job;
  auto record = action.record;
  if (store::placements_bytes(record) > store::page_bytes(settings_)) record = {job, {}, false};
  writer_.placed().put(job, store::placements_to_json(record), store::placements_bytes(record),
                       store::Haste::soon, Clock::now(), [this, job, version = action.version] {
                         feed(core::PlacementsSaved{job, version});
                         pump_soon();
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

void Leader::take_over(core::Inheritance inherited) {
  const bool resigns = !deaf_at_ || Clock::now() - *deaf_at_ > kDeafRemembered;
  auto controller = standby::controller_settings(settings_, tuning_, wall_now(), resigns);
  const auto now = Clock::now();
  spdlog::info("takeover: {} jobs, {} machines, {} progress records", inherited.jobs.size(),
               inherited.machines.size(), inherited.progress.size());
  std::set<core::JobId> known;
  for (const auto& record : inherited.jobs) known.insert(record.spec.id);
  for (const auto& record : inherited.placements)
    if (!known.contains(record.job)) writer_.placed().erase(record.job, now);
  inherited.beliefs = std::move(believed_);
  if (!inherited.beliefs.empty())
    spdlog::info("takeover: beliefs {:.1f} s old about {} jobs, {} machines, {} refused types",
                 inherited.beliefs.elapsed(controller.wall_at_start).count(),
                 inherited.beliefs.jobs.size(), inherited.beliefs.machines.size(),
                 inherited.beliefs.resting.size());
  const core::TakenOver event{std::move(controller), token_, leadership_.older_leases_end(now),
                              std::move(inherited)};
  if (keeper_ != nullptr) keeper_->taken_over(now, event);
  controller_ = core::make_controller(event, now);
  steps_.note(Step::core_built, Clock::now());
  feed_catalog();
  // What opened or closed between the barrier and now.
  for (const auto& id : known)
    if (mirror_.find(id) == nullptr) feed(core::JobClosed{id}, now);
  for (const auto& [id, record] : mirror_.jobs())
    if (!known.contains(id)) unverified_[id] = record;
  verify_jobs();
  briefing_.keep();
  pump();
  every();
}

void Leader::every() {
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!*alive || error) return;
    pump();
    const auto now = Clock::now();
    tell_steps(now);
    if (!listing_ && now - last_list_ > kListEvery) list_machines();
    if (now - last_summary_ > std::chrono::seconds(5)) {
      last_summary_ = now;
      spdlog::info("{}", controller_->summary());
      spending_.sample(controller_->fleet(), now);
      if (++summaries_ % kSpendingEvery == 0) spdlog::info("{}", spending_.text());
    }
    every();
  });
}

void Leader::pump_soon() {
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
  feed(core::Ticked{leadership_.may_serve(now), leadership_.contact()}, now);
  auto actions = controller_->take_actions();
  if (keeper_ != nullptr) keeper_->acted(now, actions);
  orders_.set_most_lines(controller_->orders().shares().orders);
  for (auto& action : actions) carry_out(action);
  writer_.flush(now);
  if (!recovered_ && !controller_->recovering()) {
    recovered_ = true;
    recovered_at_ = now;
    steps_.note(Step::reckoned, now);
    log_squared(now);
  }
  keep_history(now);
}

// It was said after our key was won, since it names it; a node that does not lead answers no
// report, and if it ever leads again it has a higher token (docs/safety.md, "Older leaders that are
// known to be gone"). A follower of an older program names no key and leaves the longer wait.
void Leader::heard_follower(const std::string& member, core::Token follows) {
  if (follows != token_ || !controller_ || !controller_->recovering()) return;
  const auto known = std::any_of(settings_.siblings.begin(), settings_.siblings.end(),
                                 [&](const auto& sibling) { return sibling.member == member; });
  if (!known || !followers_.insert(member).second) return;
  if (followers_.size() < settings_.siblings.size()) return;
  spdlog::info("no older leader is left: all {} other controllers follow", followers_.size());
  feed(core::OlderLeadersGone{});
}

void Leader::others_hear(core::TimePoint now) {
  if (controller_ && controller_->cut_off_perhaps(now)) feed(core::OthersHear{}, now);
}

void Leader::note_orders(const core::SendOrders& orders) {
  if (steps_told_) return;
  const auto now = Clock::now();
  steps_.note(Step::first_order, now);
  for (const auto& command : orders.commands) {
    if (command.verb != core::Verb::start) continue;
    const auto job = controller_->jobs().find(command.task.job);
    if (job != controller_->jobs().end())
      steps_.note(job->second.carried_over ? Step::older_start : Step::younger_start, now);
  }
}

// Once the first older task was started after the reckoning, or a while later where none waits.
void Leader::tell_steps(core::TimePoint now) {
  constexpr std::chrono::seconds kPatience{5};
  if (steps_told_ || !recovered_) return;
  if (!steps_.reached(Step::older_start) && now - recovered_at_ < kPatience) return;
  steps_told_ = true;
  spdlog::info("takeover steps, seconds after the key: {}", steps_.text());
}

// What operations.md explains under "After a takeover".
void Leader::log_squared(core::TimePoint now) {
  const auto& reckoning = controller_->reckoning();
  const auto& cost = reckoning.cost();
  spdlog::info(
      "recovered {:.1f} s after the key; held up beside free room: {:.0f} task-seconds of "
      "arrays, {:.0f} of gangs, {:.0f} of replicas ({:.0f} of jobs that were seen nowhere)",
      core::Seconds(now - won_at_).count(), cost.arrays.count(), cost.gangs.count(),
      cost.replicas.count(), cost.unseen.count());
  const auto& s = reckoning.squared();
  spdlog::info(
      "squared: asked={} most_at_once={} adopted={} done_unstored={} stored_done={} "
      "second_copies={} of_no_job={} unregistered={} new_sessions={} late={} returned={}",
      reckoning.asked(), controller_->orders().window().peak(), s.adopted, s.ended, s.stored_done,
      s.second_copies, s.of_no_job, s.unregistered, s.new_sessions, s.late, s.returned);
}

void Leader::job_opened(const core::JobRecord& record) {
  if (!controller_) return;
  unverified_[record.spec.id] = record;
  verify_jobs();
}

void Leader::job_closed(const core::JobId& id) {
  unverified_.erase(id);
  if (!controller_) return;
  if (tuning_.commit_starts) writer_.placed().erase(id, Clock::now());
  feed(core::JobClosed{id});
  pump_soon();
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
      if (mirror_.find(id) == nullptr) continue;
      if (ours)
        feed(core::JobOpened{record}, now);
      else
        unverified_.emplace(id, record);
    }
    pump_soon();
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
  if (controller_) pump_soon();
}

// Prices change every machine: that waits until a save is made, which would have to write all of
// them at once (history/state_capture.hpp).
void Leader::feed_catalog() {
  if (!catalog_due_ || (keeper_ != nullptr && keeper_->saving())) return;
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
    pump_soon();
  });
}

void Leader::handle_report(const net::Request& request, const net::Responder& respond) {
  const auto now = Clock::now();
  const net::Response refused{503, R"({"error":"not entitled to lead now"})",
                              std::chrono::seconds(1)};
  if (!controller_ || !leadership_.may_serve(now)) return respond(refused);
  core::WorkerReport report;
  try {
    report = agent::parse_report(request.body);
  } catch (const std::exception& problem) {
    spdlog::warn("malformed report: {}", problem.what());
    return respond({400, R"({"error":"malformed report"})", {}});
  }
  const core::MachineReported event{std::move(report)};
  feed(event, now);
  pump_soon();
  // The worker would drop a 200 of a lower token and stay here while its lease runs out.
  if (event.report.token > token_)
    return respond({503, R"({"error":"another controller leads"})", std::chrono::seconds(1)});
  auto body = agent::response_body(token_, controller_->response_commands(event.report));
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
      mirror_.note_closed(action.job, result.revision);
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
  auto& book = up ? writer_.machines() : writer_.rented();
  const auto haste = up && !action.only_images ? store::Haste::soon : store::Haste::lazy;
  book.put(record.id, store::machine_to_json(record), store::kMachineBytes, haste, now,
           [this, id = record.id, up] {
             // Only now: until its registration is committed, the rental's record tells of the
             // machine.
             if (up) writer_.rented().erase(id, Clock::now());
             feed(core::MachineSaved{id, up, true});
             pump_soon();
           });
}

void Leader::carry_out(core::Action& action) {
  const auto visit = [this]<typename T>(T& a) {
    if constexpr (std::is_same_v<T, core::SendOrders>) {
      note_orders(a);
      orders_.send(a);
    } else if constexpr (std::is_same_v<T, core::SaveMachine>) {
      save_machine(a);
    } else if constexpr (std::is_same_v<T, core::DeleteMachine>) {
      orders_.drop(a.id);
      writer_.machines().erase(a.id, Clock::now());
      writer_.rented().erase(a.id, Clock::now());
    } else if constexpr (std::is_same_v<T, core::SaveProgress>) {
      const auto name = store::progress_name(a.record.job, a.record.chunk);
      writer_.progress().put(name, store::progress_to_json(a.record, a.tasks_in_chunk),
                             store::progress_bytes(name, a.tasks_in_chunk), store::Haste::lazy,
                             Clock::now(), [this, saved = a] {
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
    } else if constexpr (std::is_same_v<T, core::Rent>) {
      spdlog::info("renting {} {} {} in {} ({})", a.count, a.spot ? "spot" : "ordinary", a.type,
                   a.zone, a.name);
      cloud_.rent(a, [this, alive = alive_, request = a](const core::RentalAnswer& answer) {
        if (!*alive) return;
        if (answer.machines.size() < static_cast<std::size_t>(request.count))
          spdlog::info("rental {} brought {} of {} machines", request.name, answer.machines.size(),
                       request.count);
        feed(core::RentalAnswered{request.name, answer});
        pump_soon();
      });
    } else if constexpr (std::is_same_v<T, core::Release>) {
      spdlog::info("returning {} machines ({}), first {}", a.machines.size(), a.cause,
                   a.machines.front());
      cloud_.release(a.machines, [this, alive = alive_, machines = a.machines](bool ok) {
        if (!*alive) return;
        if (!ok) spdlog::warn("machines could not be returned; will try again");
        feed(core::ReleaseAnswered{machines, ok});
        pump_soon();
      });
    } else if constexpr (std::is_same_v<T, core::JobSuspected>) {
      spdlog::warn("job {} failed on {} machines and nowhere ended well: tried again in {:.0f} s",
                   a.job, a.machines, a.pause.count());
    } else if constexpr (std::is_same_v<T, core::Resign>) {
      if (a.deaf) deaf_at_ = Clock::now();
      asio::post(io_, [this, alive = alive_, cause = a.cause] {
        if (*alive) election_.resign(cause, std::chrono::seconds(8));
      });
    }
  };
  std::visit(visit, action);
}

}  // namespace violetpulley
