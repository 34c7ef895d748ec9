/// @file
/// Reads a history from its directory and checks which files are whole, torn or damaged. Reading
/// changes nothing; `EventLog` cuts off a torn tail when it continues the history.
#pragma once

#include <functional>

#include "history/files.hpp"
#include "history/replay.hpp"

namespace violetpulley::history {

/// What was read of a segment of events.
struct SegmentInfo {
  std::string name;
  SegmentHeader header;
  std::uint64_t records = 0;
  std::size_t bytes = 0;       // that are whole
  std::size_t torn_bytes = 0;  // cut off behind them
  std::string torn_cause;
  Tag tail{};
};

/// What was read of a snapshot.
struct SnapshotInfo {
  std::string name;
  SnapshotHeader header;
  std::size_t bytes = 0;
  std::uint64_t state_digest = 0;
};

/// The files of a history in the order of their numbers.
struct Contents {
  HistoryId history;  // empty: there is none yet
  std::vector<SegmentInfo> segments;
  std::vector<SnapshotInfo> snapshots;
  std::vector<std::string> unfinished;  // files that were never completed

  /// The newest segment, null if there is none.
  const SegmentInfo* last() const { return segments.empty() ? nullptr : &segments.back(); }
  /// Number of records from the history's first to the last.
  std::uint64_t record_count() const;
};

/// Reads over `files`, which must outlive the reader. With a key every file must be signed.
class Reader {
 public:
  Reader(Files& files, std::optional<Key> key) : files_(files), key_(key) {}

  /// Reads and checks all files. Throws CorruptionError at the first damage, and FileError.
  Contents check();

  /// Calls `each` with the records of a segment and their numbers until `each` returns false.
  /// Throws CorruptionError and FileError.
  SegmentInfo read_segment(const std::string& name,
                           const std::function<bool(const Record&, std::uint64_t)>& on_record);

  /// Restores the newest snapshot that is whole and replays the events after it, for a process that
  /// continues the history; older files are not read. `note` is called for each damaged snapshot
  /// that is skipped for the one before it. Throws CorruptionError if no usable one is left, and
  /// FileError.
  Contents recover(Replay& replay, const std::function<void(const CorruptionError&)>& on_damaged);

  /// Replays the newest snapshot and the events after it. With `from_start`, replays all events,
  /// from the oldest snapshot if the first events were removed. `until`: stops before the record of
  /// this number. Throws CorruptionError and FileError.
  void replay(const Contents& contents, Replay& replay, bool from_start = false,
              std::optional<std::uint64_t> until = {});

 private:
  struct LoadedSnapshot {
    SnapshotInfo info;
    Parts parts;
  };
  /// Throws CorruptionError, also when the snapshot is not complete.
  LoadedSnapshot load_snapshot(const std::string& name);
  /// Both throw CorruptionError for what cannot be replayed.
  SnapshotInfo restore(const std::string& name, Replay& replay);
  SegmentInfo replay_segment(const std::string& name, Replay& replay,
                             std::optional<std::uint64_t> until);
  /// The checks between files; each throws CorruptionError. A segment without a head is moved from
  /// `contents.segments` to `contents.unfinished`.
  void check_consistency(Contents& contents) const;
  void check_segment(Contents& contents, std::size_t index) const;
  void check_snapshot(Contents& contents, const SnapshotInfo& snapshot) const;
  static void check_history(Contents& contents, const std::string& name, const HistoryId& history);

  Files& files_;
  std::optional<Key> key_;
};

}  // namespace violetpulley::history
