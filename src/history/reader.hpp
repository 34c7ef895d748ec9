/// @file
/// Reads and verifies a history. Keeps no state between calls and never changes files; `EventLog`
/// truncates a torn tail when it continues the history.
#pragma once

#include <functional>

#include "history/files.hpp"
#include "history/replay.hpp"

namespace violetpulley::history {

/// Summary of a segment of events.
struct SegmentInfo {
  std::string name;
  SegmentHeader header;
  std::uint64_t records = 0;
  std::size_t bytes = 0;       // up to the last valid frame
  std::size_t torn_bytes = 0;  // after the last valid frame
  std::string torn_cause;
  Tag tail{};
};

/// Summary of a snapshot.
struct SnapshotInfo {
  std::string name;
  SnapshotHeader header;
  std::size_t bytes = 0;
  std::uint64_t state_digest = 0;
};

/// The files of a history, ordered by number.
struct Contents {
  HistoryId history;  // empty for a new history
  std::vector<SegmentInfo> segments;
  std::vector<SnapshotInfo> snapshots;
  std::vector<std::string> unfinished;  // temporary files of interrupted writes

  /// The newest segment; null if there is none.
  const SegmentInfo* last() const { return segments.empty() ? nullptr : &segments.back(); }
  /// Number of records in the history, including those whose segments were removed.
  std::uint64_t record_count() const;
};

/// Reads a history from `files`, which must outlive the reader. With a key, every file must be
/// signed.
class Reader {
 public:
  Reader(Files& files, std::optional<Key> key) : files_(files), key_(key) {}

  /// Reads and verifies all files. Throws CorruptionError at the first corruption, and FileError.
  Contents check();

  /// Calls `on_record` with each record of a segment and its number until the call returns false.
  /// Throws CorruptionError and FileError.
  SegmentInfo read_segment(const std::string& name,
                           const std::function<bool(const Record&, std::uint64_t)>& on_record);

  /// Restores the newest valid snapshot and replays the events after it, for a process that
  /// continues the history; older files are not read. Calls `on_corrupt_snapshot` for each corrupt
  /// snapshot that is skipped in favour of the previous one. Throws CorruptionError if the history
  /// cannot be restored from any snapshot or from the first event, and FileError.
  Contents recover(Replay& replay,
                   const std::function<void(const CorruptionError&)>& on_corrupt_snapshot);

  /// Restores the newest snapshot and replays the events after it. With `from_start`, replays all
  /// events, from the oldest snapshot if the first events were removed. Stops before the record
  /// with the number `until`. Throws CorruptionError and FileError.
  void replay(const Contents& contents, Replay& replay, bool from_start = false,
              std::optional<std::uint64_t> until = {});

 private:
  struct LoadedSnapshot {
    SnapshotInfo info;
    Parts parts;
  };
  /// Throws CorruptionError, also when the snapshot is incomplete.
  LoadedSnapshot load_snapshot(const std::string& name);
  /// Both throw CorruptionError if a snapshot or record cannot be applied.
  SnapshotInfo restore(const std::string& name, Replay& replay);
  SegmentInfo replay_segment(const std::string& name, Replay& replay,
                             std::optional<std::uint64_t> until);
  /// Checks that the files are consistent with each other; each check throws CorruptionError. A
  /// last segment without a header is moved from `contents.segments` to `contents.unfinished`.
  void check_consistency(Contents& contents) const;
  void check_segment(Contents& contents, std::size_t index) const;
  void check_snapshot(Contents& contents, const SnapshotInfo& snapshot) const;
  static void check_history(Contents& contents, const std::string& name, const HistoryId& history);

  Files& files_;
  std::optional<Key> key_;
};

}  // namespace violetpulley::history
