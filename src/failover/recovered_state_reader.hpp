/// @file
/// Reads the recovered state of a new leader: all that earlier leaders stored, read after the
/// leader key was won and proved afterwards to have been read while the key was ours
/// (docs/safety.md, "What a leader checks before its first decision"). Decides nothing; a read that
/// fails or cannot be decoded starts over.
#pragma once

#include <set>

#include "async/lifetime.hpp"
#include "core/model/settings.hpp"
#include "failover/failover_timeline.hpp"
#include "store/election.hpp"
#include "store/leader_writer.hpp"
#include "store/read_barrier_loop.hpp"

namespace violetpulley::failover {

class RecoveredStateReader {
 public:
  /// Called once, with what was read.
  using Done = std::function<void(core::RecoveredState)>;

  /// Begins to read. `records_starts`: this leader records where tasks of gangs and services may
  /// be; otherwise the mark that says so is deleted first. The record tables of `writer` are
  /// filled.
  RecoveredStateReader(asio::io_context& io, core::FencingToken token, bool records_starts,
                       store::StoreClient& store, store::LeaderWriter& writer,
                       store::JobReplica& job_replica, store::ReadBarrierLoop& read_barriers,
                       store::Election& election, FailoverTimeline& timeline, Done done);
  RecoveredStateReader(const RecoveredStateReader&) = delete;
  RecoveredStateReader& operator=(const RecoveredStateReader&) = delete;

 private:
  using Tables = std::vector<store::PagedRecords*>;
  using Pages = std::vector<store::Item>;

  void read();
  void read_again();
  /// Lists the pages of one table after the other. `pages`: of the tables that are read already.
  void read_pages(Tables tables, std::vector<Pages> pages);
  /// Throws store::DecodeError.
  void decode_pages(const Tables& tables, const std::vector<Pages>& pages);
  void decode_machines(store::PagedRecords& table, const Pages& pages,
                       std::set<core::MachineId>& known);
  void decode_progress(store::PagedRecords& table, const Pages& pages);
  void decode_placements(store::PagedRecords& table, const Pages& pages);
  void read_placements_mark();
  void delete_placements_mark();
  void read_jobs();
  void prove_leadership();

  core::FencingToken token_;
  bool records_starts_;
  store::StoreClient& store_;
  store::LeaderWriter& writer_;
  store::JobReplica& job_replica_;
  store::ReadBarrierLoop& read_barriers_;
  store::Election& election_;
  FailoverTimeline& timeline_;
  Done done_;
  asio::steady_timer retry_timer_;
  core::RecoveredState recovered_;
  async::Lifetime lifetime_;  // last member: ends before the others
};

}  // namespace violetpulley::failover
