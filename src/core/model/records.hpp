/// @file
/// Records that a leader writes to the state service, in addition to the jobs, for the next leader.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// Number of tasks whose progress shares one record.
inline constexpr TaskIndex kProgressChunk = 1000;

/// Consecutive task indexes, both ends included.
struct IndexRange {
  TaskIndex first = 0;
  TaskIndex last = 0;

  friend bool operator==(const IndexRange&, const IndexRange&) = default;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.first, s.last);
  }
};

/// Appends an index that is greater than all indexes in the ascending ranges; extends the last
/// range if the index follows it directly.
inline void append_index(std::vector<IndexRange>& ranges, TaskIndex index) {
  if (!ranges.empty() && ranges.back().last + 1 == index)
    ranges.back().last = index;
  else
    ranges.push_back({index, index});
}

/// An image in a machine's cache.
struct RecordedImage {
  std::string name;
  double gb = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.gb);
  }
};

/// A machine that was requested or has sent a heartbeat.
struct MachineRecord {
  MachineId id;
  std::string endpoint;  ///< Empty: requested, not yet up.
  std::string type;
  std::string zone;
  bool spot = false;
  std::vector<RecordedImage> images;  ///< Most recently used last.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.images);
  }
};

/// Progress of up to `kProgressChunk` tasks of a job.
struct ProgressRecord {
  JobId job;
  TaskIndex chunk = 0;  ///< The record covers the tasks from `chunk * kProgressChunk`.
  std::vector<IndexRange> done;
  std::vector<IndexRange> restarted;  ///< Restarted for consolidation or preemption.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.chunk, s.done, s.restarted);
  }
};

/// The machines on which the tasks of a gang or a service may be: written before a start is sent,
/// so that a new leader knows which machines to wait for (docs/safety.md, "Committed starts").
struct PlacementRecord {
  JobId job;
  std::vector<MachineId> machines;  ///< By task; empty: the task was never started.
  bool known = true;  ///< False: too many machines to record; the tasks may be on any machine.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.machines, s.known);
  }
};

}  // namespace violetpulley::core
