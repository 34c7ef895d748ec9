// The leader's writes, each conditioned on the leader key, so that a late one of a past leader
// fails. Machines and progress are kept in pages; at most one transaction of pages is under way.
#pragma once

#include <array>

#include "store/paged_records.hpp"

namespace violetpulley::store {

class LeaderWriter {
 public:
  LeaderWriter(StoreClient& store, core::FencingToken token, std::size_t max_changes,
               std::size_t page_bytes);
  ~LeaderWriter() { *alive_ = false; }
  LeaderWriter(const LeaderWriter&) = delete;
  LeaderWriter& operator=(const LeaderWriter&) = delete;

  // In the order of their urgency: a start waits for a machine's record, while progress may be
  // late, since only repeated work is at stake.
  PagedRecords& machines() { return machines_; }
  PagedRecords& provisioning() { return provisioning_; }
  PagedRecords& progress() { return progress_; }
  // Where tasks of gangs and services may be: their starts wait for it, after machines.
  PagedRecords& placements() { return placements_; }

  // Writes the pages that are due.
  void flush(core::TimePoint now);
  // A transaction of its own, with further conditions.
  void commit(Transaction transaction, std::function<void(TransactionResult)> done);

 private:
  static constexpr std::size_t kTables = 4;
  using Batches = std::array<PagedRecords::Batch, kTables>;
  std::array<PagedRecords*, kTables> tables() {
    return {&machines_, &placements_, &provisioning_, &progress_};
  }
  void flushed(Batches& batches, const TransactionResult& result);
  void reread(const std::string& key);

  StoreClient& store_;
  core::FencingToken token_;
  std::size_t max_changes_;
  PagedRecords machines_;
  PagedRecords provisioning_;
  PagedRecords progress_;
  PagedRecords placements_;
  bool in_flight_ = false;
  int rereading_ = 0;
  core::TimePoint next_flush_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
