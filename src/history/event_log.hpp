// Writes a history into a directory: events in segments, saves beside them. Owns what waits to be
// written and the save that is being made; the caller gives the time.
//
// A save is made in these steps, so that it is complete or absent: what waits is written and
// synced, the next segment is begun, the state is taken at that place, written in slices to a file
// with another name while events go on to the new segment, synced, read back and checked, and
// renamed. The last two saves are kept; segments and saves that the older of them covers are
// removed.
#pragma once

#include "history/heartbeat_changes.hpp"
#include "history/reader.hpp"
#include "history/state_capture.hpp"

namespace violetpulley::history {

enum class SyncPolicy { never, interval, always };

struct LogSettings {
  SyncPolicy sync = SyncPolicy::interval;
  core::Seconds sync_interval{1};
  core::Seconds snapshot_interval{60};
  std::uint64_t max_bytes = std::uint64_t{1} << 30U;  // of events since the last save
  std::size_t slice_bytes = 256 * 1024;               // of a save written at once
};

class EventLog {
 public:
  // Goes on behind `contents` in a new segment; a torn tail is cut off first. Throws FileError.
  EventLog(Files& files, std::optional<Key> key, LogSettings settings, const Contents& contents,
           HistoryId new_id, core::WallTime wall);

  void record(core::FencingToken token, core::TimePoint at, const core::Event& event);
  // `digest`: of the actions that the shells were given.
  void record_actions(core::FencingToken token, core::TimePoint at, std::uint64_t digest);

  // Writes what waits, if that is due. Throws FileError: then the log cannot go on.
  void flush(core::TimePoint now);

  // Whether it is time for a save, and none is being made.
  bool snapshot_due(core::TimePoint now) const;
  // Takes the state, which must hold all events recorded so far and nothing else. The controller
  // must live until the save is made or given up; a new takeover gives it up.
  void begin_snapshot(core::Controller& controller, const core::LeaderElected& origin,
                      core::TimePoint elected_at, core::TimePoint now, core::WallTime wall);
  // Writes the next slice of the save, and finishes it after the last. Throws FileError, Damaged.
  void continue_snapshot();
  // Keeps the last saves and what is after the oldest of them.
  void prune(std::size_t snapshots_kept);
  // The controller is going.
  void abandon_snapshot();
  bool snapshotting() const { return snapshot_.has_value(); }

  std::uint64_t events() const { return first_event_ + records_; }
  std::uint64_t snapshots_made() const { return snapshots_made_; }

 private:
  struct Snapshot {
    std::uint64_t segment = 0;
    FrameWriter frames;
    StateCapture state;
    Digest written;  // of the file
    bool complete = false;
    std::size_t checked = 0;  // bytes read back so far
    Digest back;
  };
  void begin_segment(core::WallTime wall);
  template <class What>
  void add(core::FencingToken token, core::TimePoint at, const What& what);
  void write_out();
  void sync(core::TimePoint now);
  void write_slice();
  void check_back();
  void finish_snapshot();

  Files& files_;
  std::optional<Key> key_;
  LogSettings settings_;
  HistoryId history_;
  std::uint64_t segment_ = 0;
  std::uint64_t first_event_ = 0;
  std::uint64_t records_ = 0;
  Tag previous_tail_{};
  std::optional<FrameWriter> frames_;
  HeartbeatChangesWriter heartbeats_;  // of this segment
  Sink sink_;
  std::uint64_t segment_bytes_ = 0;  // of all segments since the last save
  std::optional<core::TimePoint> last_sync_;
  bool unsynced_ = false;
  std::optional<core::TimePoint> last_snapshot_;
  std::optional<Snapshot> snapshot_;
  std::uint64_t snapshots_made_ = 0;
};

}  // namespace violetpulley::history
