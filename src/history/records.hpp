/// @file
/// The payloads of a history's frames.
///
/// Segment of events: a `SegmentHeader`, then records in the order in which they entered the core.
/// Snapshot: a `SnapshotHeader`, the parts of the core's state in slices, a `SnapshotEnd`.
#pragma once

#include "core/events.hpp"
#include "history/frames.hpp"
#include "history/pack.hpp"

namespace violetpulley::history {

/// Names one history, so that files of two histories are not mixed.
using HistoryId = std::string;

/// First frame of a segment.
struct SegmentHeader {
  HistoryId history;
  std::uint64_t segment = 0;
  std::uint64_t first_record = 0;  // how many events came before it in this history
  std::string previous_tail;      // last MAC of the segment before, if signed
  core::WallTime started_at{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.history, s.segment, s.first_record, s.previous_tail, s.started_at);
  }
};

/// Digest of the actions that the core returned after the events before this record: a replay must
/// come to the same.
struct ActionsRecorded {
  std::uint64_t digest = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.digest);
  }
};

/// An event or the digest of a batch of actions, with the leader's token and the time.
struct Record {
  core::FencingToken token = 0;
  core::TimePoint at{};  // steady clock of the process that wrote it
  std::variant<core::Event, ActionsRecorded> content;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.token, s.at, s.content);
  }
};

/// A machine's heartbeat as the difference to the last one recorded in this segment: most of a
/// heartbeat is as before, and whole heartbeats took most bytes of a history.
struct HeartbeatChanges {
  core::MachineId machine;
  bool answers_commands = false;  // to commands
  std::uint64_t epoch = 0;
  std::uint64_t heartbeat_sequence = 0;
  core::FencingToken token = 0;
  std::vector<std::uint32_t> removed;                               // places in the last list
  std::vector<std::pair<std::uint32_t, core::TaskStatus>> added;  // places in this one

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.answers_commands, s.epoch, s.heartbeat_sequence, s.token, s.removed, s.added);
  }
};

/// A record as it is in the file. Heartbeats are whole at first, then differences.
struct WrittenRecord {
  core::FencingToken token = 0;
  core::TimePoint at{};
  std::variant<core::Event, ActionsRecorded, HeartbeatChanges> content;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.token, s.at, s.content);
  }
};

/// First frame of a snapshot, which covers all events before `segment`.
struct SnapshotHeader {
  HistoryId history;
  std::uint64_t segment = 0;
  std::uint64_t record_count = 0;
  core::TimePoint at{};
  core::WallTime wall{};
  core::TimePoint elected_at{};
  core::LeaderElected elected_event;  // without the recovered state
  std::string events_tail;     // last MAC of the segment before, if signed

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.history, s.segment, s.record_count, s.at, s.wall, s.elected_at, s.elected_event, s.events_tail);
  }
};

/// A part of the state is cut into slices; `last` marks the last slice of a part.
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

/// Whether snapshots omit the part while it is empty, as versions did that had no such part.
template <class Part>
inline constexpr bool is_omittable = requires {
  Part::kOmittedWhenEmpty;
};
/// Whether a snapshot holds the part as it is now.
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
/// Throws DecodeError if a part is missing that is always stored, or cannot be read.
void restore_parts(core::Controller& controller, const Parts& parts);
std::uint64_t digest_of(const Parts& parts);

/// File names: "events-<12 digits>.vph" and "save-<12 digits>.vps".
std::string segment_name(std::uint64_t number);
std::string snapshot_name(std::uint64_t segment);
/// The number in a file name of that kind, or none.
std::optional<std::uint64_t> segment_number(const std::string& name);
std::optional<std::uint64_t> snapshot_number(const std::string& name);

}  // namespace violetpulley::history
