/// @file
/// Reads the state that earlier leaders stored, for a new leader. All reads are sent after the
/// leader key was won; afterwards the key is read again to prove that this node still led
/// (docs/safety.md, "What a leader checks before its first decision"). Owns the state read so far,
/// makes no decisions, and starts over when a read fails or a record cannot be decoded.
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
  /// Called once, with the state that was read.
  using Done = std::function<void(core::RecoveredState)>;

  /// Starts reading and fills the record tables of `writer`. `records_starts` says whether this
  /// leader records on which machines tasks of gangs and services may run; if not, the mark that
  /// declares these records complete is deleted before the read finishes.
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
  /// Lists the pages of the tables one after the other. `pages` holds those of the tables that have
  /// been read.
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
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::failover
