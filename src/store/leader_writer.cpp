#include "store/leader_writer.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {

// A transaction holds 64 KiB altogether; names, conditions and quotes take their part.
constexpr std::size_t kMaxTransactionBytes = std::size_t{52} * 1024;
// Between two transactions of pages, so that changes that come close together share one.
constexpr milliseconds kMinFlushInterval{200};
constexpr milliseconds kFlushRetryDelay{300};

constexpr milliseconds kMachinesMaxDeferral{2000};
constexpr milliseconds kProvisioningMaxDeferral{700};
constexpr milliseconds kProgressMaxDeferral{1500};
constexpr milliseconds kPlacementsMaxDeferral{1500};

}  // namespace

LeaderWriter::LeaderWriter(StoreClient& store, core::FencingToken token, std::size_t max_changes,
                           std::size_t page_bytes)
    : store_(store),
      token_(token),
      max_changes_(max_changes),
      machines_(kMachinesPrefix, page_bytes, kMachinesMaxDeferral),
      provisioning_(kProvisioningPrefix, page_bytes, kProvisioningMaxDeferral),
      progress_(kProgressPrefix, page_bytes, kProgressMaxDeferral),
      placements_(kPlacementsPrefix, page_bytes, kPlacementsMaxDeferral) {}

void LeaderWriter::commit(Transaction transaction, TransactionHandler done) {
  transaction.conditions.push_back({kLeaderKey, token_});
  store_.commit(transaction, RequestPriority::background, lifetime_.guard(std::move(done)));
}

void LeaderWriter::flush(core::TimePoint now) {
  if (flush_in_flight_ || pending_rereads_ > 0 || now < next_flush_ || !store_.idle()) return;
  Batches batches;
  auto transaction = take_due_pages(now, batches);
  if (transaction.writes.empty()) return;
  flush_in_flight_ = true;
  commit(std::move(transaction),
         [this, batches = std::move(batches)](const TransactionResult& result) mutable {
           flush_in_flight_ = false;
           finish_flush(batches, result);
         });
}

// What the transaction has no capacity for stays due in its table.
Transaction LeaderWriter::take_due_pages(core::TimePoint now, Batches& batches) {
  Transaction transaction;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < kTables; ++i) {
    if (transaction.writes.size() >= max_changes_ || bytes >= kMaxTransactionBytes) break;
    auto& batch = batches[i];
    tables()[i]->take(now, max_changes_ - transaction.writes.size(), kMaxTransactionBytes - bytes,
                      batch);
    bytes += batch.bytes;
    for (const auto& condition : batch.conditions) transaction.conditions.push_back(condition);
    for (auto& write : batch.writes) transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

void LeaderWriter::finish_flush(Batches& batches, const TransactionResult& result) {
  const auto now = Clock::now();
  const bool committed = result.outcome == Outcome::ok;
  next_flush_ = now + (committed ? kMinFlushInterval : kFlushRetryDelay);
  for (std::size_t i = 0; i < kTables; ++i) {
    if (committed)
      tables()[i]->mark_committed(batches[i], result.revision);
    else
      tables()[i]->mark_failed(batches[i], now);
  }
  // An unanswered write of ours was executed after all: read which revision it left.
  if (result.outcome == Outcome::conflict)
    for (const auto& key : result.failed_conditions)
      if (key != kLeaderKey) reread_page(key);
}

void LeaderWriter::reread_page(const std::string& key) {
  spdlog::info("the page {} was changed by a late write; reading it again", key);
  ++pending_rereads_;
  store_.get(key, RequestPriority::safety, lifetime_.guard([this, key](const GetResult& result) {
    --pending_rereads_;
    // Without an answer the next write fails on the same condition, and the page is read once more.
    if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found) return;
    const auto revision = result.outcome == Outcome::ok ? result.item.revision : 0;
    for (auto* table : tables())
      if (key.starts_with(table->prefix())) table->set_page_revision(key, revision);
  }));
}

}  // namespace violetpulley::store
