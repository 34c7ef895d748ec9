#include "store/leader_writer.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {

// The state service limits a transaction to 64 KiB; the rest is left for keys, conditions and JSON
// punctuation.
constexpr std::size_t kMaxTransactionBytes = std::size_t{52} * 1024;
// Minimum time between two page transactions, so that changes within it share one transaction.
constexpr milliseconds kMinFlushInterval{200};
constexpr milliseconds kFlushRetryDelay{300};

constexpr milliseconds kMachinesMaxDeferral{2000};
constexpr milliseconds kProvisioningMaxDeferral{700};
constexpr milliseconds kProgressMaxDeferral{1500};
constexpr milliseconds kPlacementsMaxDeferral{1500};

}  // namespace

LeaderWriter::LeaderWriter(StoreClient& store, core::FencingToken token, std::size_t max_changes,
                           std::size_t page_bytes, ProofHandler on_proof)
    : store_(store),
      token_(token),
      on_proof_(std::move(on_proof)),
      max_changes_(max_changes),
      machines_(kMachinesPrefix, page_bytes, kMachinesMaxDeferral),
      provisioning_(kProvisioningPrefix, page_bytes, kProvisioningMaxDeferral),
      progress_(kProgressPrefix, page_bytes, kProgressMaxDeferral),
      placements_(kPlacementsPrefix, page_bytes, kPlacementsMaxDeferral) {}

void LeaderWriter::commit(Transaction transaction, TransactionHandler done) {
  transaction.conditions.push_back({kLeaderKey, token_});
  store_.commit(transaction, RequestPriority::background,
                lifetime_.guard([this, done = std::move(done)](const TransactionResult& result) {
                  if (result.outcome == Outcome::ok) on_proof_(result.revision);
                  done(result);
                }));
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

// Pages that do not fit into the transaction remain due in their tables.
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
  // A write of this leader whose response was lost has been executed: read the page's new revision.
  if (result.outcome == Outcome::conflict)
    for (const auto& key : result.failed_conditions)
      if (key != kLeaderKey) reread_page(key);
}

void LeaderWriter::reread_page(const std::string& key) {
  spdlog::info("page {} was changed by a delayed write; reading its revision again", key);
  ++pending_rereads_;
  store_.get(key, RequestPriority::safety, lifetime_.guard([this, key](const GetResult& result) {
    --pending_rereads_;
    // If this read fails, the next write fails on the same condition and the page is read again.
    if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found) return;
    const auto revision = result.outcome == Outcome::ok ? result.item.revision : 0;
    for (auto* table : tables())
      if (key.starts_with(table->prefix())) table->set_page_revision(key, revision);
  }));
}

}  // namespace violetpulley::store
