/// @file
/// The leader's writes to the state service. Every write is conditioned on the leader key, so that
/// a delayed write of a former leader fails. Owns the record tables, which are stored in pages, and
/// allows one page transaction in flight at a time.
#pragma once

#include <array>

#include "async/lifetime.hpp"
#include "store/paged_records.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

class LeaderWriter {
 public:
  /// Receives the revision of a commit, at which the leader key was unchanged.
  using ProofHandler = std::function<void(Revision)>;

  /// `max_changes` limits the writes of one transaction, `page_bytes` the size of a page.
  LeaderWriter(StoreClient& store, core::FencingToken token, std::size_t max_changes,
               std::size_t page_bytes, ProofHandler on_proof);
  LeaderWriter(const LeaderWriter&) = delete;
  LeaderWriter& operator=(const LeaderWriter&) = delete;

  /// Registered machines. The first command to a machine waits until its record is committed.
  PagedRecords& machines() { return machines_; }
  /// Requested machines that have not registered yet.
  PagedRecords& provisioning() { return provisioning_; }
  /// Progress of jobs. A delayed or lost record only causes work to be repeated.
  PagedRecords& progress() { return progress_; }
  /// Machines that may run tasks of gangs and services. Starts wait until the record is committed.
  PagedRecords& placements() { return placements_; }

  /// Writes the pages that are due, machines and placements first. Does nothing while a page
  /// transaction is in flight or other requests wait for this node's share of the rate limits.
  void flush(core::TimePoint now);
  /// Commits `transaction` on its own, with the leader key added to its conditions.
  void commit(Transaction transaction, TransactionHandler done);

 private:
  static constexpr std::size_t kTables = 4;
  using Batches = std::array<PagedRecords::Batch, kTables>;  // in the order of `tables()`

  /// The tables by descending priority.
  std::array<PagedRecords*, kTables> tables() {
    return {&machines_, &placements_, &provisioning_, &progress_};
  }
  Transaction take_due_pages(core::TimePoint now, Batches& batches);
  void finish_flush(Batches& batches, const TransactionResult& result);
  void reread_page(const std::string& key);

  StoreClient& store_;
  core::FencingToken token_;
  ProofHandler on_proof_;
  std::size_t max_changes_;
  PagedRecords machines_;
  PagedRecords provisioning_;
  PagedRecords progress_;
  PagedRecords placements_;
  bool flush_in_flight_ = false;  // a page transaction was sent
  int pending_rereads_ = 0;       // pages whose revisions are being read
  core::TimePoint next_flush_{};
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::store
