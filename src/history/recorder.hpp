/// @file
/// The history of one controller in a directory: continues an existing history, records the events
/// that enter the core while this process leads, and writes snapshots in slices. An error here ends
/// the history and not the service: the cause is logged and the process continues without a history
/// (docs/operations.md, "History").
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
  /// Reads and replays the existing history. Never throws: after an error `on()` is false.
  Recorder(const Settings& settings, core::WallTime wall);
  /// The same over other files, for tests.
  Recorder(std::unique_ptr<Files> files, const Settings& settings, core::WallTime wall);

  /// Whether events are recorded.
  bool is_recording() const { return log_ != nullptr; }
  /// The learned state when the last leader of this history ended; empty if there is none.
  const core::LearnedState& learned_state() const { return learned_state_; }
  /// Called when a leader of this process ends.
  void leader_ends(core::LearnedState learned_state);
  /// A snapshot is in progress: a change of all machines at once should wait.
  bool snapshotting() const { return log_ && log_->snapshotting(); }

  /// The first event of a leader of this process.
  void leader_elected(core::TimePoint at, const core::LeaderElected& event);
  /// An event, before the core applies it.
  void record(core::TimePoint at, const core::Event& event);
  /// The actions that the core has returned; an empty list is not recorded.
  void record_actions(core::TimePoint at, const std::vector<core::Action>& actions);
  /// Writes what is due. Must be called when all recorded events are applied to `controller` and
  /// its actions were taken.
  void write_due(core::Controller& controller, core::TimePoint now, core::WallTime wall);

  /// Events and snapshots so far, for the log line.
  std::string summary() const;

 private:
  void start(const Settings& settings, core::WallTime wall);
  /// Runs `work`; an exception ends the history.
  template <class Work>
  void disable_on_error(const Work& work);

  std::unique_ptr<Files> files_;
  std::unique_ptr<EventLog> log_;
  core::LearnedState learned_state_;
  core::LeaderElected elected_event_;
  core::TimePoint elected_at_{};
};

}  // namespace violetpulley::history
