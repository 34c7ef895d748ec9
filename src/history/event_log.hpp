/// @file
/// Writes a history into a directory: events in segments, and snapshots. Owns the frames that are
/// not written yet and the snapshot in progress; the caller gives the time.
///
/// A snapshot is made in these steps, so that it is complete or absent: pending frames are written
/// and synced, the next segment is begun, the state is captured at that place, written in slices to
/// a file with a temporary name while events are written to the new segment, synced, read back and
/// checked, and renamed. The last two snapshots remain; segments and snapshots that the older of
/// them covers are removed.
#pragma once

#include "history/heartbeat_changes.hpp"
#include "history/reader.hpp"
#include "history/state_capture.hpp"

namespace violetpulley::history {

/// When appended bytes are made to outlive a power cut: never, after an interval, at each flush.
enum class SyncPolicy { never, interval, always };

/// Limits and intervals of an event log (deploy/history.yaml).
struct LogSettings {
  SyncPolicy sync = SyncPolicy::interval;
  core::Seconds sync_interval{1};
  core::Seconds snapshot_interval{60};
  std::uint64_t max_bytes_between_snapshots = std::uint64_t{1} << 30U;  // of events since the last snapshot
  std::size_t slice_bytes = std::size_t{256} * 1024;  // of a snapshot, written at once
};

/// Appends events and snapshots to one history. After a FileError the log must not be used again.
class EventLog {
 public:
  /// Continues after `contents` in a new segment; a torn tail is cut off first. `new_id` names the
  /// history if there is none yet. Throws FileError.
  EventLog(Files& files, std::optional<Key> key, LogSettings settings, const Contents& contents,
           const HistoryId& new_id, core::WallTime wall);

  /// Adds an event. `token`: of the leader that handles the event. Throws FileError.
  void record(core::FencingToken token, core::TimePoint at, const core::Event& event);
  /// `digest`: of the actions that the core has returned. Throws FileError.
  void record_actions(core::FencingToken token, core::TimePoint at, std::uint64_t digest);

  /// Writes pending frames, and syncs them if that is due. Throws FileError.
  void flush(core::TimePoint now);

  /// Whether a snapshot should begin now: the interval or the bytes are reached, none is in
  /// progress.
  bool snapshot_due(core::TimePoint now) const;
  /// Captures the state, in which all events recorded so far and no others must be applied. The
  /// controller must live until the snapshot is finished or abandoned; a new LeaderElected event
  /// abandons the snapshot. Throws FileError.
  void begin_snapshot(core::Controller& controller, const core::LeaderElected& elected_event,
                      core::TimePoint elected_at, core::TimePoint now, core::WallTime wall);
  /// Writes the next slice of the snapshot; after the last one reads the file back and renames it.
  /// Throws FileError, and CorruptionError if the bytes read back differ.
  void continue_snapshot();
  /// Removes all but the last `snapshots_kept` snapshots, and the segments before the oldest of
  /// those. Throws FileError.
  void prune(std::size_t snapshots_kept);
  /// Removes the snapshot in progress, before its controller ends. Throws FileError.
  void abandon_snapshot();
  bool snapshotting() const { return snapshot_.has_value(); }

  /// Number of records in the history so far.
  std::uint64_t record_count() const { return first_record_ + records_; }
  /// Snapshots finished by this log.
  std::uint64_t snapshots_made() const { return snapshots_made_; }

 private:
  struct Snapshot {
    std::uint64_t segment = 0;
    FrameWriter frames;
    StateCapture state;
    Digest written_digest;  // of the bytes written
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
  std::uint64_t bytes_since_snapshot_ = 0;  // of all segments since the last snapshot
  std::optional<core::TimePoint> last_sync_;
  bool unsynced_ = false;
  std::optional<core::TimePoint> last_snapshot_;
  std::optional<Snapshot> snapshot_;
  std::uint64_t snapshots_made_ = 0;
};

}  // namespace violetpulley::history
