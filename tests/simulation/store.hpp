/// @file
/// The state service of a simulated world. Owns the records, the leader's fencing token and the
/// current faults of the service.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/model/actions.hpp"
#include "simulation/environment.hpp"

namespace violetpulley::core::simulated {

/// Records and faults of the state service.
class Store {
 public:
  using Callback = Environment::Callback;

  explicit Store(Environment& environment) : environment_(environment) {}

  /// Whether writes with that token are accepted.
  bool accepts(FencingToken token) const { return token == leader_token; }
  /// Performs a write of the leader with that token after `delay`. While the service refuses the
  /// leader, the write is retried.
  void write(FencingToken token, Seconds delay, Callback write_record);
  /// Whether changes of jobs may still arrive late. Stays true after the service was slow until all
  /// changes delayed by it have arrived.
  bool changes_may_be_delayed() const;
  /// Calls `deliver` when a change of a job reaches the leader. If changes are stalled at that
  /// time, the call waits for `resume_changes`.
  void publish_change(Callback deliver, const std::function<bool()>& leader_exists);
  /// Ends the stall and delivers the changes that it delayed.
  void resume_changes();
  /// Drops the stalled changes for the former leader, since a new leader reads the current
  /// records, and ends the refusal of the leader and the stall.
  void reset_for_new_leader();
  /// Whether a fault of the service is active.
  bool fault_active() const { return outage || refuses_leader || changes_stalled; }

  std::map<JobId, JobRecord> jobs;  ///< unfinished
  std::map<MachineId, MachineRecord> machines;
  std::map<std::pair<JobId, TaskIndex>, ProgressRecord> progress;  ///< by job and chunk
  std::map<JobId, PlacementRecord> placements;
  /// Leader token and version of the latest placement record of each job.
  std::map<JobId, std::pair<FencingToken, std::uint64_t>> placement_versions;
  bool placements_marked = false;  ///< all placements of gangs and services are recorded
  Revision revision = 0;
  FencingToken leader_token = 0;  ///< 0: no leader holds the key

  bool refuses_leader = false;   ///< set during outages as well
  bool outage = false;           ///< affects all clients
  bool changes_stalled = false;  ///< changes of jobs do not reach the leader
  TimePoint slow_until{};

 private:
  Environment& environment_;
  std::vector<Callback> stalled_changes_;
};

}  // namespace violetpulley::core::simulated
