#include "history/reader.hpp"

#include <algorithm>

#include "history/report_changes.hpp"

namespace violetpulley::history {

namespace {

constexpr std::string_view kUnfinished = ".part";

// A payload whose checksum is right and which is still not what it should be.
Damaged not_a_record(const std::string& file, std::size_t offset, const BadValue& problem) {
  return {file, offset,
          std::string("the checksum is right and the record is not: ") + problem.what()};
}

template <class T>
T read_payload(const std::string& file, std::size_t offset, std::string_view payload) {
  try {
    return unpacked<T>(payload);
  } catch (const BadValue& problem) {
    throw not_a_record(file, offset, problem);
  }
}

}  // namespace

std::uint64_t Contents::events() const {
  if (const auto* segment = last()) return segment->head.first_event + segment->records;
  return saves.empty() ? 0 : saves.back().head.events;
}

SegmentInfo Reader::read_segment(const std::string& name,
                                 const std::function<bool(const Record&, std::uint64_t)>& each) {
  const auto bytes = files_.read(name);
  FrameReader frames(name, bytes, FileKind::events, key_);
  SegmentInfo info;
  info.name = name;
  const auto head = frames.next();
  if (head) {
    info.head = read_payload<SegmentHead>(name, 0, *head);
    ReportChangesReader reports;
    bool wanted = true;
    while (wanted) {
      const auto offset = frames.offset();
      const auto payload = frames.next();
      if (!payload) break;
      Record record;
      try {
        record = reports.whole(unpacked<WrittenRecord>(*payload));
      } catch (const BadValue& problem) {
        throw not_a_record(name, offset, problem);
      }
      wanted = each(record, info.head.first_event + info.records);
      ++info.records;
    }
  }
  info.bytes = frames.offset();
  info.torn_bytes = frames.torn_bytes();
  info.torn_cause = frames.torn_cause();
  info.tail = frames.tail();
  return info;
}

Reader::Loaded Reader::load_save(const std::string& name) {
  const auto bytes = files_.read(name);
  FrameReader frames(name, bytes, FileKind::save, key_);
  SaveHead head;
  Parts parts;
  std::optional<SaveEnd> end;
  bool open = false;  // a part goes on
  for (std::uint64_t number = 0;; ++number) {
    const auto offset = frames.offset();
    const auto payload = frames.next();
    if (!payload) break;
    auto piece = read_payload<SavePiece>(name, offset, *payload);
    if (end) throw Damaged(name, offset, "something follows the end of the save");
    if (auto* first = std::get_if<SaveHead>(&piece)) {
      if (number != 0) throw Damaged(name, offset, "a second head");
      head = std::move(*first);
    } else if (auto* slice = std::get_if<SaveSlice>(&piece)) {
      if (!open) parts.emplace_back(slice->part, "");
      if (parts.back().first != slice->part)
        throw Damaged(name, offset, "the part \"" + parts.back().first + "\" is cut short");
      parts.back().second += slice->bytes;
      open = !slice->last;
    } else {
      end = std::get<SaveEnd>(piece);
    }
  }
  // A save is made the newest only when it is whole, so one that is not was damaged since.
  if (frames.torn_bytes() > 0) throw Damaged(name, frames.offset(), frames.torn_cause());
  if (!end || open) throw Damaged(name, frames.offset(), "the save has no end");
  if (digest_of(parts) != end->state_digest)
    throw Damaged(name, frames.offset(), "the digest of the state is wrong");
  std::size_t size = 0;
  for (const auto& part : parts) size += part.second.size();
  return {{name, std::move(head), size, end->state_digest}, std::move(parts)};
}

SaveInfo Reader::restore(const std::string& name, Replay& replay) {
  auto loaded = load_save(name);
  try {
    replay.restore(loaded.info.head, loaded.parts);
  } catch (const BadValue& problem) {
    throw Damaged(name, 0, problem.what());
  }
  return std::move(loaded.info);
}

SegmentInfo Reader::replay_segment(const std::string& name, Replay& replay,
                                   std::optional<std::uint64_t> until) {
  return read_segment(name, [&](const Record& record, std::uint64_t number) {
    if (until && number >= *until) return false;
    try {
      replay.apply(record);
    } catch (const BadValue& problem) {
      throw Damaged(name, 0, "record " + std::to_string(number) + ": " + problem.what());
    }
    return true;
  });
}

Contents Reader::check() {
  Contents out;
  for (const auto& name : files_.list()) {
    if (segment_number(name)) {
      out.segments.push_back(read_segment(name, [](const Record&, std::uint64_t) { return true; }));
    } else if (save_number(name)) {
      out.saves.push_back(load_save(name).info);
    } else if (name.ends_with(kUnfinished)) {
      out.unfinished.push_back(name);
    }
  }
  check_links(out);
  return out;
}

// That nothing was swapped or left out between the files.
void Reader::check_links(Contents& out) const {
  // A segment whose head was cut off holds nothing yet: its making was cut short.
  if (!out.segments.empty() && out.segments.back().head.history.empty()) {
    out.unfinished.push_back(out.segments.back().name);
    out.segments.pop_back();
  }
  for (std::size_t i = 0; i < out.segments.size(); ++i) {
    const auto& segment = out.segments[i];
    const bool is_last = i + 1 == out.segments.size();
    if (segment.torn_bytes > 0 && !is_last)
      throw Damaged(segment.name, segment.bytes,
                    segment.torn_cause + ", although later events were written");
    if (segment.head.segment != segment_number(segment.name))
      throw Damaged(segment.name, 0, "its name and its number differ: it was swapped");
    if (out.history.empty()) out.history = segment.head.history;
    if (segment.head.history != out.history)
      throw Damaged(segment.name, 0, "it belongs to another history");
    if (i == 0) continue;
    const auto& before = out.segments[i - 1];
    if (segment.head.segment != before.head.segment + 1 ||
        segment.head.first_event != before.head.first_event + before.records)
      throw Damaged(segment.name, 0, "events between it and " + before.name + " were left out");
    if (key_ && segment.head.previous_tail != text_of(before.tail))
      throw Damaged(segment.name, 0, "its MAC does not follow that of " + before.name);
  }
  for (const auto& save : out.saves) {
    if (save.head.segment != save_number(save.name))
      throw Damaged(save.name, 0, "its name and its number differ: it was swapped");
    if (out.history.empty()) out.history = save.head.history;
    if (save.head.history != out.history)
      throw Damaged(save.name, 0, "it belongs to another history");
    const auto next = std::find_if(
        out.segments.begin(), out.segments.end(),
        [&](const SegmentInfo& segment) { return segment.head.segment == save.head.segment; });
    // The segment that follows a save is begun before the save is complete.
    if (next == out.segments.end())
      throw Damaged(
          save.name, 0,
          "the events after it are gone: " + segment_name(save.head.segment) + " is missing");
    if (next->head.first_event != save.head.events)
      throw Damaged(save.name, 0, "it does not fit the events after it");
    if (key_ && next->head.previous_tail != save.head.events_tail)
      throw Damaged(save.name, 0, "its MAC does not fit the events after it");
  }
  // Without a save to cover them, the first events must be there.
  if (!out.segments.empty() && out.segments.front().head.first_event > 0 &&
      (out.saves.empty() || out.saves.front().head.segment < out.segments.front().head.segment))
    throw Damaged(out.segments.front().name, 0, "earlier events are gone and no save covers them");
}

Contents Reader::recover(Replay& replay, const std::function<void(const Damaged&)>& note) {
  Contents out;
  std::vector<std::string> segments;
  std::vector<std::string> saves;
  for (const auto& name : files_.list()) {
    if (segment_number(name)) segments.push_back(name);
    if (save_number(name)) saves.push_back(name);
    if (name.ends_with(kUnfinished)) out.unfinished.push_back(name);
  }
  std::uint64_t first = 0;
  while (!saves.empty()) {
    const auto name = saves.back();
    saves.pop_back();
    try {
      out.saves.push_back(restore(name, replay));
      first = out.saves.back().head.segment;
      break;
    } catch (const Damaged& problem) {
      if (saves.empty() && segment_number(segments.empty() ? "" : segments.front()) != 1) throw;
      note(problem);
    }
  }
  for (const auto& name : segments) {
    if (*segment_number(name) < first) continue;
    out.segments.push_back(replay_segment(name, replay, std::nullopt));
  }
  check_links(out);
  return out;
}

void Reader::replay(const Contents& contents, Replay& replay, bool from_start,
                    std::optional<std::uint64_t> until) {
  std::uint64_t first = contents.segments.empty() ? 0 : contents.segments.front().head.segment;
  const SaveInfo* save = nullptr;
  for (const auto& candidate : contents.saves) {
    if (until && candidate.head.events > *until) continue;
    if (from_start && first <= candidate.head.segment &&
        contents.segments.front().head.first_event == 0)
      continue;
    save = &candidate;
    if (from_start) break;  // the oldest, if events do not go back to the first
  }
  if (save != nullptr) first = restore(save->name, replay).head.segment;
  for (const auto& segment : contents.segments) {
    if (until && segment.head.first_event >= *until) return;
    if (segment.head.segment >= first) replay_segment(segment.name, replay, until);
  }
}

}  // namespace violetpulley::history
