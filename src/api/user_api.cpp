#include "api/user_api.hpp"

#include <spdlog/spdlog.h>

#include "api/answers.hpp"
#include "api/job_codec.hpp"
#include "wall_clock.hpp"

namespace violetpulley::api {

using core::FinalState;
using store::Outcome;
using store::Urgency;

namespace {

constexpr std::size_t kRemembered = 20'000;
/// A submission that would wait longer for this node's request budget is refused at once.
constexpr std::chrono::milliseconds kLongestWait{1000};
constexpr std::chrono::seconds kLongestRetry{25};

net::Response unavailable(const std::string& text, std::chrono::seconds retry) {
  return error(503, text, retry);
}

net::Response try_again() {
  return unavailable("the state service does not answer", std::chrono::seconds(1));
}

}  // namespace

UserApi::UserApi(asio::io_context& /*io*/, store::StoreClient& store,
                 store::JobReplica& job_replica, Environment environment)
    : store_(store), job_replica_(job_replica), environment_(std::move(environment)) {}

UserApi::~UserApi() { *alive_ = false; }

void UserApi::remember(const core::JobId& id, FinalState state) {
  if (!ended_.emplace(id, state).second) return;
  ended_order_.push_back(id);
  if (ended_order_.size() > kRemembered) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

void UserApi::answer(const core::JobId& id, Known known, const net::Responder& respond) {
  if (known == Known::absent) return respond(error(404, "no such job"));
  Json body{{"id", id}};
  if (known == Known::open) {
    const auto counts = environment_.counts(id);
    body["status"] = counts.running > 0 ? "running" : "queued";
    body["done"] = counts.done;
    body["running"] = counts.running;
  } else {
    body["status"] = known == Known::done ? "done" : "withdrawn";
  }
  respond({200, body.dump(), {}});
}

// A known final state needs no read barrier. Otherwise the barrier brings the job replica to the
// present; a job that the replica then lacks has ended or was never accepted, which the job's end
// key, read afterwards, shows.
void UserApi::look_up(const core::JobId& id, Callback done) {
  const auto ended = ended_.find(id);
  if (ended != ended_.end())
    return done(ended->second == FinalState::done ? Known::done : Known::cancelled);
  job_replica_.barrier(Urgency::user, [this, id, done = std::move(done)](bool fresh) {
    if (!fresh) return done(std::nullopt);
    if (job_replica_.find(id) != nullptr) return done(Known::open);
    // A user waits for two seconds: when too many reads are queued, the user is refused at once.
    if (store_.expected_read_wait() > kLongestWait) return done(std::nullopt);
    store_.get(store::kEndPrefix + id, Urgency::user,
               [this, id, done, alive = alive_](store::GetResult result) {
                 if (!*alive) return;
                 if (result.outcome == Outcome::not_found) return done(Known::absent);
                 if (result.outcome != Outcome::ok) return done(std::nullopt);
                 const bool finished = result.item.value.value("state", "") == "done";
                 remember(id, finished ? FinalState::done : FinalState::cancelled);
                 done(finished ? Known::done : Known::cancelled);
               });
  });
}

void UserApi::refuse_unless_known(const core::JobId& id, int status, const std::string& problem,
                                  const net::Responder& respond) {
  if (!valid_job_id(id)) return respond(error(status, problem));
  look_up(id, [this, id, status, problem, respond](std::optional<Known> known) {
    if (!known) return respond(try_again());
    if (*known == Known::absent) {
      spdlog::info("job {} refused with {}: {}", id, status, problem);
      return respond(error(status, problem));
    }
    answer(id, *known, respond);
  });
}

void UserApi::submit(const net::Request& request, const net::Responder& respond) {
  const auto body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded()) return respond(error(400, "the body is not JSON"));
  if (!body.is_object()) return respond(error(400, "the body must be a JSON object"));
  core::JobId id;
  if (const auto found = body.find("id"); found != body.end() && found->is_string())
    id = found->get<std::string>();
  // A known id is recognised before the submission is looked at anew.
  if (ended_.contains(id) || job_replica_.find(id) != nullptr)
    return refuse_unless_known(id, 400, "", respond);
  if (const auto wait = store_.expected_wait(); wait > kLongestWait)
    return respond(unavailable("too many submissions wait for the state service", turn(wait)));
  core::JobSpec spec;
  try {
    spec = parse_job(body);
  } catch (const BadRequest& problem) {
    return refuse_unless_known(id, 400, problem.what(), respond);
  }
  const auto& types = environment_.types();
  if (types.empty())
    return respond(unavailable("the machine types are not known yet", std::chrono::seconds(1)));
  if (const auto problem = never_runs(spec, environment_.teams, types, environment_.zones))
    return refuse_unless_known(id, 422, *problem, respond);
  accept(std::move(spec), respond);
}

// Submissions that were refused earlier are to be repeated earlier.
std::chrono::seconds UserApi::turn(core::Duration wait) {
  const auto now = core::Clock::now();
  const auto each = store_.write_interval();
  next_turn_ = std::max(next_turn_ + each, now + wait);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(next_turn_ - now);
  return std::clamp(seconds, std::chrono::seconds(1), kLongestRetry);
}

void UserApi::accept(core::JobSpec spec, const net::Responder& respond) {
  core::JobRecord record{std::move(spec), wall_now(), 0};
  const auto& id = record.spec.id;
  store::Transaction transaction{{{store::kJobPrefix + id, 0}, {store::kEndPrefix + id, 0}},
                                 {{store::kJobPrefix + id, record_to_json(record), std::nullopt}}};
  store_.commit(
      transaction, Urgency::user,
      [this, record, respond, came = core::Clock::now(),
       alive = alive_](store::TransactionResult result) mutable {
        if (!*alive) return;
        const auto& job = record.spec.id;
        if (result.outcome == Outcome::conflict)
          return refuse_unless_known(job, 503, "ask again", respond);
        if (result.outcome != Outcome::ok) {
          spdlog::debug("job {} not accepted: the state service did not {}", job,
                        result.outcome == Outcome::unknown ? "answer" : "take it");
          return respond(try_again());
        }
        record.revision = result.revision;
        job_replica_.note_opened(record);
        spdlog::debug(
            "job {} accepted in {} ms", job,
            std::chrono::ceil<std::chrono::milliseconds>(core::Clock::now() - came).count());
        respond({201, Json{{"id", job}, {"status", "queued"}}.dump(), {}});
      });
}

void UserApi::poll(const core::JobId& id, const net::Responder& respond) {
  if (!valid_job_id(id)) return respond(error(404, "no such job"));
  look_up(id, [this, id, respond](std::optional<Known> known) {
    if (!known) return respond(try_again());
    answer(id, *known, respond);
  });
}

void UserApi::cancel(const core::JobId& id, const net::Responder& respond) {
  if (!valid_job_id(id)) return respond(error(404, "no such job"));
  try_cancel(id, 3, respond);
}

void UserApi::try_cancel(const core::JobId& id, int tries, const net::Responder& respond) {
  const auto* record = job_replica_.find(id);
  if (record == nullptr) {
    return look_up(id, [this, id, tries, respond](std::optional<Known> known) {
      if (!known) return respond(try_again());
      if (*known != Known::open) return answer(id, *known, respond);
      if (tries == 0) return respond(try_again());
      try_cancel(id, tries - 1, respond);
    });
  }
  // One transaction replaces the job by its end, so a job cannot be both done and withdrawn.
  store::Transaction transaction{
      {{store::kJobPrefix + id, record->revision}, {store::kEndPrefix + id, 0}},
      {{store::kJobPrefix + id, std::nullopt, std::nullopt},
       {store::kEndPrefix + id, Json{{"state", "withdrawn"}}, std::nullopt}}};
  store_.commit(transaction, Urgency::safety,
                [this, id, tries, respond, alive = alive_](store::TransactionResult result) {
                  if (!*alive) return;
                  if (result.outcome == Outcome::ok) {
                    remember(id, FinalState::cancelled);
                    job_replica_.note_closed(id, result.revision);
                    spdlog::info("job {} cancelled", id);
                    return answer(id, Known::cancelled, respond);
                  }
                  if (result.outcome != Outcome::conflict || tries == 0)
                    return respond(try_again());
                  look_up(id, [this, id, tries, respond](std::optional<Known> known) {
                    if (!known) return respond(try_again());
                    if (*known != Known::open) return answer(id, *known, respond);
                    try_cancel(id, tries - 1, respond);
                  });
                });
}

}  // namespace violetpulley::api
