// A history as it lies in its directory: what is whole, what is torn, what is damaged. Reading
// changes nothing; `EventLog` cuts a torn tail when it goes on from here.
#pragma once

#include <functional>

#include "history/files.hpp"
#include "history/replay.hpp"

namespace violetpulley::history {

struct SegmentInfo {
  std::string name;
  SegmentHeader head;
  std::uint64_t records = 0;
  std::size_t bytes = 0;       // that are whole
  std::size_t torn_bytes = 0;  // cut off behind them
  std::string torn_cause;
  Tag tail{};
};

struct SnapshotInfo {
  std::string name;
  SnapshotHeader head;
  std::size_t bytes = 0;
  std::uint64_t state_digest = 0;
};

struct Contents {
  HistoryId history;  // empty: there is none yet
  std::vector<SegmentInfo> segments;
  std::vector<SnapshotInfo> snapshots;
  std::vector<std::string> unfinished;  // saves that were never completed

  const SegmentInfo* last() const { return segments.empty() ? nullptr : &segments.back(); }
  // After the last record.
  std::uint64_t events() const;
};

class Reader {
 public:
  Reader(Files& files, std::optional<Key> key) : files_(files), key_(key) {}

  // Reads and checks everything. Throws Damaged at the first damage, FileError.
  Contents check();

  // Calls `each` for the records of a segment until it says false.
  SegmentInfo read_segment(const std::string& name,
                           const std::function<bool(const Record&, std::uint64_t)>& each);

  // What a process needs that goes on from here: the newest save that is whole and the events after
  // it, replayed. Older ones are not read. `note` is told of a save that is damaged and passed over
  // for the one before it. Throws Damaged if that leaves nothing to go by, FileError.
  Contents recover(Replay& replay, const std::function<void(const CorruptionError&)>& note);

  // The newest save, then all events after it, into the replay. With `from_start` no save is used,
  // as far as events still go back. `until`: no record with this number or a later one.
  void replay(const Contents& contents, Replay& replay, bool from_start = false,
              std::optional<std::uint64_t> until = {});

 private:
  struct Loaded {
    SnapshotInfo info;
    Parts parts;
  };
  // A whole save. Throws Damaged, also when it is not complete.
  Loaded load_snapshot(const std::string& name);
  // Both throw Damaged for what cannot be replayed.
  SnapshotInfo restore(const std::string& name, Replay& replay);
  SegmentInfo replay_segment(const std::string& name, Replay& replay,
                             std::optional<std::uint64_t> until);
  void check_links(Contents& contents) const;

  Files& files_;
  std::optional<Key> key_;
};

}  // namespace violetpulley::history
