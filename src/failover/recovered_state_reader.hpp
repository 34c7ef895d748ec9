// Reads what a new leader inherits: all that earlier leaders stored, read after the key was won and
// proved afterwards to have been read while it was ours (docs/safety.md, "What a leader checks
// before its first decision"). It decides nothing; a read that fails or cannot be understood starts
// over.
#pragma once

#include "core/model/settings.hpp"
#include "failover/failover_timeline.hpp"
#include "store/election.hpp"
#include "store/leader_writer.hpp"
#include "store/read_barrier_loop.hpp"

namespace violetpulley::failover {

class RecoveredStateReader {
 public:
  // Called once, with what was read.
  using Done = std::function<void(core::RecoveredState)>;

  // `records_starts`: this leader records where gangs and services may be; otherwise the mark that
  // says so is taken away first.
  RecoveredStateReader(asio::io_context& io, core::FencingToken token, bool records_starts,
                       store::StoreClient& store, store::LeaderWriter& writer,
                       store::JobReplica& job_replica, store::ReadBarrierLoop& read_barriers,
                       store::Election& election, FailoverTimeline& steps, Done done);
  ~RecoveredStateReader() { *alive_ = false; }
  RecoveredStateReader(const RecoveredStateReader&) = delete;
  RecoveredStateReader& operator=(const RecoveredStateReader&) = delete;

 private:
  void read();
  void read_again();
  void read_pages(std::vector<store::PagedRecords*> tables,
                  std::vector<std::vector<store::Item>> pages);
  void read_mark();
  void clear_mark();
  void read_jobs();

  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  core::FencingToken token_;
  bool records_starts_;
  store::StoreClient& store_;
  store::LeaderWriter& writer_;
  store::JobReplica& job_replica_;
  store::ReadBarrierLoop& read_barriers_;
  store::Election& election_;
  FailoverTimeline& steps_;
  Done done_;
  asio::steady_timer again_;
  core::RecoveredState recovered_;
};

}  // namespace violetpulley::failover
