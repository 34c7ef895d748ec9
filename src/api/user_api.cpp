#include "api/user_api.hpp"

#include <spdlog/spdlog.h>

#include "api/admission.hpp"
#include "api/answers.hpp"
#include "codec/job_codec.hpp"
#include "store/job_record_codec.hpp"
#include "wall_clock.hpp"

namespace violetpulley::api {

using codec::valid_job_id;
using core::FinalState;
using std::chrono::seconds;
using store::Json;
using store::Outcome;
using store::RequestPriority;

namespace {

constexpr std::size_t kMaxCachedFinalStates = 20'000;
/// A request that would wait longer than this for the node's share of the state service's request
/// limits is refused at once.
constexpr std::chrono::milliseconds kMaxQueueWait{1000};
constexpr seconds kRetryAfter{1};
constexpr seconds kMaxRetryAfter{25};
constexpr int kCancelRetries = 3;

/// Wire names of the status of a job.
constexpr const char* kQueued = "queued";
constexpr const char* kRunning = "running";
constexpr const char* kDone = "done";
constexpr const char* kCancelled = "withdrawn";

/// Stored names of the final state of a job, below `end/` in the state service.
constexpr const char* kEndedDone = "done";
constexpr const char* kEndedCancelled = "withdrawn";

net::Response unavailable(const std::string& text, seconds retry) {
  return error_response(503, text, retry);
}

net::Response store_unavailable() {
  return unavailable("the state service does not answer", kRetryAfter);
}

net::Response no_such_job() { return error_response(404, "no such job"); }

/// Returns the id of a submission whose other fields may be malformed; empty if there is no id.
core::JobId id_of(const Json& body) {
  const auto found = body.find("id");
  return found != body.end() && found->is_string() ? found->get<std::string>() : core::JobId();
}

}  // namespace

UserApi::UserApi(asio::io_context& /*io*/, store::StoreClient& store,
                 store::JobReplica& job_replica, Environment environment)
    : store_(store), job_replica_(job_replica), environment_(std::move(environment)) {}

UserApi::~UserApi() = default;

void UserApi::cache_final_state(const core::JobId& id, FinalState state) {
  if (!final_states_.emplace(id, state).second) return;
  final_state_order_.push_back(id);
  if (final_state_order_.size() > kMaxCachedFinalStates) {
    final_states_.erase(final_state_order_.front());
    final_state_order_.pop_front();
  }
}

void UserApi::answer(const core::JobId& id, Lookup found, const net::Responder& respond) {
  if (found == Lookup::unavailable) return respond(store_unavailable());
  if (found == Lookup::absent) return respond(no_such_job());
  respond({200, status_of(id, found).dump(), {}});
}

Json UserApi::status_of(const core::JobId& id, Lookup found) const {
  Json body{{"id", id}};
  if (found != Lookup::open) {
    body["status"] = found == Lookup::done ? kDone : kCancelled;
    return body;
  }
  const auto counts = environment_.counts(id);
  body["status"] = counts.running > 0 ? kRunning : kQueued;
  body["done"] = counts.done;
  body["running"] = counts.running;
  return body;
}

// A cached final state needs no read barrier. Otherwise the barrier brings the job replica up to
// date. A job that the replica then lacks has ended or was never accepted; the job's end key, which
// is read afterwards, shows which.
void UserApi::look_up(const core::JobId& id, LookupHandler done) {
  const auto ended = final_states_.find(id);
  if (ended != final_states_.end())
    return done(ended->second == FinalState::done ? Lookup::done : Lookup::cancelled);
  job_replica_.read_barrier(RequestPriority::user,
                            lifetime_.guard([this, id, done = std::move(done)](bool fresh) {
                              if (!fresh) return done(Lookup::unavailable);
                              if (job_replica_.find(id) != nullptr) return done(Lookup::open);
                              look_up_end(id, done);
                            }));
}

void UserApi::look_up_end(const core::JobId& id, const LookupHandler& done) {
  // A user times out after two seconds: if the read would wait too long in the queue, the request
  // is refused at once.
  if (store_.expected_read_wait() > kMaxQueueWait) return done(Lookup::unavailable);
  store_.get(store::kEndPrefix + id, RequestPriority::user,
             lifetime_.guard([this, id, done](const store::GetResult& result) {
               done(lookup_from_end(id, result));
             }));
}

UserApi::Lookup UserApi::lookup_from_end(const core::JobId& id, const store::GetResult& result) {
  if (result.outcome == Outcome::not_found) return Lookup::absent;
  if (result.outcome != Outcome::ok) return Lookup::unavailable;
  const bool finished = result.item.value.value("state", "") == kEndedDone;
  cache_final_state(id, finished ? FinalState::done : FinalState::cancelled);
  return finished ? Lookup::done : Lookup::cancelled;
}

void UserApi::refuse_unless_known(const core::JobId& id, const Refusal& refusal,
                                  const net::Responder& respond) {
  if (!valid_job_id(id)) return respond(error_response(refusal.status, refusal.problem));
  look_up(id, [this, id, refusal, respond](Lookup found) {
    if (found != Lookup::absent) return answer(id, found, respond);
    spdlog::info("job {} refused with {}: {}", id, refusal.status, refusal.problem);
    respond(error_response(refusal.status, refusal.problem));
  });
}

void UserApi::submit(const net::Request& request, const net::Responder& respond) {
  const auto body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded()) return respond(error_response(400, "the body is not JSON"));
  if (!body.is_object()) return respond(error_response(400, "the body must be a JSON object"));
  const auto id = id_of(body);
  // A known id is answered before the rest of the submission is validated.
  if (final_states_.contains(id) || job_replica_.find(id) != nullptr)
    return refuse_unless_known(id, {400, ""}, respond);
  if (shed_load(respond)) return;
  core::JobSpec spec;
  try {
    spec = codec::parse_job(body);
  } catch (const codec::MalformedJob& problem) {
    return refuse_unless_known(id, {400, problem.what()}, respond);
  }
  const auto& types = environment_.types();
  if (types.empty())
    return respond(unavailable("the machine types are not known yet", kRetryAfter));
  if (const auto problem = refusal_reason(spec, environment_.teams, types, environment_.zones))
    return refuse_unless_known(id, {422, *problem}, respond);
  accept(std::move(spec), respond);
}

bool UserApi::shed_load(const net::Responder& respond) {
  const auto wait = store_.expected_write_wait();
  if (wait <= kMaxQueueWait) return false;
  respond(unavailable("too many submissions wait for the state service", retry_after(wait)));
  return true;
}

// Spreads the repetitions: each refused submission gets a retry time at least one write interval
// after that of the previously refused one.
seconds UserApi::retry_after(core::Duration wait) {
  const auto now = core::Clock::now();
  next_retry_at_ = std::max(next_retry_at_ + store_.write_interval(), now + wait);
  return std::clamp(std::chrono::ceil<seconds>(next_retry_at_ - now), seconds(1), kMaxRetryAfter);
}

void UserApi::accept(core::JobSpec spec, const net::Responder& respond) {
  const core::JobRecord record{std::move(spec), wall_now(), 0};
  const auto& id = record.spec.id;
  const store::Transaction transaction{
      {{store::kJobPrefix + id, 0}, {store::kEndPrefix + id, 0}},
      {{store::kJobPrefix + id, store::encode_job_record(record), std::nullopt}}};
  store_.commit(transaction, RequestPriority::user,
                lifetime_.guard([this, record, respond, received = core::Clock::now()](
                                    const store::TransactionResult& result) {
                  accept_answered(record, received, result, respond);
                }));
}

void UserApi::accept_answered(core::JobRecord record, core::TimePoint received,
                              const store::TransactionResult& result,
                              const net::Responder& respond) {
  const auto& id = record.spec.id;
  if (result.outcome == Outcome::conflict)
    return refuse_unless_known(id, {503, "ask again"}, respond);
  if (result.outcome != Outcome::ok) {
    const auto* cause = result.outcome == Outcome::unknown ? "answer" : "take it";
    spdlog::debug("job {} not accepted: the state service did not {}", id, cause);
    return respond(store_unavailable());
  }
  record.revision = result.revision;
  job_replica_.apply_local_open(record);
  const auto elapsed = core::Clock::now() - received;
  spdlog::debug("job {} accepted in {} ms", id,
                std::chrono::ceil<std::chrono::milliseconds>(elapsed).count());
  respond({201, Json{{"id", id}, {"status", kQueued}}.dump(), {}});
}

void UserApi::poll(const core::JobId& id, const net::Responder& respond) {
  if (!valid_job_id(id)) return respond(no_such_job());
  look_up(id, [this, id, respond](Lookup found) { answer(id, found, respond); });
}

void UserApi::cancel(const core::JobId& id, const net::Responder& respond) {
  if (!valid_job_id(id)) return respond(no_such_job());
  try_cancel(id, kCancelRetries, respond);
}

void UserApi::look_up_and_cancel(const core::JobId& id, int remaining_tries,
                                 const net::Responder& respond) {
  look_up(id, [this, id, remaining_tries, respond](Lookup found) {
    if (found != Lookup::open) return answer(id, found, respond);
    if (remaining_tries == 0) return respond(store_unavailable());
    try_cancel(id, remaining_tries - 1, respond);
  });
}

void UserApi::try_cancel(const core::JobId& id, int remaining_tries,
                         const net::Responder& respond) {
  const auto* record = job_replica_.find(id);
  if (record == nullptr) return look_up_and_cancel(id, remaining_tries, respond);
  // One transaction replaces the job record by the end record, so a job cannot be both done and
  // cancelled.
  const store::Transaction transaction{
      {{store::kJobPrefix + id, record->revision}, {store::kEndPrefix + id, 0}},
      {{store::kJobPrefix + id, std::nullopt, std::nullopt},
       {store::kEndPrefix + id, Json{{"state", kEndedCancelled}}, std::nullopt}}};
  store_.commit(
      transaction, RequestPriority::safety,
      lifetime_.guard([this, id, remaining_tries, respond](const store::TransactionResult& result) {
        cancel_answered(id, remaining_tries, result, respond);
      }));
}

void UserApi::cancel_answered(const core::JobId& id, int remaining_tries,
                              const store::TransactionResult& result,
                              const net::Responder& respond) {
  if (result.outcome == Outcome::ok) {
    cache_final_state(id, FinalState::cancelled);
    job_replica_.apply_local_close(id, result.revision);
    spdlog::info("job {} cancelled", id);
    return answer(id, Lookup::cancelled, respond);
  }
  if (result.outcome != Outcome::conflict || remaining_tries == 0)
    return respond(store_unavailable());
  look_up_and_cancel(id, remaining_tries, respond);
}

}  // namespace violetpulley::api
