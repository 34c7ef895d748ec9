#include "history/event_log.hpp"

#include <algorithm>

namespace violetpulley::history {

namespace {

constexpr std::size_t kSavesKept = 2;
constexpr std::size_t kReadBack = 4 << 20;   // bytes read at once
constexpr std::size_t kWriteAt = 64 * 1024;  // bytes that wait at most between flushes

std::string part_name(std::uint64_t segment) { return save_name(segment) + ".part"; }

}  // namespace

EventLog::EventLog(Files& files, std::optional<Key> key, LogSettings settings,
                   const Contents& contents, HistoryId new_id, core::WallTime wall)
    : files_(files),
      key_(key),
      settings_(settings),
      history_(contents.history.empty() ? std::move(new_id) : contents.history),
      first_event_(contents.events()) {
  for (const auto& name : contents.unfinished) files_.remove(name);
  if (const auto* last = contents.last()) {
    segment_ = last->head.segment;
    previous_tail_ = last->tail;
    if (last->torn_bytes > 0) {
      // The torn tail goes by writing the whole part beside it and renaming that.
      const auto whole = files_.read(last->name).substr(0, last->bytes);
      const auto beside = last->name + ".part";
      files_.append(beside, whole);
      files_.sync(beside);
      files_.rename(beside, last->name);
      files_.sync_names();
    }
  }
  begin_segment(wall);
}

void EventLog::begin_segment(core::WallTime wall) {
  ++segment_;
  frames_.emplace(FileKind::events, key_);
  records_ = 0;
  reports_ = {};
  frames_->add(
      packed(SegmentHead{history_, segment_, first_event_, text_of(previous_tail_), wall}));
  write_out();
  files_.sync(segment_name(segment_));
  files_.sync_names();
  frames_->synced();
  unsynced_ = false;
}

// As `write` does it for a WrittenRecord that holds `what`, without a copy of the event.
template <class What>
void EventLog::add(core::FencingToken token, core::TimePoint at, const What& what) {
  constexpr unsigned kind = std::is_same_v<What, ReportChanges> ? 2 : std::is_same_v<What, Acted>;
  sink_.clear();
  Out out(sink_);
  out.pack_array(3);
  write(out, token);
  write(out, at);
  out.pack_array(2);
  out.pack(kind);
  write(out, what);
  frames_->add({sink_.data(), sink_.size()});
  ++records_;
  if (frames_->waiting() >= kWriteAt) write_out();
}

void EventLog::abandon_save() {
  if (!save_) return;
  const auto name = part_name(save_->segment);
  save_.reset();
  files_.remove(name);
}

void EventLog::record(core::FencingToken token, core::TimePoint at, const core::Event& event) {
  if (std::holds_alternative<core::LeaderElected>(event)) abandon_save();
  if (const auto* report = report_of(event)) {
    const bool answer = std::holds_alternative<core::CommandsAnswered>(event);
    if (const auto* changes = reports_.changes(*report, answer)) return add(token, at, *changes);
  }
  add(token, at, event);
}

void EventLog::acted(core::FencingToken token, core::TimePoint at, std::uint64_t digest) {
  add(token, at, Acted{digest});
}

void EventLog::write_out() {
  if (frames_->waiting() == 0) return;
  const auto bytes = frames_->take();
  files_.append(segment_name(segment_), bytes);
  segment_bytes_ += bytes.size();
  unsynced_ = true;
}

void EventLog::sync(core::TimePoint now) {
  if (unsynced_) files_.sync(segment_name(segment_));
  frames_->synced();
  unsynced_ = false;
  last_sync_ = now;
}

void EventLog::flush(core::TimePoint now) {
  write_out();
  if (!last_sync_) last_sync_ = now;
  if (!last_save_) last_save_ = now;
  const bool due = settings_.sync == SyncPolicy::always ||
                   (settings_.sync == SyncPolicy::interval &&
                    now - *last_sync_ >= core::to_duration(settings_.sync_every));
  if (due && unsynced_) sync(now);
}

bool EventLog::save_due(core::TimePoint now) const {
  if (save_ || !last_save_) return false;
  return now - *last_save_ >= core::to_duration(settings_.save_every) ||
         segment_bytes_ >= settings_.max_bytes;
}

void EventLog::begin_save(core::Controller& controller, const core::LeaderElected& origin,
                          core::TimePoint elected_at, core::TimePoint now, core::WallTime wall) {
  write_out();
  sync(now);
  last_save_ = now;
  segment_bytes_ = 0;
  first_event_ += records_;
  previous_tail_ = frames_->tail();
  begin_segment(wall);
  SaveHead head{history_, segment_,   first_event_, now,
                wall,     elected_at, origin,       text_of(previous_tail_)};
  head.origin.recovered = {};
  save_.emplace(Save{
      segment_, FrameWriter(FileKind::save, key_), StateCapture(controller), {}, false, 0, {}});
  save_->frames.add(packed(SavePiece(std::move(head))));
}

void EventLog::write_slice() {
  const auto bytes = save_->frames.take();
  save_->written.add_bytes(bytes);
  files_.append(part_name(save_->segment), bytes);
}

void EventLog::continue_save() {
  if (!save_) return;
  auto& save = *save_;
  if (save.complete) return check_back();
  const auto name = part_name(save.segment);
  if (auto slice = save.state.next(settings_.slice_bytes)) {
    save.frames.add(packed(SavePiece(std::move(*slice))));
    write_slice();
    return;
  }
  save.frames.add(packed(SavePiece(SaveEnd{save.state.digest()})));
  write_slice();
  files_.sync(name);
  save.complete = true;
}

// What was written is read back before it counts: a save that cannot be read must not replace one
// that can.
void EventLog::check_back() {
  auto& save = *save_;
  const auto name = part_name(save.segment);
  const auto bytes = files_.read(name, save.checked, kReadBack);
  save.back.add_bytes(bytes);
  save.checked += bytes.size();
  if (save.checked < save.frames.written() && !bytes.empty()) return;
  if (save.checked != save.frames.written() || save.back.value() != save.written.value())
    throw Damaged(name, save.checked, "what was read back is not what was written");
  finish_save();
}

void EventLog::finish_save() {
  const auto name = part_name(save_->segment);
  files_.rename(name, save_name(save_->segment));
  files_.sync_names();
  save_.reset();
  ++saves_made_;
  prune(kSavesKept);
}

void EventLog::prune(std::size_t saves_kept) {
  std::vector<std::uint64_t> saves;
  const auto names = files_.list();
  for (const auto& name : names)
    if (const auto number = save_number(name)) saves.push_back(*number);
  if (saves.size() < saves_kept) return;
  const auto oldest = saves[saves.size() - saves_kept];
  // Saves go before the events after them: killed in between, no save is left without its events
  // (History.KilledAtAnyCallItGoesOnFromWhatWasWritten found the other order).
  for (const auto& name : names)
    if (const auto save = save_number(name); save && *save < oldest) files_.remove(name);
  for (const auto& name : names)
    if (const auto segment = segment_number(name); segment && *segment < oldest)
      files_.remove(name);
  files_.sync_names();
}

}  // namespace violetpulley::history
