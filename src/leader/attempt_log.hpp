/// @file
/// Log lines about attempts for on-call (docs/operations.md, "A task on two machines"). Owns the
/// number of lines in the present second.
#pragma once

#include "core/controller.hpp"

namespace violetpulley {

class AttemptLog {
 public:
  /// Logs the notes that the core has written since the last call, within a limit of lines a
  /// second.
  void log_notes(core::Controller& controller, core::TimePoint now);

 private:
  core::TimePoint second_begins_{};
  std::size_t lines_ = 0;
  std::size_t left_out_ = 0;
};

}  // namespace violetpulley
