/// @file
/// What agents report: heartbeats with the status of each task.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/identifiers.hpp"

namespace violetpulley::core {

/// State of a task on its machine.
enum class TaskState { fetching, waiting, running, checkpointing, exited };

/// Why a task exited; `none` before its exit.
enum class ExitCause {
  none,
  done,
  stopped,
  peers_gone,  ///< Another task of the running gang disappeared.
  incomplete,  ///< The gang was not complete in time.
  error,
  no_capacity,
  busy,
  unknown
};

/// One task in a heartbeat.
struct TaskStatus {
  TaskKey task;
  Attempt attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool checkpoint_saved = false;  ///< A checkpoint was saved when the task was stopped.

  friend bool operator==(const TaskStatus&, const TaskStatus&) = default;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.task, s.attempt, s.state, s.cause, s.checkpoint_saved);
  }
};

/// Orders the heartbeats of a machine: first by epoch, then by sequence.
struct HeartbeatNumber {
  AgentEpoch epoch = 0;
  HeartbeatSequence sequence = 0;

  friend auto operator<=>(const HeartbeatNumber&, const HeartbeatNumber&) = default;
};

/// An agent's report of its machine and all its tasks.
struct Heartbeat {
  MachineId machine;
  std::string endpoint;  ///< Address and port of the agent.
  std::string type;
  std::string zone;
  bool spot = false;
  AgentEpoch epoch = 0;
  HeartbeatSequence heartbeat_sequence = 0;
  FencingToken token = 0;         ///< The highest fencing token that the agent has seen.
  std::optional<Seconds> notice;  ///< Time until the cloud reclaims the machine; null: unknown.
  std::vector<TaskStatus> tasks;

  HeartbeatNumber number() const { return {epoch, heartbeat_sequence}; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.endpoint, s.type, s.zone, s.spot, s.epoch, s.heartbeat_sequence, s.token,
      s.notice, s.tasks);
  }
};

}  // namespace violetpulley::core
