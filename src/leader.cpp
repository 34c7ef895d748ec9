#include "leader.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"

namespace violetpulley {

using core::Clock;
using std::chrono::milliseconds;
using store::Json;
using store::Outcome;
using store::Urgency;

namespace {

constexpr milliseconds kTick{100};
constexpr std::chrono::seconds kListEvery{5};
const std::string kMachinePrefix = "machine/";
const std::string kProgressPrefix = "progress/";

Json ranges_to_json(const std::vector<core::IndexRange>& ranges) {
  Json out = Json::array();
  for (const auto& [first, last] : ranges) out.push_back({first, last});
  return out;
}

std::vector<core::IndexRange> ranges_from_json(const Json& value) {
  std::vector<core::IndexRange> out;
  for (const auto& range : value)
    out.emplace_back(range.at(0).get<core::TaskIndex>(), range.at(1).get<core::TaskIndex>());
  return out;
}

Json machine_to_json(const core::MachineRecord& record) {
  Json images = Json::array();
  for (const auto& [name, gb] : record.images) images.push_back({name, gb});
  return {{"endpoint", record.endpoint},
          {"type", record.type},
          {"zone", record.zone},
          {"spot", record.spot},
          {"images", images}};
}

core::MachineRecord machine_from_json(const std::string& id, const Json& value) {
  core::MachineRecord record{id,
                             value.at("endpoint").get<std::string>(),
                             value.at("type").get<std::string>(),
                             value.at("zone").get<std::string>(),
                             value.at("spot").get<bool>(),
                             {}};
  for (const auto& image : value.at("images"))
    record.images.emplace_back(image.at(0).get<std::string>(), image.at(1).get<double>());
  return record;
}

std::string progress_key(const core::JobId& job, core::TaskIndex chunk) {
  return kProgressPrefix + job + "/" + std::to_string(chunk);
}

core::ProgressRecord progress_from_json(const std::string& key, const Json& value) {
  const auto slash = key.rfind('/');
  core::ProgressRecord record;
  record.job = key.substr(kProgressPrefix.size(), slash - kProgressPrefix.size());
  record.chunk = static_cast<core::TaskIndex>(std::stoul(key.substr(slash + 1)));
  record.done = ranges_from_json(value.at("done"));
  record.restarted = ranges_from_json(value.at("restarted"));
  return record;
}

}  // namespace

Leader::Leader(asio::io_context& io, const config::Settings& settings, const core::Tuning& tuning,
               core::Leadership& leadership, store::Election& election, store::StoreClient& store,
               store::JobMirror& mirror, cloud::CloudClient& cloud)
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
      writer_(store, token_, settings.state_changes_per_transaction),
      orders_(io, token_,
              [this, alive = alive_](const core::MachineId& id, const core::WorkerReport* report) {
                if (!*alive || !controller_) return;
                controller_->orders_answered(id, report, Clock::now());
                pump_soon();
              }),
      load_timer_(io),
      tick_timer_(io),
      verify_timer_(io) {
  load();
}

Leader::~Leader() { *alive_ = false; }

void Leader::load_again() {
  load_timer_.expires_after(milliseconds(200));
  load_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) load();
  });
}

// Every read here is sent after the key was won, so an older leader's conditioned writes are
// either in it or will fail.
void Leader::load() {
  store_.list(kMachinePrefix, Urgency::safety, [this, alive = alive_](store::ListResult machines) {
    if (!*alive) return;
    if (machines.outcome != Outcome::ok) return load_again();
    store_.list(kProgressPrefix, Urgency::safety,
                [this, alive, machines = std::move(machines)](store::ListResult progress) {
                  if (!*alive) return;
                  if (progress.outcome != Outcome::ok) return load_again();
                  inheritance_ = {};
                  try {
                    for (const auto& item : machines.items)
                      inheritance_.machines.push_back(
                          machine_from_json(item.key.substr(kMachinePrefix.size()), item.value));
                    for (const auto& item : progress.items)
                      inheritance_.progress.push_back(progress_from_json(item.key, item.value));
                  } catch (const std::exception& problem) {
                    spdlog::error("records of an earlier leader cannot be read: {}",
                                  problem.what());
                    return load_again();
                  }
                  mirror_.barrier(Urgency::safety, [this, alive](bool fresh) {
                    if (!*alive) return;
                    if (!fresh || mirror_.revision() < token_) return load_again();
                    for (const auto& [id, record] : mirror_.jobs())
                      inheritance_.jobs.push_back(record);
                    election_.prove([this, alive](bool ours) {
                      if (!*alive) return;
                      if (!ours) return load_again();
                      take_over();
                    });
                  });
                });
  });
}

void Leader::take_over() {
  core::ControllerSettings controller{
      settings_.teams,
      settings_.workers,
      tuning_,
      settings_.cloud_requests_per_s * 0.4,
      settings_.cloud_list_lag,
      {},
      std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now())};
  for (const auto& objective : settings_.objectives)
    if (objective.kind == "finished")
      controller.aims.push_back({objective.job_class, objective.within});
  const auto now = Clock::now();
  spdlog::info("takeover: {} jobs, {} machines, {} progress records", inheritance_.jobs.size(),
               inheritance_.machines.size(), inheritance_.progress.size());
  std::set<core::JobId> known;
  for (const auto& record : inheritance_.jobs) known.insert(record.spec.id);
  controller_ = std::make_unique<core::Controller>(std::move(controller), token_, now,
                                                   leadership_.older_leases_end(now),
                                                   std::move(inheritance_));
  if (!types_.empty()) controller_->set_catalog(types_);
  // What opened or closed between the barrier and now.
  for (const auto& id : known)
    if (mirror_.find(id) == nullptr) controller_->job_closed(id, now);
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
    pump();
    const auto now = Clock::now();
    if (!listing_ && now - last_list_ > kListEvery) list_machines();
    if (now - last_summary_ > std::chrono::seconds(5)) {
      last_summary_ = now;
      spdlog::info("{}", controller_->summary());
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
  controller_->tick(now, leadership_.may_serve(now));
  auto actions = controller_->take_actions();
  for (auto& action : actions) carry_out(action);
}

void Leader::job_opened(const core::JobRecord& record) {
  if (!controller_) return;
  unverified_[record.spec.id] = record;
  verify_jobs();
}

void Leader::job_closed(const core::JobId& id) {
  unverified_.erase(id);
  if (!controller_) return;
  controller_->job_closed(id, Clock::now());
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
        controller_->job_opened(record, now);
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
  if (!controller_) return;
  controller_->set_catalog(types);
  pump_soon();
}

void Leader::list_machines() {
  listing_ = true;
  cloud_.list([this, alive = alive_](std::optional<std::vector<core::ListedMachine>> machines) {
    if (!*alive) return;
    listing_ = false;
    last_list_ = Clock::now();
    if (!machines) return;
    controller_->cloud_listed(*machines, Clock::now());
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
  controller_->report(report, now);
  respond({200,
           agent::response_body(token_, report.token > token_
                                            ? std::vector<core::Command>{}
                                            : controller_->response_commands(report.machine)),
           {}});
  pump_soon();
}

void Leader::finish(const core::FinishJob& action) {
  const std::string job = store::kJobPrefix + action.job;
  const std::string end = store::kEndPrefix + action.job;
  store::Transaction transaction{
      {{job, action.revision}, {end, 0}},
      {{job, std::nullopt, std::nullopt}, {end, Json{{"state", "done"}}, std::nullopt}}};
  std::size_t at = 0;
  while (at < action.chunks.size() &&
         transaction.writes.size() < settings_.state_changes_per_transaction)
    transaction.writes.push_back(
        {progress_key(action.job, action.chunks[at++]), std::nullopt, std::nullopt});
  std::vector<core::TaskIndex> rest(action.chunks.begin() + static_cast<long>(at),
                                    action.chunks.end());
  writer_.commit(
      std::move(transaction), [this, id = action.job, rest](store::TransactionResult result) {
        if (result.outcome == Outcome::ok) {
          spdlog::info("job {} is done", id);
          for (const auto chunk : rest)
            writer_.write({progress_key(id, chunk), std::nullopt, std::nullopt}, nullptr);
          mirror_.note_closed(id, result.revision);
          return;
        }
        // Ended otherwise, or unknown: the mirror tells, and until then it is tried again.
        controller_->finish_answered(id, Clock::now() + milliseconds(700));
      });
}

void Leader::carry_out(core::Action& action) {
  const auto visit = [this]<typename T>(T& a) {
    if constexpr (std::is_same_v<T, core::SendOrders>) {
      orders_.send(a);
    } else if constexpr (std::is_same_v<T, core::SaveMachine>) {
      writer_.write({kMachinePrefix + a.record.id, machine_to_json(a.record), std::nullopt},
                    [this, id = a.record.id, up = !a.record.endpoint.empty()](bool ok) {
                      controller_->machine_saved(id, up, ok);
                      pump_soon();
                    });
    } else if constexpr (std::is_same_v<T, core::DeleteMachine>) {
      orders_.drop(a.id);
      writer_.write({kMachinePrefix + a.id, std::nullopt, std::nullopt}, nullptr);
    } else if constexpr (std::is_same_v<T, core::SaveProgress>) {
      Json value{{"done", ranges_to_json(a.record.done)},
                 {"restarted", ranges_to_json(a.record.restarted)}};
      writer_.write({progress_key(a.record.job, a.record.chunk), std::move(value), std::nullopt},
                    [this, saved = a](bool ok) { controller_->progress_saved(saved, ok); });
    } else if constexpr (std::is_same_v<T, core::FinishJob>) {
      finish(a);
    } else if constexpr (std::is_same_v<T, core::DeleteProgress>) {
      for (const auto chunk : a.chunks)
        writer_.write({progress_key(a.job, chunk), std::nullopt, std::nullopt}, nullptr);
    } else if constexpr (std::is_same_v<T, core::Rent>) {
      spdlog::info("renting {} {} {} in {} ({})", a.count, a.spot ? "spot" : "ordinary", a.type,
                   a.zone, a.name);
      cloud_.rent(a, [this, alive = alive_, request = a](const core::RentalAnswer& answer) {
        if (!*alive) return;
        if (answer.machines.size() < static_cast<std::size_t>(request.count))
          spdlog::info("rental {} brought {} of {} machines", request.name, answer.machines.size(),
                       request.count);
        controller_->rental_answered(request.name, answer, Clock::now());
        pump_soon();
      });
    } else if constexpr (std::is_same_v<T, core::Release>) {
      spdlog::info("returning {} machines, first {}", a.machines.size(), a.machines.front());
      cloud_.release(a.machines, [this, alive = alive_, machines = a.machines](bool ok) {
        if (!*alive) return;
        if (!ok) spdlog::warn("machines could not be returned; will try again");
        controller_->release_answered(machines, ok, Clock::now());
        pump_soon();
      });
    } else if constexpr (std::is_same_v<T, core::Resign>) {
      asio::post(io_, [this, alive = alive_, cause = a.cause] {
        if (*alive) election_.resign(cause, std::chrono::seconds(8));
      });
    }
  };
  std::visit(visit, action);
}

}  // namespace violetpulley
