/// @file
/// State of a simulated machine and its agent. Holds plain data and owns no other state.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// One attempt of a task on a machine.
struct AgentTask {
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  TimePoint image_ready{};    ///< end of the fetch of its image
  TimePoint ends_at{};        ///< end of its run or of its checkpoint
  TimePoint started_at{};     ///< start of its run or of its wait for its gang
  bool checkpointed = false;  ///< its exit left a checkpoint

  /// Whether the attempt has not exited. A live attempt uses the machine's resources.
  bool live() const { return state != TaskState::exited; }
  /// Marks the attempt as exited.
  void exit(ExitCause exit_cause);
};

/// A machine of the cloud and the agent on it.
struct SimulatedAgent {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool terminated = false;
  bool faulty = false;  ///< every task on the machine fails
  TimePoint up_at{};
  TimePoint hangs_until{};
  TimePoint inbound_partition_until{};   ///< heartbeats arrive; nothing reaches the agent
  TimePoint outbound_partition_until{};  ///< heartbeats do not arrive; commands are answered
  bool follows_former_leader = false;    ///< reports to a leader partitioned from the store
  int endpoint_number = 1;               ///< may change when the machine restarts
  int restarts = 0;                      ///< of the machine, each within a second
  std::uint64_t epoch = 1;
  std::uint64_t heartbeat_sequence = 0;
  FencingToken token = 0;
  TimePoint lease_renewed{};  ///< sending time of the latest answered heartbeat
  TimePoint next_heartbeat{};
  std::optional<TimePoint> reclaimed_at;  ///< when the spot machine is reclaimed
  std::map<std::pair<TaskKey, Attempt>, AgentTask> tasks;
  std::set<std::string> images;

  /// Whether the machine has booted and has not been terminated.
  bool up(TimePoint now) const { return !terminated && now >= up_at; }
  /// Whether the machine hangs: tasks make no progress and no message is answered.
  bool hangs(TimePoint now) const { return now < hangs_until; }
  bool partitioned_inbound(TimePoint now) const { return now < inbound_partition_until; }
  bool partitioned_outbound(TimePoint now) const { return now < outbound_partition_until; }
  /// Whether the machine hangs or is partitioned.
  bool hangs_or_partitioned(TimePoint now) const;
  /// Brings the next heartbeat forward to `time` if it is due later.
  void heartbeat_by(TimePoint time);
  /// Terminates the machine and drops its tasks.
  void terminate();
  /// Returns the next heartbeat and increments the heartbeat sequence.
  Heartbeat make_heartbeat(TimePoint now);
};

}  // namespace violetpulley::core::simulated
