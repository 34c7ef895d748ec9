#include "history/event_log.hpp"

#include <algorithm>

namespace violetpulley::history {

namespace {

constexpr std::size_t kSnapshotsKept = 2;
constexpr std::size_t kReadBackBytes = std::size_t{4} << 20U;     // per call
constexpr std::size_t kMaxPendingBytes = std::size_t{64} * 1024;  // between flushes

std::string temporary_name(std::uint64_t segment) { return snapshot_name(segment) + ".part"; }

}  // namespace

EventLog::EventLog(Files& files, std::optional<Key> key, LogSettings settings,
                   const Contents& contents, const HistoryId& new_id, core::WallTime wall)
    : files_(files),
      key_(key),
      settings_(settings),
      history_(contents.history.empty() ? new_id : contents.history),
      first_record_(contents.record_count()) {
  for (const auto& name : contents.unfinished) files_.remove(name);
  if (const auto* last = contents.last()) {
    segment_ = last->header.segment;
    previous_tail_ = last->tail;
    if (last->torn_bytes > 0) truncate_torn_tail(*last);
  }
  begin_segment(wall);
}

// Writes the valid frames to a temporary file, which then replaces the segment: the truncation is
// atomic.
void EventLog::truncate_torn_tail(const SegmentInfo& segment) {
  const auto whole = files_.read(segment.name).substr(0, segment.bytes);
  const auto temporary = segment.name + ".part";
  files_.append(temporary, whole);
  files_.sync(temporary);
  files_.rename(temporary, segment.name);
  files_.sync_directory();
}

void EventLog::begin_segment(core::WallTime wall) {
  ++segment_;
  frames_.emplace(FileKind::events, key_);
  records_ = 0;
  heartbeats_ = {};
  frames_->add(
      packed(SegmentHeader{history_, segment_, first_record_, tag_bytes(previous_tail_), wall}));
  write_out();
  files_.sync(segment_name(segment_));
  files_.sync_directory();
  frames_->mark_synced();
  unsynced_ = false;
}

// Encodes a WrittenRecord that holds `content` as `write` does, without copying the event.
template <class Content>
void EventLog::add(core::FencingToken token, core::TimePoint at, const Content& content) {
  constexpr unsigned alternative =
      std::is_same_v<Content, HeartbeatChanges> ? 2 : std::is_same_v<Content, ActionsRecorded>;
  buffer_.clear();
  Packer out(buffer_);
  out.pack_array(3);
  write(out, token);
  write(out, at);
  out.pack_array(2);
  out.pack(alternative);
  write(out, content);
  frames_->add({buffer_.data(), buffer_.size()});
  ++records_;
  if (frames_->pending_bytes() >= kMaxPendingBytes) write_out();
}

void EventLog::abandon_snapshot() {
  if (!snapshot_) return;
  const auto name = temporary_name(snapshot_->segment);
  snapshot_.reset();
  files_.remove(name);
}

void EventLog::record(core::FencingToken token, core::TimePoint at, const core::Event& event) {
  if (std::holds_alternative<core::LeaderElected>(event)) abandon_snapshot();
  if (const auto* heartbeat = heartbeat_of(event)) {
    const bool answers_commands = std::holds_alternative<core::CommandsAnswered>(event);
    if (const auto* changes = heartbeats_.changes(*heartbeat, answers_commands))
      return add(token, at, *changes);
  }
  add(token, at, event);
}

void EventLog::record_actions(core::FencingToken token, core::TimePoint at, std::uint64_t digest) {
  add(token, at, ActionsRecorded{digest});
}

void EventLog::write_out() {
  if (frames_->pending_bytes() == 0) return;
  const auto bytes = frames_->take();
  files_.append(segment_name(segment_), bytes);
  bytes_since_snapshot_ += bytes.size();
  unsynced_ = true;
}

void EventLog::sync(core::TimePoint now) {
  if (unsynced_) files_.sync(segment_name(segment_));
  frames_->mark_synced();
  unsynced_ = false;
  last_sync_ = now;
}

void EventLog::flush(core::TimePoint now) {
  write_out();
  if (!last_sync_) last_sync_ = now;
  if (!last_snapshot_) last_snapshot_ = now;
  const bool due = settings_.sync == SyncPolicy::always ||
                   (settings_.sync == SyncPolicy::interval &&
                    now - *last_sync_ >= core::to_duration(settings_.sync_interval));
  if (due && unsynced_) sync(now);
}

bool EventLog::snapshot_due(core::TimePoint now) const {
  if (snapshot_ || !last_snapshot_) return false;
  return now - *last_snapshot_ >= core::to_duration(settings_.snapshot_interval) ||
         bytes_since_snapshot_ >= settings_.max_bytes_between_snapshots;
}

void EventLog::begin_snapshot(core::Controller& controller,
                              const core::LeaderElected& elected_event, core::TimePoint elected_at,
                              core::TimePoint now, core::WallTime wall) {
  write_out();
  sync(now);
  last_snapshot_ = now;
  bytes_since_snapshot_ = 0;
  first_record_ += records_;
  previous_tail_ = frames_->tail();
  begin_segment(wall);
  SnapshotHeader header{history_, segment_,   first_record_, now,
                        wall,     elected_at, elected_event, tag_bytes(previous_tail_)};
  header.elected_event.recovered = {};
  snapshot_.emplace(Snapshot{
      segment_, FrameWriter(FileKind::snapshot, key_), StateCapture(controller), {}, false, 0, {}});
  snapshot_->frames.add(packed(SnapshotPiece(std::move(header))));
}

void EventLog::write_slice() {
  const auto bytes = snapshot_->frames.take();
  snapshot_->written_digest.add_bytes(bytes);
  files_.append(temporary_name(snapshot_->segment), bytes);
}

void EventLog::continue_snapshot() {
  if (!snapshot_) return;
  auto& snapshot = *snapshot_;
  if (snapshot.complete) return verify_written_file();
  const auto name = temporary_name(snapshot.segment);
  if (auto slice = snapshot.state.next(settings_.slice_bytes)) {
    snapshot.frames.add(packed(SnapshotPiece(std::move(*slice))));
    write_slice();
    return;
  }
  snapshot.frames.add(packed(SnapshotPiece(SnapshotEnd{snapshot.state.digest()})));
  write_slice();
  files_.sync(name);
  snapshot.complete = true;
}

// Verifies the written bytes before the rename, so that an unreadable snapshot never replaces a
// readable one.
void EventLog::verify_written_file() {
  auto& snapshot = *snapshot_;
  const auto name = temporary_name(snapshot.segment);
  const auto bytes = files_.read(name, snapshot.bytes_read_back, kReadBackBytes);
  snapshot.read_back_digest.add_bytes(bytes);
  snapshot.bytes_read_back += bytes.size();
  if (snapshot.bytes_read_back < snapshot.frames.written_bytes() && !bytes.empty()) return;
  if (snapshot.bytes_read_back != snapshot.frames.written_bytes() ||
      snapshot.read_back_digest.value() != snapshot.written_digest.value())
    throw CorruptionError(name, snapshot.bytes_read_back,
                          "the snapshot read back differs from the bytes written");
  finish_snapshot();
}

void EventLog::finish_snapshot() {
  const auto name = temporary_name(snapshot_->segment);
  files_.rename(name, snapshot_name(snapshot_->segment));
  files_.sync_directory();
  snapshot_.reset();
  ++snapshots_made_;
  prune(kSnapshotsKept);
}

void EventLog::prune(std::size_t snapshots_kept) {
  std::vector<std::uint64_t> snapshots;
  const auto names = files_.list();
  for (const auto& name : names)
    if (const auto number = snapshot_number(name)) snapshots.push_back(*number);
  if (snapshots.size() < snapshots_kept) return;
  const auto oldest = snapshots[snapshots.size() - snapshots_kept];
  // Snapshots are removed before the segments that follow them. In the opposite order, a process
  // killed in between leaves a snapshot without the events after it, which Reader rejects
  // (History.AProcessKilledAtAnyFileCallRecoversAllFlushedRecords).
  for (const auto& name : names)
    if (const auto snapshot = snapshot_number(name); snapshot && *snapshot < oldest)
      files_.remove(name);
  for (const auto& name : names)
    if (const auto segment = segment_number(name); segment && *segment < oldest)
      files_.remove(name);
  files_.sync_directory();
}

}  // namespace violetpulley::history
