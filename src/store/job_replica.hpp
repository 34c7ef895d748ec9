/// @file
/// This node's replica of the unfinished jobs, fed by a watch of the state service, and the read
/// barrier that brings the replica up to date before a user gets an answer that could be older than
/// what another node has answered. Owns the job records and the revision up to which all changes
/// are applied.
#pragma once

#include <unordered_map>

#include "async/lifetime.hpp"
#include "store/store_client.hpp"

namespace violetpulley::store {

class JobReplica {
 public:
  struct Events {
    std::function<void(const core::JobRecord&)> opened;
    std::function<void(const core::JobId&)> closed;
  };
  /// `fresh`: the replica is not older than the call that passed the handler.
  using BarrierHandler = std::function<void(bool fresh)>;

  JobReplica(asio::io_context& io, StoreClient& store, Events events);
  JobReplica(const JobReplica&) = delete;
  JobReplica& operator=(const JobReplica&) = delete;

  void start() { reload(); }
  /// Whether the replica has been read completely at least once.
  bool synced() const { return synced_; }
  /// All changes up to this revision are applied.
  Revision applied_revision() const { return applied_revision_; }
  const std::unordered_map<core::JobId, core::JobRecord>& jobs() const { return jobs_; }
  /// Null: there is no unfinished job of this id here.
  const core::JobRecord* find(const core::JobId& id) const;

  /// How long changes may gather before the next watch: short for a leader, which waits for new
  /// jobs.
  void set_watch_delay(std::chrono::milliseconds delay) { watch_delay_ = delay; }

  /// Reads the changes that are missing here. Barriers that come close together share one read.
  void read_barrier(RequestPriority priority, BarrierHandler done);

  /// A commit of this node, which may be known before the watch reports the change.
  void apply_local_open(const core::JobRecord& record);
  void apply_local_close(const core::JobId& id, Revision revision);

 private:
  void reload();
  void reload_later();
  void apply_list(const ListResult& result);
  void watch();
  void watch_later();
  bool is_valid_response(Revision since, const ChangesResult& result);
  void apply(const ChangesResult& result);
  void open(const core::JobId& id, const Json& value, Revision revision);
  void close(const core::JobId& id);
  void schedule_barrier();
  void run_barrier();
  void send_barrier();

  StoreClient& store_;
  Events events_;
  asio::steady_timer retry_timer_;
  asio::steady_timer barrier_timer_;
  std::unordered_map<core::JobId, core::JobRecord> jobs_;
  // Jobs that this node closed at a revision that the watch has not reached yet.
  std::unordered_map<core::JobId, Revision> closed_ahead_of_watch_;
  std::chrono::milliseconds watch_delay_{400};
  Revision applied_revision_ = 0;
  bool synced_ = false;
  bool regression_logged_ = false;  // that the state service's revision went backward
  bool barrier_running_ = false;
  bool barrier_scheduled_ = false;
  RequestPriority barrier_priority_ = RequestPriority::user;  // of the next barrier
  core::TimePoint last_barrier_{};
  std::vector<BarrierHandler> barrier_handlers_;  // for the next barrier
  async::Lifetime lifetime_;                      // last member: ends before the others
};

}  // namespace violetpulley::store
