/// @file
/// A simulated machine with its agent, as plain data.
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
  TimePoint image_ready{};    ///< when its image has been fetched
  TimePoint ends_at{};        ///< of its run, or of its checkpoint
  TimePoint started_at{};     ///< to run, or to wait for its gang
  bool checkpointed = false;  ///< its exit left a checkpoint

  /// Whether the attempt uses the machine's resources.
  bool live() const { return state != TaskState::exited; }
  /// Ends the attempt.
  void exit(ExitCause exit_cause);
};

/// A machine of the cloud and the agent on it.
struct SimulatedAgent {
  MachineId id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool terminated = false;
  bool faulty = false;  ///< every task fails on it
  TimePoint up_at{};
  TimePoint hangs_until{};
  TimePoint inbound_partition_until{};   ///< its heartbeats arrive; nothing reaches it
  TimePoint outbound_partition_until{};  ///< it reaches no controller, and answers commands
  bool follows_former_leader = false;    ///< reports to a leader without store and peers
  int endpoint_number = 1;               ///< the endpoint changes when the machine is back
  std::uint64_t epoch = 1;
  std::uint64_t heartbeat_sequence = 0;
  FencingToken token = 0;
  TimePoint lease_renewed{};  ///< sending time of the newest heartbeat that was answered
  TimePoint next_heartbeat{};
  std::optional<TimePoint> reclaimed_at;  ///< end of a spot notice
  std::map<std::pair<TaskKey, Attempt>, AgentTask> tasks;
  std::set<std::string> images;

  /// Whether the agent's process exists.
  bool up(TimePoint now) const { return !terminated && now >= up_at; }
  /// Whether the machine hangs: it neither works nor answers.
  bool hangs(TimePoint now) const { return now < hangs_until; }
  bool partitioned_inbound(TimePoint now) const { return now < inbound_partition_until; }
  bool partitioned_outbound(TimePoint now) const { return now < outbound_partition_until; }
  /// Whether the machine hangs or is partitioned.
  bool hangs_or_partitioned(TimePoint now) const;
  /// Sends the next heartbeat at that time at the latest.
  void heartbeat_by(TimePoint time);
  /// The machine is gone, and all tasks on it.
  void terminate();
  /// The next heartbeat; counts its sequence on.
  Heartbeat make_heartbeat(TimePoint now);
};

}  // namespace violetpulley::core::simulated
