/// @file
/// Actions that the core returns to the surrounding shell for execution. The shell makes every
/// write to the state service conditional on leadership.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/model/records.hpp"

namespace violetpulley::core {

/// Sends a command batch to a machine's agent; an empty batch is a probe.
struct SendCommands {
  MachineId machine;
  std::string endpoint;
  AgentEpoch epoch = 0;
  std::vector<Command> commands;
  FencingToken raised_token = 0;  ///< 0: the leader's own token

  /// A token of 0 is left out, so that the digests of older histories stay valid.
  template <class S, class F>
  static void fields(S& s, F&& f) {
    if (s.raised_token == 0)
      f(s.machine, s.endpoint, s.epoch, s.commands);
    else
      f(s.machine, s.endpoint, s.epoch, s.commands, s.raised_token);
  }
};

/// Writes a machine's record.
struct SaveMachine {
  MachineRecord record;
  bool only_images_changed = false;  ///< The machine is registered already: the record only avoids
                                     ///< image fetches after a failover.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.only_images_changed);
  }
};

/// Deletes a machine's record.
struct DeleteMachine {
  MachineId id;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id);
  }
};

/// Writes a progress record.
struct SaveProgress {
  ProgressRecord record;
  std::size_t tasks_in_chunk = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.tasks_in_chunk);
  }
};

/// Writes a placement record.
struct SavePlacements {
  PlacementRecord record;
  PlacementVersion version = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.version);
  }
};

/// Marks the placement records as complete: every start of a gang or a service that may still have
/// an effect is covered by a placement record.
struct MarkPlacements {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};

/// Ends a job whose tasks are all done, and deletes its progress records.
struct FinishJob {
  JobId job;
  Revision revision = 0;          ///< Of the transaction that accepted the job.
  std::vector<TaskIndex> chunks;  ///< Progress records that may exist.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.revision, s.chunks);
  }
};

/// Deletes progress records of a job that has ended.
struct DeleteProgress {
  JobId job;
  std::vector<TaskIndex> chunks;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.chunks);
  }
};

/// Requests machines from the cloud.
struct ScaleOut {
  std::string name;  ///< Idempotency key: requests with the same name yield machines only once.
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.type, s.zone, s.spot, s.count);
  }
};

/// Returns machines to the cloud.
struct ScaleIn {
  std::vector<MachineId> machines;
  std::string cause;  ///< For the log, as in "3 idle, 1 silent".

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines, s.cause);
  }
};

/// Gives up leadership.
struct Resign {
  std::string cause;      ///< For the log.
  bool isolated = false;  ///< No heartbeats arrive here; another controller may receive them.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.cause, s.isolated);
  }
};

/// Logs that all tasks of a job fail, so that users and operators look for the cause. Emitted each
/// time the backoff before the next retry grows.
struct JobSuspected {
  JobId job;
  std::size_t machines = 0;  ///< Machines on which the job failed.
  Seconds backoff{0};        ///< Time until the next retry.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.machines, s.backoff);
  }
};

/// Logs that a task has ended and must not run elsewhere yet, because a delayed start command may
/// still run the ended attempt again on its machine.
struct TaskHeld {
  TaskKey task;
  MachineId machine;
  Attempt attempt = 0;
  Seconds max_hold_time{0};  ///< The return of the machine is requested within this time.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.task, s.machine, s.attempt, s.max_hold_time);
  }
};

/// Logs that a machine no longer lists tasks that it listed as running in the same agent epoch.
struct MachineLostTasks {
  MachineId machine;
  AgentEpoch epoch = 0;
  std::size_t tasks = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.epoch, s.tasks);
  }
};

/// New alternatives are appended: the recorded history identifies an action by its index here.
using Action = std::variant<SendCommands, SaveMachine, DeleteMachine, SaveProgress, FinishJob,
                            DeleteProgress, ScaleOut, ScaleIn, Resign, SavePlacements,
                            MarkPlacements, JobSuspected, TaskHeld, MachineLostTasks>;

}  // namespace violetpulley::core
