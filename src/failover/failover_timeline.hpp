/// @file
/// Records when a failover reached each of its steps, for one log record (docs/operations.md,
/// "After a failover"). Each step is recorded once; a step that was not reached is left out of the
/// record.
#pragma once

#include <array>
#include <optional>
#include <string>

#include "core/model/types.hpp"

namespace violetpulley::failover {

enum class FailoverStep : std::uint8_t {
  pages_read,                 ///< the record tables: machines, provisioning, progress, placements
  jobs_read,                  ///< the job replica holds everything up to the leader key
  leadership_proven,          ///< the leader key was still ours after all of that was read
  core_built,                 ///< decisions may be made
  first_command,              ///< sent to a machine
  first_answer,               ///< a machine is confirmed
  first_start_of_newer_task,  ///< of a task accepted after the leader key was won
  first_start_of_older_task,  ///< of a task accepted before
  reconciled,                 ///< no machine is unconfirmed
};
inline constexpr std::size_t kStepCount = 9;

class FailoverTimeline {
 public:
  /// `elected_at`: when the leader key was won.
  explicit FailoverTimeline(core::TimePoint elected_at) : elected_at_(elected_at) {}

  void record(FailoverStep step, core::TimePoint now) {
    auto& time = times_[static_cast<std::size_t>(step)];
    if (!time) time = now;
  }
  /// Everything is read anew: the steps of the reads before do not count.
  void reset() { times_ = {}; }
  bool reached(FailoverStep step) const {
    return times_[static_cast<std::size_t>(step)].has_value();
  }

  /// "pages_read=0.050 jobs_read=0.060 ...", in seconds since the leader was elected.
  std::string text() const;

 private:
  core::TimePoint elected_at_;
  std::array<std::optional<core::TimePoint>, kStepCount> times_{};
};

}  // namespace violetpulley::failover
