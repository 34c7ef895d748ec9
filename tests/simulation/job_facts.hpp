/// @file
/// What is true of the jobs of a simulated world, whatever the store and the leader know of it.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// One attempt of a gang, whose tasks find each other across machines.
struct GangRun {
  bool running = false;
  TimePoint started_at{};
  TimePoint ends_at{};
  std::optional<TimePoint>
      failure_noticed_at;  ///< when the others notice that a task has ended early
  std::optional<TimePoint> first_stop_at;
  std::size_t checkpointing_tasks = 0;  ///< stopped soon enough after the first for a checkpoint
};

/// Jobs that were ever submitted and what has become of them.
struct JobFacts {
  std::map<JobId, JobSpec> specs;
  std::set<TaskKey> completed;
  std::set<JobId> finished;                 ///< reported done
  std::map<JobId, TimePoint> cancelled_at;  ///< when the cancellation was confirmed
  std::map<std::pair<JobId, Attempt>, GangRun> gang_runs;
  std::map<JobId, Seconds> gang_checkpoints;  ///< run time that the gang's checkpoints hold
  std::set<JobId> checkpointed_gangs;         ///< gangs with a checkpoint of all tasks
  std::map<TaskKey, Seconds> checkpoints;     ///< run time that the task's checkpoints hold
  std::size_t gang_starts = 0;
  std::size_t checkpoints_begun = 0;
};

}  // namespace violetpulley::core::simulated
