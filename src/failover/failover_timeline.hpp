// When a takeover came to each of its steps, for one log record (docs/operations.md, "After a
// takeover"). Each step is noted once; what was not reached is left out.
#pragma once

#include <array>
#include <optional>
#include <string>

#include "core/model/types.hpp"

namespace violetpulley::failover {

enum class Step : std::uint8_t {
  pages_read,                 // machines, rented, progress, placements
  jobs_read,                  // the mirror holds everything up to the key
  proved,                     // the key was still ours after all of that was read
  core_built,                 // decisions may be made
  first_command,              // sent to a machine
  first_answer,               // a machine is confirmed
  first_start_of_newer_task,  // of a task accepted after the key
  first_start_of_older_task,  // of one accepted before it
  reconciled,                 // every machine is accounted for
};
inline constexpr std::size_t kSteps = 9;

class FailoverTimeline {
 public:
  explicit FailoverTimeline(core::TimePoint key) : key_(key) {}

  void note(Step step, core::TimePoint now) {
    auto& at = at_[static_cast<std::size_t>(step)];
    if (!at) at = now;
  }
  // Read anew: what was noted of the reads before does not count.
  void again() { at_ = {}; }
  bool reached(Step step) const { return at_[static_cast<std::size_t>(step)].has_value(); }

  // "pages_read=0.05 jobs_read=0.06 ...", in seconds after the key.
  std::string text() const;

 private:
  core::TimePoint key_;
  std::array<std::optional<core::TimePoint>, kSteps> at_{};
};

}  // namespace violetpulley::failover
