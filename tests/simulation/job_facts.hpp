/// @file
/// Ground truth about the jobs of a simulated world, independent of what the store and the leader
/// know. Plain data, owned by World.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// One attempt of a gang across all machines.
struct GangRun {
  bool running = false;
  TimePoint started_at{};
  TimePoint ends_at{};
  std::optional<TimePoint> failure_noticed_at;  ///< when peers notice that a task is missing
  std::optional<TimePoint> first_stop_at;
  std::size_t checkpointing_tasks = 0;  ///< stopped in time for a common checkpoint
};

/// All jobs ever submitted and their true state.
struct JobFacts {
  std::map<JobId, JobSpec> specs;
  std::set<TaskKey> completed;
  std::set<JobId> finished;                 ///< reported as done to the users
  std::map<JobId, TimePoint> cancelled_at;  ///< when the cancellation was confirmed
  std::map<std::pair<JobId, Attempt>, GangRun> gang_runs;
  std::map<JobId, Seconds> gang_checkpoints;  ///< run time saved in the gang's checkpoints
  std::set<JobId> checkpointed_gangs;         ///< gangs with checkpoints of all tasks
  std::map<TaskKey, Seconds> checkpoints;     ///< run time saved in the task's checkpoints
  std::size_t gang_starts = 0;
  std::size_t checkpoints_begun = 0;
};

}  // namespace violetpulley::core::simulated
