/// @file
/// What the parts of the controller request while an event is handled: actions for the shells, and
/// a scheduling round because a task or capacity has appeared. Owns these requests and the count of
/// inspections; decides nothing.
#pragma once

#include <utility>

#include "core/model/actions.hpp"

namespace violetpulley::core {

/// Collects the effects of an event.
class Outbox {
 public:
  /// Adds an action; the shells carry the actions out in this order.
  void push_back(Action action) { actions_.push_back(std::move(action)); }
  /// Returns the collected actions and forgets them.
  std::vector<Action> take() { return std::exchange(actions_, {}); }

  /// Requests a scheduling round soon.
  void request_scheduling_round() { scheduling_round_requested_ = true; }
  /// A scheduling round begins, which fulfils the request.
  void scheduling_round_started() { scheduling_round_requested_ = false; }
  /// Whether a scheduling round is requested.
  bool scheduling_round_requested() const { return scheduling_round_requested_; }

  /// Counts machines that were examined, to bound what events cost.
  void note_inspections(std::uint64_t machines) { inspections_ += machines; }
  /// Machines examined so far, each time counted.
  std::uint64_t inspections() const { return inspections_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.scheduling_round_requested_, s.inspections_);
  }

 private:
  std::vector<Action> actions_;  // empty between events
  bool scheduling_round_requested_ = true;
  std::uint64_t inspections_ = 0;
};

}  // namespace violetpulley::core
