/// @file
/// Time and identifier types of the core. The core does not use the names on the wire: the codecs
/// translate them.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace violetpulley::core {

/// Monotonic clock on which all decisions are based.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
/// Time of day in milliseconds. It may step, so it is used only across restarts and towards users.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// Duration in fractional seconds, as in settings and on the wire.
using Seconds = std::chrono::duration<double>;

/// Rounds towards zero to the resolution of `Clock`.
inline Duration to_duration(Seconds seconds) {
  return std::chrono::duration_cast<Duration>(seconds);
}

using JobId = std::string;
using MachineId = std::string;
/// Revision of the leader key; agents refuse commands with a lower token.
using FencingToken = std::uint64_t;
/// Sequence number of a change in the state service.
using Revision = std::uint64_t;
/// Identifies one start of a task; the tasks of a gang share the number.
using Attempt = std::uint64_t;
/// Number of a task within its job, from 0.
using TaskIndex = std::uint32_t;
/// Increases when an agent has lost its tasks; 0: unknown.
using AgentEpoch = std::uint64_t;
/// Orders the heartbeats of an agent epoch.
using HeartbeatSequence = std::uint64_t;
/// Version of a job's placement record, counted from 1 by each leader; 0: no record.
using PlacementVersion = std::uint64_t;

/// Identifies a task.
struct TaskKey {
  JobId job;
  TaskIndex index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.index);
  }
};

}  // namespace violetpulley::core
