#include "history/recorder.hpp"

#include <sodium.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace violetpulley::history {

namespace {

HistoryId new_history_id() {
  std::array<unsigned char, 16> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::string text(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

}  // namespace

template <class Work>
void Recorder::disable_on_error(const Work& work) {
  try {
    work();
  } catch (const std::exception& problem) {
    // For example a full or read-only disk, or a corrupt history.
    spdlog::error("history is off from now on, the service continues without a history: {}",
                  problem.what());
    log_.reset();
  }
}

Recorder::Recorder(const Settings& settings, core::WallTime wall) {
  disable_on_error([&] {
    files_ = std::make_unique<Directory>(settings.directory, true);
    start(settings, wall);
  });
}

Recorder::Recorder(std::unique_ptr<Files> files, const Settings& settings, core::WallTime wall)
    : files_(std::move(files)) {
  disable_on_error([&] { start(settings, wall); });
}

void Recorder::start(const Settings& settings, core::WallTime wall) {
  const auto started = core::Clock::now();
  Replay replay;
  Reader reader(*files_, settings.key);
  const auto contents = reader.recover(replay, [](const CorruptionError& problem) {
    spdlog::error("history: a snapshot is corrupt, trying the previous one: {}", problem.what());
  });
  if (const auto* last = contents.last(); last != nullptr && last->torn_bytes > 0)
    spdlog::warn("history: {} has a torn tail, {} bytes are cut off: {}", last->name,
                 last->torn_bytes, last->torn_cause);
  if (replay.difference())
    spdlog::warn("history: the replay differs from the recorded actions at record {}",
                 replay.difference()->record);
  if (replay.controller() != nullptr)
    learned_state_ = replay.controller()->learned_state(replay.now(), replay.wall_now());
  log_ = std::make_unique<EventLog>(*files_, settings.key, settings.log, contents, new_history_id(),
                                    wall);
  spdlog::info("history: recovered {} records in {:.3f} s", contents.record_count(),
               core::Seconds(core::Clock::now() - started).count());
}

void Recorder::leader_ends(core::LearnedState learned_state) {
  learned_state_ = std::move(learned_state);
  if (log_) disable_on_error([&] { log_->abandon_snapshot(); });
}

void Recorder::leader_elected(core::TimePoint at, const core::LeaderElected& event) {
  elected_event_ = event;
  elected_event_.recovered = {};
  elected_at_ = at;
  record(at, event);
}

void Recorder::record(core::TimePoint at, const core::Event& event) {
  if (log_) disable_on_error([&] { log_->record(elected_event_.token, at, event); });
}

void Recorder::record_actions(core::TimePoint at, const std::vector<core::Action>& actions) {
  if (log_ && !actions.empty())
    disable_on_error([&] { log_->record_actions(elected_event_.token, at, digest_of(actions)); });
}

void Recorder::write_due(core::Controller& controller, core::TimePoint now, core::WallTime wall) {
  if (!log_) return;
  disable_on_error([&] {
    log_->flush(now);
    if (log_->snapshotting())
      log_->continue_snapshot();
    else if (log_->snapshot_due(now))
      log_->begin_snapshot(controller, elected_event_, elected_at_, now, wall);
  });
}

std::string Recorder::summary() const {
  if (!log_) return "history off";
  return "history: " + std::to_string(log_->record_count()) + " events, " +
         std::to_string(log_->snapshots_made()) + " snapshots";
}

}  // namespace violetpulley::history
