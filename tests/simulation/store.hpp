/// @file
/// The state service of a simulated world. Owns the records, the leader's fencing token, and how
/// the service fails at present.
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

  /// Whether the leader with that token may write.
  bool accepts(FencingToken token) const { return token == leader_token; }
  /// Makes a write of that leader after `delay`. While the service refuses the leader, the write is
  /// tried again.
  void write(FencingToken token, Seconds delay, Callback write_record);
  /// Changes of jobs may still be delayed: those held back by a slow service, too.
  bool changes_may_be_delayed() const;
  /// Calls `deliver` when a change of a job reaches the leader, unless the service is stalled then.
  void publish_change(Callback deliver, const std::function<bool()>& leader_exists);
  /// Delivers what was held back.
  void resume_changes();
  /// A new leader reads the present records: changes held back for the former one are dropped.
  void reset_for_new_leader();
  /// Whether a fault of the service lasts.
  bool fault_active() const { return outage || refuses_leader || changes_stalled; }

  std::map<JobId, JobRecord> jobs;  ///< unfinished
  std::map<MachineId, MachineRecord> machines;
  std::map<std::pair<JobId, TaskIndex>, ProgressRecord> progress;  ///< by job and chunk
  std::map<JobId, PlacementRecord> placements;
  /// Leader and version of the newest placement record of each job.
  std::map<JobId, std::pair<FencingToken, std::uint64_t>> placement_versions;
  bool placements_marked = false;  ///< all starts of gangs and services are recorded
  Revision revision = 0;
  FencingToken leader_token = 0;  ///< 0: nobody holds the leader key

  bool refuses_leader = false;   ///< in an outage too
  bool outage = false;           ///< for all clients
  bool changes_stalled = false;  ///< changes of jobs do not reach the leader
  TimePoint slow_until{};

 private:
  Environment& environment_;
  std::vector<Callback> held_changes_;
};

}  // namespace violetpulley::core::simulated
