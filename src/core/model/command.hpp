/// @file
/// Commands to agents.
#pragma once

#include "core/model/identifiers.hpp"

namespace violetpulley::core {

/// `acknowledge`: the agent may forget the exited attempt.
enum class CommandType { start, stop, acknowledge };

/// A command for one attempt of a task.
struct Command {
  CommandType type = CommandType::start;
  TaskKey task;
  Attempt attempt = 0;
  Seconds grace{0};  ///< Of a stop: time to save a checkpoint; 0: stop at once.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.type, s.task, s.attempt, s.grace);
  }
};

}  // namespace violetpulley::core
