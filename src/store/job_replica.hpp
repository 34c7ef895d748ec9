// This node's mirror of the unfinished jobs, fed by a watch, and the read barrier that brings it to
// the present before a user is told anything that could be older than what another node said.
#pragma once

#include <unordered_map>

#include "store/store_client.hpp"

namespace violetpulley::store {

inline constexpr const char* kJobPrefix = "job/";
inline constexpr const char* kEndPrefix = "end/";

class JobReplica {
 public:
  struct Events {
    std::function<void(const core::JobRecord&)> opened;
    std::function<void(const core::JobId&)> closed;
  };

  JobReplica(asio::io_context& io, StoreClient& store, Events events);
  ~JobReplica();
  JobReplica(const JobReplica&) = delete;
  JobReplica& operator=(const JobReplica&) = delete;

  void start() { reload(); }
  bool synced() const { return synced_; }
  Revision revision() const { return revision_; }
  const std::unordered_map<core::JobId, core::JobRecord>& jobs() const { return jobs_; }
  const core::JobRecord* find(const core::JobId& id) const;

  // How long changes may gather: a leader wants to know of new jobs soon.
  void set_watch_gap(std::chrono::milliseconds gap) { watch_gap_ = gap; }

  // Calls back with true once the mirror is not older than this call.
  void barrier(Urgency urgency, std::function<void(bool)> done);

  // A commit of this node, known before the watch tells.
  void note_opened(const core::JobRecord& record);
  void note_closed(const core::JobId& id, Revision revision);

 private:
  void reload();
  void watch();
  void watch_later();
  void retry_reload();
  bool has_changes_since(Revision since, const ChangesResult& result);
  void apply(const ChangesResult& result);
  void open(const core::JobId& id, const Json& value, Revision revision);
  void close(const core::JobId& id, Revision revision);
  void run_barrier();

  StoreClient& store_;
  Events events_;
  asio::steady_timer retry_timer_;
  asio::steady_timer barrier_timer_;
  std::unordered_map<core::JobId, core::JobRecord> jobs_;
  std::unordered_map<core::JobId, Revision> closed_ahead_of_watch_;
  std::chrono::milliseconds watch_gap_{400};
  Revision revision_ = 0;
  bool synced_ = false;
  bool regression_logged_ = false;  // that the state service's revision went backward
  bool barrier_running_ = false;
  bool barrier_scheduled_ = false;
  Urgency barrier_urgency_ = Urgency::user;
  core::TimePoint last_barrier_{};
  std::vector<std::function<void(bool)>> waiting_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
