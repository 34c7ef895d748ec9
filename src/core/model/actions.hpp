// What the core asks the shells to do. Every action on the store is conditioned on leadership by
// the shell that carries it out.
#pragma once

#include <utility>
#include <variant>

#include "core/model/types.hpp"

namespace violetpulley::core {

using IndexRange = std::pair<TaskIndex, TaskIndex>;  // both ends included

struct MachineRecord {
  MachineId id;
  std::string endpoint;  // empty: rented, not yet up
  std::string type;
  std::string zone;
  bool spot = false;
  std::vector<std::pair<std::string, double>> images;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.images);
  }
};

struct ProgressRecord {
  JobId job;
  TaskIndex chunk = 0;
  std::vector<IndexRange> done;
  std::vector<IndexRange> restarted;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.chunk, s.done, s.restarted);
  }
};

struct SendCommands {
  MachineId machine;
  std::string endpoint;
  std::uint64_t epoch = 0;
  std::vector<Command> commands;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.endpoint, s.epoch, s.commands);
  }
};
struct SaveMachine {
  MachineRecord record;
  bool only_images = false;  // registered before: it only spares fetches after a takeover
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.only_images);
  }
};
struct DeleteMachine {
  MachineId id;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id);
  }
};
struct SaveProgress {
  ProgressRecord record;
  std::size_t tasks_in_chunk = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.tasks_in_chunk);
  }
};
// Where the tasks of a gang or a service may be: written before a start is sent, so that a new
// leader knows which machines to wait for (docs/safety.md, "Committed starts").
struct PlacementRecord {
  JobId job;
  std::vector<MachineId> machines;  // by task; empty: was never started
  bool known = true;                // false: too many to write down, the job may be anywhere

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.machines, s.known);
  }
};
struct SavePlacements {
  PlacementRecord record;
  std::uint64_t version = 0;  // of this job's record, counted from 1 by each leader

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.version);
  }
};
// From here on every start of a gang or a service that may be anywhere has its record.
struct MarkPlacements {
  template <class S, class F>
  static void fields(S&, F&& f) {
    f();
  }
};
struct FinishJob {
  JobId job;
  Revision revision = 0;
  std::vector<TaskIndex> chunks;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.revision, s.chunks);
  }
};
struct DeleteProgress {
  JobId job;
  std::vector<TaskIndex> chunks;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.chunks);
  }
};
struct ScaleOut {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.type, s.zone, s.spot, s.count);
  }
};
struct ScaleIn {
  std::vector<MachineId> machines;
  std::string cause;  // for the log: "3 idle, 1 silent"
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines, s.cause);
  }
};
struct Resign {
  std::string cause;
  bool isolated = false;  // no machine is heard from: another controller may hear them
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.cause, s.isolated);
  }
};

// For the log, once for each time the pause grows: users and operators look for the cause.
struct JobSuspected {
  JobId job;
  std::size_t machines = 0;  // on which it failed
  Seconds pause{0};          // until it is tried again
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.machines, s.pause);
  }
};

using Action =
    std::variant<SendCommands, SaveMachine, DeleteMachine, SaveProgress, FinishJob, DeleteProgress,
                 ScaleOut, ScaleIn, Resign, SavePlacements, MarkPlacements, JobSuspected>;

inline constexpr TaskIndex kProgressChunk = 1000;

}  // namespace violetpulley::core
