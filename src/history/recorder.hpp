/// @file
/// Keeps the history of one controller in a directory: continues an existing history, records the
/// events that the core receives while this process leads, and writes snapshots in slices. An error
/// ends the recording but not the service: the cause is logged and the process continues without a
/// history (docs/operations.md, "History").
#pragma once

#include <memory>

#include "history/event_log.hpp"

namespace violetpulley::history {

/// Owns the files and the event log of this process.
class Recorder {
 public:
  struct Settings {
    std::string directory;
    std::optional<Key> key;
    LogSettings log;
  };
  /// Reads and replays the existing history. Does not throw: after an error, `is_recording()` is
  /// false.
  Recorder(const Settings& settings, core::WallTime wall);
  /// Uses `files` instead of a directory, for tests.
  Recorder(std::unique_ptr<Files> files, const Settings& settings, core::WallTime wall);

  /// Whether events are recorded.
  bool is_recording() const { return log_ != nullptr; }
  /// The learned state when the last leader of this history ended; empty for a new history.
  const core::LearnedState& learned_state() const { return learned_state_; }
  /// Must be called when a leader of this process ends, before its controller is destroyed.
  void leader_ends(core::LearnedState learned_state);
  /// Whether a snapshot is in progress. The caller should defer changes of all machines at once,
  /// because each changed machine is encoded before the change.
  bool snapshotting() const { return log_ && log_->snapshotting(); }

  /// Records the first event of a leader of this process.
  void leader_elected(core::TimePoint at, const core::LeaderElected& event);
  /// Records an event; called before the core applies it.
  void record(core::TimePoint at, const core::Event& event);
  /// Records the digest of the actions that the core returned; an empty list is not recorded.
  void record_actions(core::TimePoint at, const std::vector<core::Action>& actions);
  /// Writes pending records and continues or starts a snapshot if one is due. All recorded events
  /// must have been applied to `controller`, and its actions must have been taken.
  void write_due(core::Controller& controller, core::TimePoint now, core::WallTime wall);

  /// Number of events and snapshots so far, for a log line.
  std::string summary() const;

 private:
  void start(const Settings& settings, core::WallTime wall);
  /// Runs `work`; an exception is logged and ends the recording.
  template <class Work>
  void disable_on_error(const Work& work);

  std::unique_ptr<Files> files_;
  std::unique_ptr<EventLog> log_;
  core::LearnedState learned_state_;
  core::LeaderElected elected_event_;
  core::TimePoint elected_at_{};
};

}  // namespace violetpulley::history
