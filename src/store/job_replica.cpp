#include "store/job_replica.hpp"

#include <spdlog/spdlog.h>

#include "store/job_record_codec.hpp"

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kWatchBlock{10000};
constexpr milliseconds kNoBlock{0};
constexpr milliseconds kReloadRetry{300};
// Reads count against the rate limit of the state service, so barriers requested within this time
// share one read.
constexpr milliseconds kMinBarrierInterval{200};

core::JobId id_of_key(const std::string& key) {
  return key.substr(std::string_view(kJobPrefix).size());
}

}  // namespace

JobReplica::JobReplica(asio::io_context& io, StoreClient& store, Events events)
    : store_(store), events_(std::move(events)), retry_timer_(io), barrier_timer_(io) {}

const core::JobRecord* JobReplica::find(const core::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

void JobReplica::reload_later() {
  retry_timer_.expires_after(kReloadRetry);
  retry_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) reload();
  }));
}

void JobReplica::reload() {
  store_.list(kJobPrefix, RequestPriority::safety,
              lifetime_.guard([this](const ListResult& result) {
                if (result.outcome != Outcome::ok) return reload_later();
                // A barrier may complete while a slow list is in flight. Applying the older list
                // would reopen a job that the barrier closed, and because the replica's revision is
                // newer, no later change would close it again, so a finished job would be queued
                // once more. The replica is complete up to its revision without the list.
                if (result.revision >= applied_revision_) apply_list(result);
                watch();
              }));
}

// Later pages may be newer than the first one; the watch reports all changes after the first page.
void JobReplica::apply_list(const ListResult& result) {
  std::unordered_map<core::JobId, Revision> listed;
  for (const auto& item : result.items) listed[id_of_key(item.key)] = item.revision;
  std::vector<core::JobId> missing;
  for (const auto& [id, record] : jobs_)
    if (!listed.contains(id) && record.revision <= result.revision) missing.push_back(id);
  for (const auto& id : missing) close(id);
  for (const auto& item : result.items) open(id_of_key(item.key), item.value, item.revision);
  applied_revision_ = std::max(applied_revision_, result.revision);
  synced_ = true;
}

void JobReplica::watch() {
  store_.changes(kJobPrefix, applied_revision_, kWatchBlock, RequestPriority::user,
                 lifetime_.guard([this, since = applied_revision_](const ChangesResult& result) {
                   if (!is_valid_response(since, result)) return reload_later();
                   apply(result);
                   watch_later();
                 }));
}

// Every watch request counts against the rate limit, so changes within the delay share one.
void JobReplica::watch_later() {
  retry_timer_.expires_after(watch_delay_);
  retry_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) watch();
  }));
}

// A response whose revision is lower than the requested one is treated like a lost response.
bool JobReplica::is_valid_response(Revision since, const ChangesResult& result) {
  if (result.outcome != Outcome::ok) return false;
  if (result.revision >= since) {
    regression_logged_ = false;
    return true;
  }
  if (!std::exchange(regression_logged_, true))
    spdlog::warn("state service returned revision {}, expected at least {}; answer discarded",
                 result.revision, since);
  return false;
}

// A response contains every change after the requested revision. When it arrives after the replica
// has advanced, the changes that are already applied are skipped.
void JobReplica::apply(const ChangesResult& result) {
  for (const auto& change : result.changes) {
    if (change.revision <= applied_revision_) continue;
    const auto id = id_of_key(change.key);
    if (change.value)
      open(id, *change.value, change.revision);
    else
      close(id);
  }
  if (result.revision > applied_revision_) {
    applied_revision_ = result.revision;
    std::erase_if(closed_ahead_of_watch_,
                  [&](const auto& entry) { return entry.second <= applied_revision_; });
  }
}

void JobReplica::open(const core::JobId& id, const Json& value, Revision revision) {
  const auto closed = closed_ahead_of_watch_.find(id);
  if (closed != closed_ahead_of_watch_.end() && revision <= closed->second) return;
  if (jobs_.contains(id)) return;
  try {
    const auto& record = jobs_.emplace(id, decode_job_record(value, revision)).first->second;
    events_.opened(record);
  } catch (const DecodeError& problem) {
    spdlog::error("record of job {} cannot be decoded: {}", id, problem.what());
  }
}

void JobReplica::close(const core::JobId& id) {
  if (jobs_.erase(id) > 0) events_.closed(id);
}

void JobReplica::apply_local_open(const core::JobRecord& record) {
  if (record.revision <= applied_revision_ || jobs_.contains(record.spec.id)) return;
  const auto& kept = jobs_.emplace(record.spec.id, record).first->second;
  events_.opened(kept);
}

void JobReplica::apply_local_close(const core::JobId& id, Revision revision) {
  if (revision > applied_revision_) closed_ahead_of_watch_[id] = revision;
  close(id);
}

void JobReplica::read_barrier(RequestPriority priority, BarrierHandler done) {
  barrier_handlers_.push_back(std::move(done));
  if (priority == RequestPriority::safety) barrier_priority_ = priority;
  if (barrier_running_ || barrier_scheduled_) return;
  if (priority == RequestPriority::safety || Clock::now() - last_barrier_ >= kMinBarrierInterval)
    return run_barrier();
  schedule_barrier();
}

void JobReplica::schedule_barrier() {
  barrier_scheduled_ = true;
  barrier_timer_.expires_at(last_barrier_ + kMinBarrierInterval);
  barrier_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (error) return;
    barrier_scheduled_ = false;
    run_barrier();
  }));
}

void JobReplica::run_barrier() {
  if (barrier_running_ || barrier_handlers_.empty()) return;
  if (synced_) return send_barrier();
  const auto handlers = std::exchange(barrier_handlers_, {});
  for (const auto& done : handlers) done(false);
}

void JobReplica::send_barrier() {
  barrier_running_ = true;
  last_barrier_ = Clock::now();
  auto handlers = std::exchange(barrier_handlers_, {});
  const auto priority = std::exchange(barrier_priority_, RequestPriority::user);
  store_.changes(kJobPrefix, applied_revision_, kNoBlock, priority,
                 lifetime_.guard([this, since = applied_revision_,
                                  handlers = std::move(handlers)](const ChangesResult& result) {
                   barrier_running_ = false;
                   const bool fresh = is_valid_response(since, result);
                   if (fresh) apply(result);
                   for (const auto& done : handlers) done(fresh);
                   if (!barrier_handlers_.empty() && !barrier_scheduled_) schedule_barrier();
                 }));
}

}  // namespace violetpulley::store
