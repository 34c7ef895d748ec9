#include "leader.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"
#include "wall_clock.hpp"

namespace violetpulley {

using core::Clock;
using std::chrono::milliseconds;
using store::Json;
using store::Outcome;
using store::Urgency;

namespace {

constexpr std::uint64_t kSpendingEvery = 6;  // summaries
constexpr milliseconds kTick{100};
constexpr std::chrono::minutes kDeafRemembered{3};
constexpr std::chrono::seconds kListEvery{10};
constexpr double kCloudCalls = 0.8;  // of the limit; the rest is for the list and the catalog

// A machine's record takes at most this much of a page; images that would not fit are left out.
constexpr std::size_t kMachineBytes = 260;

std::size_t page_bytes(const config::Settings& settings) {
  // Most of the largest value; two or more pages must fit into a transaction of 64 KiB.
  return static_cast<std::size_t>(std::min(settings.state_value_kib, 24.0) * 1024 * 0.9);
}

Json machine_to_json(const core::MachineRecord& record) {
  Json out{record.endpoint, record.type, record.zone, record.spot ? 1 : 0, Json::array()};
  auto bytes = record.id.size() + out.dump().size() + 8;
  for (const auto& [name, gb] : record.images) {
    Json image{name, gb};
    bytes += image.dump().size() + 1;
    if (bytes > kMachineBytes) break;
    out[4].push_back(std::move(image));
  }
  return out;
}

core::MachineRecord machine_from_json(const std::string& id, const Json& value) {
  core::MachineRecord record{id,
                             value.at(0).get<std::string>(),
                             value.at(1).get<std::string>(),
                             value.at(2).get<std::string>(),
                             value.at(3).get<int>() != 0,
                             {}};
  for (const auto& image : value.at(4))
    record.images.emplace_back(image.at(0).get<std::string>(), image.at(1).get<double>());
  return record;
}

const std::string kPlacementsMark = "placements-marked";

Json placements_to_json(const core::PlacementRecord& record) {
  return record.known ? Json(record.machines) : Json(nullptr);
}

core::PlacementRecord placements_from_json(const std::string& job, const Json& value) {
  core::PlacementRecord record{job, {}, !value.is_null()};
  if (record.known) record.machines = value.get<std::vector<core::MachineId>>();
  return record;
}

// A machine's name and its quotes and comma; a page never outgrows what was reserved.
std::size_t placements_bytes(const core::PlacementRecord& record) {
  constexpr std::size_t kName = 24;
  return record.job.size() + 16 + record.machines.size() * kName;
}

std::string progress_name(const core::JobId& job, core::TaskIndex chunk) {
  return job + "/" + std::to_string(chunk);
}

// Four tasks a digit: the size is bounded, however scattered the finished tasks are.
std::string bits_of(const std::vector<core::IndexRange>& ranges, core::TaskIndex first) {
  std::string digits;
  for (const auto& [from, to] : ranges)
    for (auto i = from - first; i <= to - first; ++i) {
      if (digits.size() <= i / 4) digits.resize(i / 4 + 1, '0');
      auto& digit = digits[i / 4];
      const int value = (digit <= '9' ? digit - '0' : digit - 'a' + 10) | (1 << (i % 4));
      digit = "0123456789abcdef"[value];
    }
  return digits;
}

std::vector<core::IndexRange> ranges_of(const std::string& digits, core::TaskIndex first) {
  std::vector<core::IndexRange> out;
  for (std::size_t at = 0; at < digits.size(); ++at) {
    const auto value = std::string_view("0123456789abcdef").find(digits[at]);
    if (value == std::string_view::npos) throw std::invalid_argument("progress holds " + digits);
    for (core::TaskIndex bit = 0; bit < 4; ++bit) {
      if ((value >> bit & 1U) == 0) continue;
      const auto index = first + static_cast<core::TaskIndex>(at) * 4 + bit;
      if (!out.empty() && out.back().second + 1 == index)
        out.back().second = index;
      else
        out.emplace_back(index, index);
    }
  }
  return out;
}

Json progress_to_json(const core::ProgressRecord& record, std::size_t tasks_in_chunk) {
  const auto first = record.chunk * core::kProgressChunk;
  return {bits_of(record.done, first), bits_of(record.restarted, first), tasks_in_chunk};
}

core::ProgressRecord progress_from_json(const std::string& name, const Json& value) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) throw std::invalid_argument("progress record " + name);
  core::ProgressRecord record;
  record.job = name.substr(0, slash);
  record.chunk = static_cast<core::TaskIndex>(std::stoul(name.substr(slash + 1)));
  const auto first = record.chunk * core::kProgressChunk;
  record.done = ranges_of(value.at(0).get<std::string>(), first);
  record.restarted = ranges_of(value.at(1).get<std::string>(), first);
  return record;
}

std::size_t progress_bytes(const std::string& name, std::size_t tasks_in_chunk) {
  return name.size() + 24 + (tasks_in_chunk / 4 + 1) * 2;
}

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
      deaf_at_(deaf_at),
      keeper_(keeper),
      writer_(store, token_, settings.state_changes_per_transaction, page_bytes(settings)),
      orders_(io, token_, core::share_sockets({settings.max_sockets, settings.nodes()}, 0).orders,
              [this, alive = alive_](const core::MachineId& id, const core::WorkerReport* report) {
                if (!*alive || !controller_) return;
                feed(core::OrdersAnswered{
                    id, report == nullptr ? std::nullopt : std::optional(*report)});
                pump_soon();
              }),
      load_timer_(io),
      tick_timer_(io),
      verify_timer_(io),
      mark_timer_(io) {
  if (keeper_ != nullptr) believed_ = keeper_->beliefs();
  if (history.home == config::HistoryHome::state_service) {
    beliefs_ = std::make_unique<store::BeliefStore>(
        store_, writer_, token_,
        store::BeliefSettings{history.key, history.log.save_every, history.most_age,
                              page_bytes(settings)});
    // Nothing waits for it: a takeover that is faster goes without.
    beliefs_->load(wall_now(), [this](std::optional<core::Beliefs> found) {
      if (found) believed_ = std::move(*found);
    });
  }
  load();
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

void Leader::load_again() {
  load_timer_.expires_after(milliseconds(200));
  load_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) load();
  });
}

// Every read here is sent after the key was won, so an older leader's conditioned writes are
// either in it or will fail.
void Leader::load() {
  std::vector<store::PagedRecords*> books{&writer_.machines(), &writer_.rented(),
                                          &writer_.progress()};
  if (tuning_.commit_starts) books.push_back(&writer_.placed());
  load_pages(std::move(books), {});
}

void Leader::load_pages(std::vector<store::PagedRecords*> books,
                        std::vector<std::vector<store::Item>> pages) {
  if (pages.size() < books.size()) {
    store_.list(books[pages.size()]->prefix(), Urgency::safety,
                [this, alive = alive_, books, pages](store::ListResult result) mutable {
                  if (!*alive) return;
                  if (result.outcome != Outcome::ok) return load_again();
                  pages.push_back(std::move(result.items));
                  load_pages(std::move(books), std::move(pages));
                });
    return;
  }
  inheritance_ = {};
  std::set<core::MachineId> known;
  const auto machine = [&](const std::string& id, const Json& value) {
    // A machine that came up is registered before its rental's record goes.
    if (known.insert(id).second) inheritance_.machines.push_back(machine_from_json(id, value));
    return kMachineBytes;
  };
  try {
    for (const auto& page : pages[0]) books[0]->load(page, machine);
    for (const auto& page : pages[1]) books[1]->load(page, machine);
    for (const auto& page : pages[2])
      books[2]->load(page, [&](const std::string& name, const Json& value) {
        inheritance_.progress.push_back(progress_from_json(name, value));
        return progress_bytes(name, value.at(2).get<std::size_t>());
      });
    if (pages.size() > 3)
      for (const auto& page : pages[3])
        books[3]->load(page, [&](const std::string& job, const Json& value) {
          inheritance_.placements.push_back(placements_from_json(job, value));
          return placements_bytes(inheritance_.placements.back());
        });
  } catch (const std::exception& problem) {
    spdlog::error("records of an earlier leader cannot be read: {}", problem.what());
    return load_again();
  }
  load_mark();
}

// The mark says that the records tell of every start of gangs and services. A leader that does not
// write them takes it away before anything else.
void Leader::load_mark() {
  store_.get(kPlacementsMark, Urgency::safety, [this, alive = alive_](store::GetResult result) {
    if (!*alive) return;
    if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found) return load_again();
    const bool marked = result.outcome == Outcome::ok;
    if (marked && !tuning_.commit_starts) return clear_mark();
    inheritance_.placements_marked = marked;
    load_jobs();
  });
}

void Leader::clear_mark() {
  store_.commit({{{"leader", token_}}, {{kPlacementsMark, std::nullopt, std::nullopt}}},
                Urgency::safety, [this, alive = alive_](const store::TransactionResult& result) {
                  if (!*alive) return;
                  if (result.outcome != Outcome::ok) return load_again();
                  load_jobs();
                });
}

void Leader::save_placements(const core::SavePlacements& action) {
  const auto& job = action.record.job;
  auto record = action.record;
  if (placements_bytes(record) > page_bytes(settings_)) record = {job, {}, false};
  writer_.placed().put(job, placements_to_json(record), placements_bytes(record),
                       store::Haste::soon, Clock::now(), [this, job, version = action.version] {
                         feed(core::PlacementsSaved{job, version});
                         pump_soon();
                       });
}

void Leader::mark_placements() {
  writer_.commit({{}, {{kPlacementsMark, Json{{"token", token_}}, std::nullopt}}},
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

void Leader::load_jobs() {
  mirror_.barrier(Urgency::safety, [this, alive = alive_](bool fresh) {
    if (!*alive) return;
    if (!fresh || mirror_.revision() < token_) return load_again();
    for (const auto& [id, record] : mirror_.jobs()) inheritance_.jobs.push_back(record);
    election_.prove([this, alive](bool ours) {
      if (!*alive) return;
      if (!ours) return load_again();
      take_over();
    });
  });
}

void Leader::take_over() {
  core::ControllerSettings controller{settings_.teams,
                                      settings_.workers,
                                      tuning_,
                                      settings_.cloud_requests_per_s * kCloudCalls,
                                      settings_.cloud_list_lag,
                                      {},
                                      {},
                                      wall_now(),
                                      !deaf_at_ || Clock::now() - *deaf_at_ > kDeafRemembered,
                                      {settings_.max_sockets, settings_.nodes()}};
  for (const auto& objective : settings_.objectives) {
    if (objective.kind == "finished")
      controller.aims.push_back({objective.job_class, objective.within});
    if (objective.kind == "deadline")
      controller.late_aims.push_back({objective.job_class, objective.times});
  }
  const auto now = Clock::now();
  spdlog::info("takeover: {} jobs, {} machines, {} progress records", inheritance_.jobs.size(),
               inheritance_.machines.size(), inheritance_.progress.size());
  std::set<core::JobId> known;
  for (const auto& record : inheritance_.jobs) known.insert(record.spec.id);
  for (const auto& record : inheritance_.placements)
    if (!known.contains(record.job)) writer_.placed().erase(record.job, now);
  inheritance_.beliefs = std::move(believed_);
  if (!inheritance_.beliefs.empty())
    spdlog::info("takeover: beliefs {:.1f} s old about {} jobs, {} machines, {} refused types",
                 inheritance_.beliefs.elapsed(controller.wall_at_start).count(),
                 inheritance_.beliefs.jobs.size(), inheritance_.beliefs.machines.size(),
                 inheritance_.beliefs.resting.size());
  const core::TakenOver event{std::move(controller), token_, leadership_.older_leases_end(now),
                              std::move(inheritance_)};
  if (keeper_ != nullptr) keeper_->taken_over(now, event);
  controller_ = core::make_controller(event, now);
  feed_catalog();
  // What opened or closed between the barrier and now.
  for (const auto& id : known)
    if (mirror_.find(id) == nullptr) feed(core::JobClosed{id}, now);
  for (const auto& [id, record] : mirror_.jobs())
    if (!known.contains(id)) unverified_[id] = record;
  verify_jobs();
  pump();
  every();
}

void Leader::every() {
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!*alive || error) return;
    late_ = Clock::now() - tick_timer_.expiry();
    pump();
    const auto now = Clock::now();
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
  feed(core::Ticked{leadership_.may_serve(now), leadership_.contact(),
                    std::exchange(late_, core::Seconds(0))},
       now);
  auto actions = controller_->take_actions();
  if (keeper_ != nullptr) keeper_->acted(now, actions);
  orders_.set_most_lines(controller_->orders().shares().orders);
  for (auto& action : actions) carry_out(action);
  writer_.flush(now);
  if (!recovered_ && !controller_->recovering()) {
    recovered_ = true;
    log_squared(now);
  }
  keep_history(now);
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
  if (!controller_ || !leadership_.may_serve(now))
    return respond({503, R"({"error":"not entitled to lead now"})", std::chrono::seconds(1)});
  core::WorkerReport report;
  try {
    report = agent::parse_report(request.body);
  } catch (const std::exception& problem) {
    spdlog::warn("malformed report: {}", problem.what());
    return respond({400, R"({"error":"malformed report"})", {}});
  }
  const bool outdated = report.token > token_;
  const auto machine = report.machine;
  feed(core::MachineReported{std::move(report)}, now);
  respond({200,
           agent::response_body(token_, outdated ? std::vector<core::Command>{}
                                                 : controller_->response_commands(machine)),
           {}});
  pump_soon();
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
  for (const auto chunk : chunks) writer_.progress().erase(progress_name(job, chunk), Clock::now());
}

void Leader::save_machine(const core::SaveMachine& action) {
  const auto now = Clock::now();
  const auto& record = action.record;
  const bool up = !record.endpoint.empty();
  auto& book = up ? writer_.machines() : writer_.rented();
  const auto haste = up && !action.only_images ? store::Haste::soon : store::Haste::lazy;
  book.put(record.id, machine_to_json(record), kMachineBytes, haste, now,
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
      orders_.send(a);
    } else if constexpr (std::is_same_v<T, core::SaveMachine>) {
      save_machine(a);
    } else if constexpr (std::is_same_v<T, core::DeleteMachine>) {
      orders_.drop(a.id);
      writer_.machines().erase(a.id, Clock::now());
      writer_.rented().erase(a.id, Clock::now());
    } else if constexpr (std::is_same_v<T, core::SaveProgress>) {
      const auto name = progress_name(a.record.job, a.record.chunk);
      writer_.progress().put(name, progress_to_json(a.record, a.tasks_in_chunk),
                             progress_bytes(name, a.tasks_in_chunk), store::Haste::lazy,
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
