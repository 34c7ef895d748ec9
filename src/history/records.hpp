/// @file
/// Payloads of the frames of a history.
///
/// A segment of events holds a `SegmentHeader`, then the records in the order in which the core
/// received them. A snapshot holds a `SnapshotHeader`, the parts of the core's state in slices, and
/// a `SnapshotEnd`.
#pragma once

#include "core/events.hpp"
#include "history/frames.hpp"
#include "history/pack.hpp"

namespace violetpulley::history {

/// Identifies one history, so that files of different histories are not mixed.
using HistoryId = std::string;

/// First frame of a segment.
struct SegmentHeader {
  HistoryId history;
  std::uint64_t segment = 0;
  std::uint64_t first_record = 0;  // number of earlier records in this history
  std::string previous_tail;       // last MAC of the previous segment, if signed
  core::WallTime started_at{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.history, s.segment, s.first_record, s.previous_tail, s.started_at);
  }
};

/// Digest of the actions that the core returned after the preceding events; a replay must produce
/// the same digest.
struct ActionsRecorded {
  std::uint64_t digest = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.digest);
  }
};

/// An event or the digest of a batch of actions, with the fencing token of the leader and the time.
struct Record {
  core::FencingToken token = 0;
  core::TimePoint at{};  // steady clock of the process that wrote it
  std::variant<core::Event, ActionsRecorded> content;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.token, s.at, s.content);
  }
};

/// A machine's heartbeat as the difference to its previous heartbeat in the same segment.
/// Successive heartbeats are nearly equal, and full heartbeats would take most of the bytes of a
/// history.
struct HeartbeatChanges {
  core::MachineId machine;
  bool answers_commands = false;  // the heartbeat came in the response to commands
  std::uint64_t epoch = 0;
  std::uint64_t heartbeat_sequence = 0;
  core::FencingToken token = 0;
  std::vector<std::uint32_t> removed;  // indices in the previous task list
  std::vector<std::pair<std::uint32_t, core::TaskStatus>> added;  // index in the new list

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.answers_commands, s.epoch, s.heartbeat_sequence, s.token, s.removed, s.added);
  }
};

/// A record as stored in the file. A heartbeat is stored as a difference, unless it is the first of
/// its machine in the segment or differs in a field that HeartbeatChanges does not hold.
struct WrittenRecord {
  core::FencingToken token = 0;
  core::TimePoint at{};
  std::variant<core::Event, ActionsRecorded, HeartbeatChanges> content;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.token, s.at, s.content);
  }
};

/// First frame of a snapshot. The snapshot covers all events before `segment`.
struct SnapshotHeader {
  HistoryId history;
  std::uint64_t segment = 0;
  std::uint64_t record_count = 0;
  core::TimePoint at{};
  core::WallTime wall{};
  core::TimePoint elected_at{};
  core::LeaderElected elected_event;  // without the recovered state
  std::string events_tail;            // last MAC of the previous segment, if signed

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.history, s.segment, s.record_count, s.at, s.wall, s.elected_at, s.elected_event,
      s.events_tail);
  }
};

/// A slice of one part of the state; `last` marks the last slice of the part.
struct SnapshotSlice {
  std::string part;
  bool last = false;
  std::string bytes;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.part, s.last, s.bytes);
  }
};

/// Last frame of a snapshot.
struct SnapshotEnd {
  std::uint64_t state_digest = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.state_digest);
  }
};

using SnapshotPiece = std::variant<SnapshotHeader, SnapshotSlice, SnapshotEnd>;

/// Whether snapshots omit the part while it is empty. Versions without the part wrote such
/// snapshots.
template <class Part>
inline constexpr bool is_omittable = requires {
  Part::kOmittedWhenEmpty;
};
/// Whether a snapshot stores the part in its current state.
template <class Part>
bool is_stored(const Part& part) {
  if constexpr (is_omittable<Part>)
    return !part.empty();
  else
    return true;
}

/// The core's state, part by part (name, bytes) in the order of `Controller::each_part`.
using Parts = std::vector<std::pair<std::string, std::string>>;
Parts parts_of(const core::Controller& controller);
/// Throws DecodeError if a part that is always stored is missing, or if a part cannot be decoded.
void restore_parts(core::Controller& controller, const Parts& parts);
std::uint64_t digest_of(const Parts& parts);

/// File names: "events-<12 digits>.vph" and "save-<12 digits>.vps".
std::string segment_name(std::uint64_t number);
std::string snapshot_name(std::uint64_t segment);
/// The number in the name of a segment or snapshot; none for other names.
std::optional<std::uint64_t> segment_number(const std::string& name);
std::optional<std::uint64_t> snapshot_number(const std::string& name);

}  // namespace violetpulley::history
