/// @file
/// The leader's writes to the state service. Each is conditioned on the leader key, so that a late
/// write of a former leader fails. Owns the record tables, which are kept in pages; at most one
/// transaction of pages is under way.
#pragma once

#include <array>

#include "async/lifetime.hpp"
#include "store/paged_records.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

class LeaderWriter {
 public:
  /// `max_changes`: the most writes of one transaction.
  LeaderWriter(StoreClient& store, core::FencingToken token, std::size_t max_changes,
               std::size_t page_bytes);
  LeaderWriter(const LeaderWriter&) = delete;
  LeaderWriter& operator=(const LeaderWriter&) = delete;

  /// Registered machines: the first command to a machine waits for its record.
  PagedRecords& machines() { return machines_; }
  /// Requested machines that have not come up yet.
  PagedRecords& provisioning() { return provisioning_; }
  /// Progress of jobs: may be late, since only repeated work is at stake.
  PagedRecords& progress() { return progress_; }
  /// Machines that may run tasks of gangs and services: the starts wait for the record.
  PagedRecords& placements() { return placements_; }

  /// Writes the pages that are due, machines and placements first.
  void flush(core::TimePoint now);
  /// Commits a transaction of its own, with the leader key added to its conditions.
  void commit(Transaction transaction, TransactionHandler done);

 private:
  static constexpr std::size_t kTables = 4;
  using Batches = std::array<PagedRecords::Batch, kTables>;  // in the order of `tables()`

  /// By descending priority.
  std::array<PagedRecords*, kTables> tables() {
    return {&machines_, &placements_, &provisioning_, &progress_};
  }
  Transaction take_due_pages(core::TimePoint now, Batches& batches);
  void finish_flush(Batches& batches, const TransactionResult& result);
  void reread_page(const std::string& key);

  StoreClient& store_;
  core::FencingToken token_;
  std::size_t max_changes_;
  PagedRecords machines_;
  PagedRecords provisioning_;
  PagedRecords progress_;
  PagedRecords placements_;
  bool flush_in_flight_ = false;  // a transaction of pages
  int pending_rereads_ = 0;       // pages whose revisions are being read
  core::TimePoint next_flush_{};
  async::Lifetime lifetime_;  // last member: ends before the others
};

}  // namespace violetpulley::store
