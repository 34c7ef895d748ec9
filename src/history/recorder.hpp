// The history of one controller in a directory: goes on from what is there, records what enters the
// core while this process leads, saves in slices. Whatever fails here ends the history and not the
// service: the cause is logged and the process goes on without (docs/operations.md, "History").
#pragma once

#include <memory>

#include "history/event_log.hpp"

namespace violetpulley::history {

class Recorder {
 public:
  struct Settings {
    std::string directory;
    std::optional<Key> key;
    LogSettings log;
  };
  // Reads what is there and replays it. Never throws.
  Recorder(const Settings& settings, core::WallTime wall);
  // The same over other files, for tests.
  Recorder(std::unique_ptr<Files> files, const Settings& settings, core::WallTime wall);

  bool on() const { return log_ != nullptr; }
  // What was known when the last leader of this history ended; empty if none is known.
  const core::LearnedState& learned_state() const { return learned_state_; }
  // When a leader of this process ends.
  void leader_ends(core::LearnedState learned_state);
  // A save is being made: what would change every machine at once should wait.
  bool snapshotting() const { return log_ && log_->snapshotting(); }

  void leader_elected(core::TimePoint at, const core::LeaderElected& event);
  void record(core::TimePoint at, const core::Event& event);
  void record_actions(core::TimePoint at, const std::vector<core::Action>& actions);
  // Writes what is due. Call it when `controller` holds all that was recorded and its actions were
  // taken.
  void pump(core::Controller& controller, core::TimePoint now, core::WallTime wall);

  // Bytes and events so far, for the log line.
  std::string summary() const;

 private:
  void start(const Settings& settings, core::WallTime wall);
  // Runs `work`, and ends the history if that fails.
  template <class Work>
  void guarded(const Work& work);

  std::unique_ptr<Files> files_;
  std::unique_ptr<EventLog> log_;
  core::LearnedState learned_state_;
  core::LeaderElected origin_;
  core::TimePoint elected_at_{};
};

}  // namespace violetpulley::history
