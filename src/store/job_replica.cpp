#include "store/job_replica.hpp"

#include <spdlog/spdlog.h>

#include "api/job_codec.hpp"

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds kBlock{10000};
// Reads are a shared budget: polls that come within this time share one barrier.
constexpr milliseconds kBarrierGap{200};
constexpr std::size_t kPrefixSize = 4;
}  // namespace

JobReplica::JobReplica(asio::io_context& io, StoreClient& store, Events events)
    : store_(store), events_(std::move(events)), retry_timer_(io), barrier_timer_(io) {}

JobReplica::~JobReplica() { *alive_ = false; }

const core::JobRecord* JobReplica::find(const core::JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

void JobReplica::retry_reload() {
  retry_timer_.expires_after(milliseconds(300));
  retry_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) reload();
  });
}

void JobReplica::reload() {
  store_.list(kJobPrefix, Urgency::safety, [this, alive = alive_](ListResult result) {
    if (!*alive) return;
    if (result.outcome != Outcome::ok) return retry_reload();
    // A barrier may have overtaken a slow list: what it closed would be opened once more, and as
    // the mirror's revision is newer, no later change would ever tell that it has ended (a job told
    // done was queued again; Mirror.AListThatABarrierHasOvertaken...). The mirror is whole up to
    // its revision without it.
    if (result.revision < revision_) return watch();
    // Later pages may be newer than the first: changes since the first page come by the watch.
    std::unordered_map<core::JobId, Revision> listed;
    for (const auto& item : result.items) listed[item.key.substr(kPrefixSize)] = item.revision;
    std::vector<core::JobId> gone;
    for (const auto& [id, record] : jobs_)
      if (!listed.contains(id) && record.revision <= result.revision) gone.push_back(id);
    for (const auto& id : gone) close(id, result.revision);
    for (const auto& item : result.items)
      open(item.key.substr(kPrefixSize), item.value, item.revision);
    revision_ = std::max(revision_, result.revision);
    synced_ = true;
    watch();
  });
}

void JobReplica::watch() {
  store_.changes(kJobPrefix, revision_, kBlock, Urgency::user,
                 [this, alive = alive_, since = revision_](ChangesResult result) {
                   if (!*alive) return;
                   if (!has_changes_since(since, result)) return retry_reload();
                   apply(result);
                   watch_later();
                 });
}

// Each opened watch is a request of the budget, so changes that come close together share one.
void JobReplica::watch_later() {
  retry_timer_.expires_after(watch_gap_);
  retry_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (*alive && !error) watch();
  });
}

// A revision that goes backward is nonsense, and nonsense is no answer and no news.
bool JobReplica::has_changes_since(Revision since, const ChangesResult& result) {
  if (result.outcome != Outcome::ok) return false;
  if (result.revision >= since) {
    regression_logged_ = false;
    return true;
  }
  if (!std::exchange(regression_logged_, true))
    spdlog::warn("state service: revision {} after {} was seen, taken as no answer",
                 result.revision, since);
  return false;
}

// An answer covers every change after the revision that it was asked for, so of an answer that
// comes late only what is newer than the mirror counts.
void JobReplica::apply(const ChangesResult& result) {
  for (const auto& change : result.changes) {
    if (change.revision <= revision_) continue;
    const auto id = change.key.substr(kPrefixSize);
    if (change.value)
      open(id, *change.value, change.revision);
    else
      close(id, change.revision);
  }
  if (result.revision > revision_) {
    revision_ = result.revision;
    std::erase_if(closed_ahead_of_watch_,
                  [&](const auto& entry) { return entry.second <= revision_; });
  }
}

void JobReplica::open(const core::JobId& id, const Json& value, Revision revision) {
  const auto early = closed_ahead_of_watch_.find(id);
  if (early != closed_ahead_of_watch_.end() && revision <= early->second) return;
  if (jobs_.contains(id)) return;
  try {
    const auto& record = jobs_.emplace(id, api::record_from_json(value, revision)).first->second;
    events_.opened(record);
  } catch (const std::exception& problem) {
    spdlog::error("the record of job {} cannot be read: {}", id, problem.what());
  }
}

void JobReplica::close(const core::JobId& id, Revision /*revision*/) {
  if (jobs_.erase(id) > 0) events_.closed(id);
}

void JobReplica::note_opened(const core::JobRecord& record) {
  if (record.revision <= revision_ || jobs_.contains(record.spec.id)) return;
  const auto& kept = jobs_.emplace(record.spec.id, record).first->second;
  events_.opened(kept);
}

void JobReplica::note_closed(const core::JobId& id, Revision revision) {
  if (revision > revision_) closed_ahead_of_watch_[id] = revision;
  close(id, revision);
}

void JobReplica::barrier(Urgency urgency, std::function<void(bool)> done) {
  waiting_.push_back(std::move(done));
  if (urgency == Urgency::safety) barrier_urgency_ = urgency;
  if (barrier_running_ || barrier_scheduled_) return;
  const auto now = Clock::now();
  if (urgency == Urgency::safety || now - last_barrier_ >= kBarrierGap) return run_barrier();
  barrier_scheduled_ = true;
  barrier_timer_.expires_at(last_barrier_ + kBarrierGap);
  barrier_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!*alive || error) return;
    barrier_scheduled_ = false;
    run_barrier();
  });
}

void JobReplica::run_barrier() {
  if (barrier_running_ || waiting_.empty()) return;
  if (!synced_) {
    auto waiting = std::exchange(waiting_, {});
    for (auto& done : waiting) done(false);
    return;
  }
  barrier_running_ = true;
  last_barrier_ = Clock::now();
  auto waiting = std::exchange(waiting_, {});
  const auto urgency = std::exchange(barrier_urgency_, Urgency::user);
  store_.changes(kJobPrefix, revision_, milliseconds(0), urgency,
                 [this, alive = alive_, since = revision_,
                  waiting = std::move(waiting)](ChangesResult result) mutable {
                   if (!*alive) return;
                   barrier_running_ = false;
                   const bool ok = has_changes_since(since, result);
                   if (ok) apply(result);
                   for (auto& done : waiting) done(ok);
                   if (!waiting_.empty() && !barrier_scheduled_) {
                     barrier_scheduled_ = true;
                     barrier_timer_.expires_at(last_barrier_ + kBarrierGap);
                     barrier_timer_.async_wait([this, alive](const asio::error_code& error) {
                       if (!*alive || error) return;
                       barrier_scheduled_ = false;
                       run_barrier();
                     });
                   }
                 });
}

}  // namespace violetpulley::store
