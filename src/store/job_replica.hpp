/// @file
/// This node's replica of the unfinished jobs, kept up to date by a watch of the state service.
/// A read barrier brings the replica up to date on demand, so that a user never gets a response
/// older than one that another node has already given. Owns the job records and the revision up to
/// which all changes are applied.
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
  /// `fresh` is true if the replica contains all changes committed before the barrier was
  /// requested.
  using BarrierHandler = std::function<void(bool fresh)>;

  JobReplica(asio::io_context& io, StoreClient& store, Events events);
  JobReplica(const JobReplica&) = delete;
  JobReplica& operator=(const JobReplica&) = delete;

  void start() { reload(); }
  /// Whether the replica has been read completely at least once.
  bool synced() const { return synced_; }
  /// Revision up to which all changes are applied.
  Revision applied_revision() const { return applied_revision_; }
  const std::unordered_map<core::JobId, core::JobRecord>& jobs() const { return jobs_; }
  /// Returns null if the replica has no unfinished job with this id.
  const core::JobRecord* find(const core::JobId& id) const;

  /// Sets the delay before the next watch request, in which changes accumulate. A leader uses a
  /// short delay, because new jobs wait for it.
  void set_watch_delay(std::chrono::milliseconds delay) { watch_delay_ = delay; }

  /// Reads and applies the changes that the replica lacks. Barriers requested within a short time
  /// share one read. `done` gets false if the read fails or the first list is not complete yet.
  void read_barrier(RequestPriority priority, BarrierHandler done);

  /// Applies a job opened or closed by a commit of this node, before the watch reports the change.
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
  // Jobs closed by commits of this node, with the revision of the commit, until the watch reaches
  // it.
  std::unordered_map<core::JobId, Revision> closed_ahead_of_watch_;
  std::chrono::milliseconds watch_delay_{400};
  Revision applied_revision_ = 0;
  bool synced_ = false;
  bool regression_logged_ = false;  // whether a decreasing revision has been logged
  bool barrier_running_ = false;
  bool barrier_scheduled_ = false;
  RequestPriority barrier_priority_ = RequestPriority::user;  // priority of the next barrier
  core::TimePoint last_barrier_{};
  std::vector<BarrierHandler> barrier_handlers_;  // handlers of the next barrier
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::store
