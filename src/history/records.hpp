// What is in the frames of a history.
//
// Events file: a `SegmentHeader`, then records in the order in which they entered the core.
// Save: a `SnapshotHeader`, the parts of the core's state in slices, a `SnapshotEnd`.
#pragma once

#include "core/events.hpp"
#include "history/frames.hpp"
#include "history/pack.hpp"

namespace violetpulley::history {

// Names one history, so that files of two are not mixed.
using HistoryId = std::string;

struct SegmentHeader {
  HistoryId history;
  std::uint64_t segment = 0;
  std::uint64_t first_event = 0;  // how many events came before it in this history
  std::string previous_tail;      // last MAC of the segment before, if signed
  core::WallTime begun{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.history, s.segment, s.first_event, s.previous_tail, s.begun);
  }
};

// What the shells were given after the events before it: a replay must come to the same.
struct ActionsRecorded {
  std::uint64_t digest = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.digest);
  }
};

struct Record {
  core::FencingToken token = 0;
  core::TimePoint at{};  // steady clock of the process that wrote it
  std::variant<core::Event, ActionsRecorded> what;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.token, s.at, s.what);
  }
};

// A machine's report, by what differs from the last one recorded of it in this segment: most of a
// report is as before, and writing it whole each time cost the most of a history.
struct HeartbeatChanges {
  core::MachineId machine;
  bool answer = false;  // to orders
  std::uint64_t epoch = 0;
  std::uint64_t heartbeat_sequence = 0;
  core::FencingToken token = 0;
  std::vector<std::uint32_t> gone;                               // places in the last list
  std::vector<std::pair<std::uint32_t, core::TaskStatus>> come;  // places in this one

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.answer, s.epoch, s.heartbeat_sequence, s.token, s.gone, s.come);
  }
};

// A record as it is in the file. Reports are first whole, then changes.
struct WrittenRecord {
  core::FencingToken token = 0;
  core::TimePoint at{};
  std::variant<core::Event, ActionsRecorded, HeartbeatChanges> what;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.token, s.at, s.what);
  }
};

// A save's place: all events before `segment` are in it.
struct SnapshotHeader {
  HistoryId history;
  std::uint64_t segment = 0;
  std::uint64_t events = 0;
  core::TimePoint at{};
  core::WallTime wall{};
  core::TimePoint elected_at{};
  core::LeaderElected origin;  // without what it inherited
  std::string events_tail;     // last MAC of the segment before, if signed

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.history, s.segment, s.events, s.at, s.wall, s.elected_at, s.origin, s.events_tail);
  }
};

// Parts are cut into slices of bytes; the last one of a part says so.
struct SnapshotSlice {
  std::string part;
  bool last = false;
  std::string bytes;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.part, s.last, s.bytes);
  }
};

struct SnapshotEnd {
  std::uint64_t state_digest = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.state_digest);
  }
};

using SnapshotPiece = std::variant<SnapshotHeader, SnapshotSlice, SnapshotEnd>;

// The core's state, part by part in the order of `Controller::each_part`.
using Parts = std::vector<std::pair<std::string, std::string>>;
Parts parts_of(const core::Controller& controller);
// Throws DecodeError if a part is missing or cannot be read.
void restore_parts(core::Controller& controller, const Parts& parts);
std::uint64_t digest_of(const Parts& parts);

std::string segment_name(std::uint64_t number);
std::string snapshot_name(std::uint64_t segment);
// The number in a name of that kind, or none.
std::optional<std::uint64_t> segment_number(const std::string& name);
std::optional<std::uint64_t> snapshot_number(const std::string& name);

}  // namespace violetpulley::history
