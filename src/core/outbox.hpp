/// @file
/// Requests of the controller's parts while an event is handled: actions for the code around the
/// controller, and a scheduling round because tasks or capacity have become available. Owns these
/// requests and the number of machine inspections.
#pragma once

#include <utility>

#include "core/model/actions.hpp"

namespace violetpulley::core {

/// Collects the actions that result from an event.
class Outbox {
 public:
  /// Adds an action; actions are carried out in the order in which they were added.
  void push_back(Action action) { actions_.push_back(std::move(action)); }
  /// Returns the collected actions and removes them.
  std::vector<Action> take() { return std::exchange(actions_, {}); }

  /// Requests a scheduling round soon.
  void request_scheduling_round() { scheduling_round_requested_ = true; }
  /// Clears the request when a scheduling round begins.
  void scheduling_round_started() { scheduling_round_requested_ = false; }
  /// Whether a scheduling round is requested.
  bool scheduling_round_requested() const { return scheduling_round_requested_; }

  /// Counts machine inspections, by which tests bound the cost of an event.
  void count_inspections(std::uint64_t machines) { inspections_ += machines; }
  /// Number of machine inspections so far; a machine counts once for each inspection.
  std::uint64_t inspections() const { return inspections_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.scheduling_round_requested_, s.inspections_);
  }

 private:
  std::vector<Action> actions_;  // empty between events, so not part of snapshots
  bool scheduling_round_requested_ = true;
  std::uint64_t inspections_ = 0;
};

}  // namespace violetpulley::core
