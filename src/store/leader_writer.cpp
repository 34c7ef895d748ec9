#include "store/leader_writer.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {
// A transaction holds 64 KiB altogether; names, conditions and quotes take their part.
constexpr std::size_t kMaxBytes = 52 * 1024;
// Between two transactions of pages, so that what comes up together is written together.
constexpr milliseconds kFlushGap{200};
constexpr milliseconds kRetryGap{300};
}  // namespace

LeaderWriter::LeaderWriter(StoreClient& store, core::FencingToken token, std::size_t max_changes,
                           std::size_t page_bytes)
    : store_(store),
      token_(token),
      max_changes_(max_changes),
      machines_("machines/", page_bytes, milliseconds(2000)),
      provisioning_("rented/", page_bytes, milliseconds(700)),
      progress_("progress/", page_bytes, milliseconds(1500)),
      placements_("placed/", page_bytes, milliseconds(1500)) {}

void LeaderWriter::commit(Transaction transaction, std::function<void(TransactionResult)> done) {
  transaction.conditions.push_back({"leader", token_});
  store_.commit(transaction, Urgency::background,
                [alive = alive_, done = std::move(done)](TransactionResult result) {
                  if (*alive) done(std::move(result));
                });
}

void LeaderWriter::flush(core::TimePoint now) {
  if (in_flight_ || rereading_ > 0 || now < next_flush_ || !store_.idle()) return;
  Batches batches;
  Transaction transaction;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < kTables; ++i) {
    if (transaction.writes.size() >= max_changes_ || bytes >= kMaxBytes) break;
    auto& batch = batches[i];
    tables()[i]->take(now, max_changes_ - transaction.writes.size(), kMaxBytes - bytes, batch);
    bytes += batch.bytes;
    for (auto& condition : batch.conditions) transaction.conditions.push_back(condition);
    for (auto& write : batch.writes) transaction.writes.push_back(std::move(write));
  }
  if (transaction.writes.empty()) return;
  in_flight_ = true;
  commit(std::move(transaction),
         [this, batches = std::move(batches)](TransactionResult result) mutable {
           in_flight_ = false;
           flushed(batches, result);
         });
}

void LeaderWriter::flushed(Batches& batches, const TransactionResult& result) {
  const auto now = Clock::now();
  const bool ok = result.outcome == Outcome::ok;
  next_flush_ = now + (ok ? kFlushGap : kRetryGap);
  for (std::size_t i = 0; i < kTables; ++i) {
    if (ok)
      tables()[i]->committed(batches[i], result.revision);
    else
      tables()[i]->failed(batches[i], now);
  }
  // An unanswered write of ours was applied after all: read what revision it left.
  if (result.outcome == Outcome::conflict)
    for (const auto& key : result.failed)
      if (key != "leader") reread(key);
}

void LeaderWriter::reread(const std::string& key) {
  spdlog::info("the page {} was changed by a late write; reading it again", key);
  ++rereading_;
  store_.get(key, Urgency::safety, [this, key, alive = alive_](GetResult result) {
    if (!*alive) return;
    --rereading_;
    // Without an answer the next write fails on the same condition and it is read once more.
    if (result.outcome != Outcome::ok && result.outcome != Outcome::not_found) return;
    const auto revision = result.outcome == Outcome::ok ? result.item.revision : 0;
    for (auto* table : tables())
      if (key.starts_with(table->prefix())) table->reread(key, revision);
  });
}

}  // namespace violetpulley::store
