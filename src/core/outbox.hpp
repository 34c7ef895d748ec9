// What the parts ask for while an event is handled: actions for the shells, and a round of placing
// because a task or room has appeared. It decides nothing.
#pragma once

#include <utility>

#include "core/model/actions.hpp"

namespace violetpulley::core {

class Outbox {
 public:
  void push_back(Action action) { actions_.push_back(std::move(action)); }
  std::vector<Action> take() { return std::exchange(actions_, {}); }

  void want_placing() { placing_wanted_ = true; }
  void placing_begins() { placing_wanted_ = false; }
  bool placing_wanted() const { return placing_wanted_; }

  // Machines looked at, each time counted: what events cost.
  void note_inspections(std::uint64_t machines) { inspections_ += machines; }
  std::uint64_t inspections() const { return inspections_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.placing_wanted_, s.inspections_);
  }

 private:
  std::vector<Action> actions_;  // empty between events
  bool placing_wanted_ = true;
  std::uint64_t inspections_ = 0;
};

}  // namespace violetpulley::core
