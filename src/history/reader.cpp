#include "history/reader.hpp"

#include <algorithm>

#include "history/heartbeat_changes.hpp"

namespace violetpulley::history {

namespace {

constexpr std::string_view kTemporarySuffix = ".part";

// The error for a payload with a valid checksum that cannot be decoded.
CorruptionError undecodable_record(const std::string& file, std::size_t offset,
                                   const DecodeError& problem) {
  return {
      file, offset,
      std::string("the checksum is valid, but the payload cannot be decoded: ") + problem.what()};
}

template <class T>
T read_payload(const std::string& file, std::size_t offset, std::string_view payload) {
  try {
    return unpacked<T>(payload);
  } catch (const DecodeError& problem) {
    throw undecodable_record(file, offset, problem);
  }
}

}  // namespace

std::uint64_t Contents::record_count() const {
  if (const auto* segment = last()) return segment->header.first_record + segment->records;
  return snapshots.empty() ? 0 : snapshots.back().header.record_count;
}

SegmentInfo Reader::read_segment(
    const std::string& name, const std::function<bool(const Record&, std::uint64_t)>& on_record) {
  const auto bytes = files_.read(name);
  FrameReader frames(name, bytes, FileKind::events, key_);
  SegmentInfo info;
  info.name = name;
  const auto header = frames.next();
  if (header) {
    info.header = read_payload<SegmentHeader>(name, 0, *header);
    HeartbeatChangesReader heartbeats;
    bool more_wanted = true;
    while (more_wanted) {
      const auto offset = frames.offset();
      const auto payload = frames.next();
      if (!payload) break;
      Record record;
      try {
        record = heartbeats.restore(unpacked<WrittenRecord>(*payload));
      } catch (const DecodeError& problem) {
        throw undecodable_record(name, offset, problem);
      }
      more_wanted = on_record(record, info.header.first_record + info.records);
      ++info.records;
    }
  }
  info.bytes = frames.offset();
  info.torn_bytes = frames.torn_bytes();
  info.torn_cause = frames.torn_cause();
  info.tail = frames.tail();
  return info;
}

Reader::LoadedSnapshot Reader::load_snapshot(const std::string& name) {
  const auto bytes = files_.read(name);
  FrameReader frames(name, bytes, FileKind::snapshot, key_);
  SnapshotHeader header;
  Parts parts;
  std::optional<SnapshotEnd> end;
  bool part_incomplete = false;
  for (std::uint64_t number = 0;; ++number) {
    const auto offset = frames.offset();
    const auto payload = frames.next();
    if (!payload) break;
    auto piece = read_payload<SnapshotPiece>(name, offset, *payload);
    if (end) throw CorruptionError(name, offset, "a frame follows the end frame of the snapshot");
    if (auto* first = std::get_if<SnapshotHeader>(&piece)) {
      if (number != 0) throw CorruptionError(name, offset, "the snapshot has a second head");
      header = std::move(*first);
    } else if (auto* slice = std::get_if<SnapshotSlice>(&piece)) {
      if (!part_incomplete) parts.emplace_back(slice->part, "");
      if (parts.back().first != slice->part)
        throw CorruptionError(
            name, offset,
            "the part \"" + parts.back().first + "\" is cut short: its last slice is missing");
      parts.back().second += slice->bytes;
      part_incomplete = !slice->last;
    } else {
      end = std::get<SnapshotEnd>(piece);
    }
  }
  // A snapshot gets its final name only when it is complete, so an incomplete one was corrupted
  // later.
  if (frames.torn_bytes() > 0) throw CorruptionError(name, frames.offset(), frames.torn_cause());
  if (!end || part_incomplete)
    throw CorruptionError(name, frames.offset(), "the snapshot has no end frame");
  if (digest_of(parts) != end->state_digest)
    throw CorruptionError(name, frames.offset(), "the state does not match its digest");
  std::size_t size = 0;
  for (const auto& part : parts) size += part.second.size();
  return {{name, std::move(header), size, end->state_digest}, std::move(parts)};
}

SnapshotInfo Reader::restore(const std::string& name, Replay& replay) {
  auto loaded = load_snapshot(name);
  try {
    replay.restore(loaded.info.header, loaded.parts);
  } catch (const DecodeError& problem) {
    throw CorruptionError(name, 0, problem.what());
  }
  return std::move(loaded.info);
}

SegmentInfo Reader::replay_segment(const std::string& name, Replay& replay,
                                   std::optional<std::uint64_t> until) {
  return read_segment(name, [&](const Record& record, std::uint64_t number) {
    if (until && number >= *until) return false;
    try {
      replay.apply(record);
    } catch (const DecodeError& problem) {
      throw CorruptionError(name, 0, "record " + std::to_string(number) + ": " + problem.what());
    }
    return true;
  });
}

Contents Reader::check() {
  Contents out;
  for (const auto& name : files_.list()) {
    if (segment_number(name)) {
      out.segments.push_back(read_segment(name, [](const Record&, std::uint64_t) { return true; }));
    } else if (snapshot_number(name)) {
      out.snapshots.push_back(load_snapshot(name).info);
    } else if (name.ends_with(kTemporarySuffix)) {
      out.unfinished.push_back(name);
    }
  }
  check_consistency(out);
  return out;
}

// Detects swapped and missing files.
void Reader::check_consistency(Contents& contents) const {
  // A last segment without a complete header holds no records: its creation was interrupted.
  if (!contents.segments.empty() && contents.segments.back().header.history.empty()) {
    contents.unfinished.push_back(contents.segments.back().name);
    contents.segments.pop_back();
  }
  for (std::size_t index = 0; index < contents.segments.size(); ++index)
    check_segment(contents, index);
  for (const auto& snapshot : contents.snapshots) check_snapshot(contents, snapshot);
  // The first segment must hold the first events, unless a snapshot covers them.
  if (!contents.segments.empty() && contents.segments.front().header.first_record > 0 &&
      (contents.snapshots.empty() ||
       contents.snapshots.front().header.segment < contents.segments.front().header.segment))
    throw CorruptionError(contents.segments.front().name, 0,
                          "earlier events are missing and no snapshot covers them");
}

void Reader::check_segment(Contents& contents, std::size_t index) const {
  const auto& segment = contents.segments[index];
  const bool is_last = index + 1 == contents.segments.size();
  if (segment.torn_bytes > 0 && !is_last)
    throw CorruptionError(segment.name, segment.bytes,
                          segment.torn_cause + ", but a later segment exists");
  if (segment.header.segment != segment_number(segment.name))
    throw CorruptionError(
        segment.name, 0,
        "the number in its header differs from its name: it was swapped or renamed");
  check_history(contents, segment.name, segment.header.history);
  if (index == 0) return;
  const auto& previous = contents.segments[index - 1];
  if (segment.header.segment != previous.header.segment + 1 ||
      segment.header.first_record != previous.header.first_record + previous.records)
    throw CorruptionError(segment.name, 0,
                          "events between it and " + previous.name + " are missing");
  if (key_ && segment.header.previous_tail != tag_bytes(previous.tail))
    throw CorruptionError(segment.name, 0,
                          "its MAC does not continue the chain of " + previous.name);
}

void Reader::check_snapshot(Contents& contents, const SnapshotInfo& snapshot) const {
  if (snapshot.header.segment != snapshot_number(snapshot.name))
    throw CorruptionError(
        snapshot.name, 0,
        "the number in its header differs from its name: it was swapped or renamed");
  check_history(contents, snapshot.name, snapshot.header.history);
  const auto following = std::find_if(contents.segments.begin(), contents.segments.end(),
                                      [&](const SegmentInfo& segment) {
                                        return segment.header.segment == snapshot.header.segment;
                                      });
  // The segment that follows a snapshot is created before the snapshot is completed.
  if (following == contents.segments.end())
    throw CorruptionError(snapshot.name, 0,
                          "the events after it are missing: " +
                              segment_name(snapshot.header.segment) + " is missing");
  if (following->header.first_record != snapshot.header.record_count)
    throw CorruptionError(snapshot.name, 0,
                          "its number of records differs from the start of the next segment");
  if (key_ && following->header.previous_tail != snapshot.header.events_tail)
    throw CorruptionError(snapshot.name, 0,
                          "its MAC differs from the one that the next segment continues");
}

// The first file determines the history id; all other files must have the same id.
void Reader::check_history(Contents& contents, const std::string& name, const HistoryId& history) {
  if (contents.history.empty()) contents.history = history;
  if (history != contents.history)
    throw CorruptionError(name, 0, "its history id differs from that of the other files");
}

Contents Reader::recover(Replay& replay,
                         const std::function<void(const CorruptionError&)>& on_corrupt_snapshot) {
  Contents out;
  std::vector<std::string> segments;
  std::vector<std::string> snapshots;
  for (const auto& name : files_.list()) {
    if (segment_number(name)) segments.push_back(name);
    if (snapshot_number(name)) snapshots.push_back(name);
    if (name.ends_with(kTemporarySuffix)) out.unfinished.push_back(name);
  }
  std::uint64_t first = 0;
  while (!snapshots.empty()) {
    const auto name = snapshots.back();
    snapshots.pop_back();
    try {
      out.snapshots.push_back(restore(name, replay));
      first = out.snapshots.back().header.segment;
      break;
    } catch (const CorruptionError& problem) {
      if (snapshots.empty() && segment_number(segments.empty() ? "" : segments.front()) != 1) throw;
      on_corrupt_snapshot(problem);
    }
  }
  for (const auto& name : segments) {
    if (*segment_number(name) < first) continue;
    out.segments.push_back(replay_segment(name, replay, std::nullopt));
  }
  check_consistency(out);
  return out;
}

void Reader::replay(const Contents& contents, Replay& replay, bool from_start,
                    std::optional<std::uint64_t> until) {
  std::uint64_t first = contents.segments.empty() ? 0 : contents.segments.front().header.segment;
  const SnapshotInfo* snapshot = nullptr;
  for (const auto& candidate : contents.snapshots) {
    if (until && candidate.header.record_count > *until) continue;
    if (from_start && first <= candidate.header.segment &&
        contents.segments.front().header.first_record == 0)
      continue;
    snapshot = &candidate;
    if (from_start) break;  // the oldest snapshot, because the first events are missing
  }
  if (snapshot != nullptr) first = restore(snapshot->name, replay).header.segment;
  for (const auto& segment : contents.segments) {
    if (until && segment.header.first_record >= *until) return;
    if (segment.header.segment >= first) replay_segment(segment.name, replay, until);
  }
}

}  // namespace violetpulley::history
