/// @file
/// Writes a history to a directory: events in segments, and snapshots. Owns the frames that are not
/// written yet and the snapshot in progress; the caller passes the time.
///
/// A snapshot is taken in these steps, so that it is either complete or absent:
/// 1. Pending frames are written and synced, and the next segment is started.
/// 2. The state is captured and written in slices to a temporary file, while events go to the new
///    segment.
/// 3. The temporary file is synced, read back, verified and renamed.
/// The last two snapshots are kept; older snapshots, and segments that the older of the two covers,
/// are removed.
#pragma once

#include "history/heartbeat_changes.hpp"
#include "history/reader.hpp"
#include "history/state_capture.hpp"

namespace violetpulley::history {

/// When appended bytes are synced to disk: never, after an interval, or at each flush.
enum class SyncPolicy { never, interval, always };

/// Limits and intervals of an event log (deploy/history.yaml).
struct LogSettings {
  SyncPolicy sync = SyncPolicy::interval;
  core::Seconds sync_interval{1};
  core::Seconds snapshot_interval{60};
  /// Bytes of events after which a snapshot starts before its interval has passed.
  std::uint64_t max_bytes_between_snapshots = std::uint64_t{1} << 30U;
  std::size_t slice_bytes = std::size_t{256} * 1024;  // of a snapshot, written per call
};

/// Appends events and snapshots to one history. After a FileError the log must not be used again.
class EventLog {
 public:
  /// Continues after `contents` in a new segment, after truncating a torn tail. `new_id` is the id
  /// of the history if it is a new one. Throws FileError.
  EventLog(Files& files, std::optional<Key> key, LogSettings settings, const Contents& contents,
           const HistoryId& new_id, core::WallTime wall);

  /// Adds an event. `token` is the fencing token of the leader that handles it. Throws FileError.
  void record(core::FencingToken token, core::TimePoint at, const core::Event& event);
  /// Adds the digest of the actions that the core returned. Throws FileError.
  void record_actions(core::FencingToken token, core::TimePoint at, std::uint64_t digest);

  /// Writes pending frames, and syncs them if the sync policy requires it. Throws FileError.
  void flush(core::TimePoint now);

  /// Whether a snapshot should start: the snapshot interval or the byte limit is reached, and no
  /// snapshot is in progress.
  bool snapshot_due(core::TimePoint now) const;
  /// Captures the state and starts a snapshot. Exactly the events recorded so far must have been
  /// applied to the controller, which must outlive the snapshot. A new LeaderElected event abandons
  /// the snapshot. Throws FileError.
  void begin_snapshot(core::Controller& controller, const core::LeaderElected& elected_event,
                      core::TimePoint elected_at, core::TimePoint now, core::WallTime wall);
  /// Writes the next slice of the snapshot; after the last slice, reads the file back and renames
  /// it. Throws FileError, and CorruptionError if the bytes read back differ.
  void continue_snapshot();
  /// Removes all but the last `snapshots_kept` snapshots, and the segments that the oldest of these
  /// covers. Throws FileError.
  void prune(std::size_t snapshots_kept);
  /// Removes the snapshot in progress; required before its controller is destroyed. Throws
  /// FileError.
  void abandon_snapshot();
  bool snapshotting() const { return snapshot_.has_value(); }

  /// Number of records in the history, including pending ones.
  std::uint64_t record_count() const { return first_record_ + records_; }
  /// Snapshots finished by this log.
  std::uint64_t snapshots_made() const { return snapshots_made_; }

 private:
  struct Snapshot {
    std::uint64_t segment = 0;
    FrameWriter frames;
    StateCapture state;
    Digest written_digest;
    bool complete = false;
    std::size_t bytes_read_back = 0;
    Digest read_back_digest;
  };
  void truncate_torn_tail(const SegmentInfo& segment);
  void begin_segment(core::WallTime wall);
  template <class Content>
  void add(core::FencingToken token, core::TimePoint at, const Content& content);
  void write_out();
  void sync(core::TimePoint now);
  void write_slice();
  void verify_written_file();
  void finish_snapshot();

  Files& files_;
  std::optional<Key> key_;
  LogSettings settings_;
  HistoryId history_;
  std::uint64_t segment_ = 0;
  std::uint64_t first_record_ = 0;
  std::uint64_t records_ = 0;
  Tag previous_tail_{};
  std::optional<FrameWriter> frames_;
  HeartbeatChangesWriter heartbeats_;  // of this segment
  Buffer buffer_;
  std::uint64_t bytes_since_snapshot_ = 0;  // over all segments
  std::optional<core::TimePoint> last_sync_;
  bool unsynced_ = false;
  std::optional<core::TimePoint> last_snapshot_;
  std::optional<Snapshot> snapshot_;
  std::uint64_t snapshots_made_ = 0;
};

}  // namespace violetpulley::history
