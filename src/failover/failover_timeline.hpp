/// @file
/// Records when a failover reached each of its steps, for a single log record (docs/operations.md,
/// "After a failover"). Owns the time at which each step was first reached; steps that were not
/// reached are omitted from the log record.
#pragma once

#include <array>
#include <optional>
#include <string>

#include "core/model/types.hpp"

namespace violetpulley::failover {

enum class FailoverStep : std::uint8_t {
  pages_read,                 ///< The record tables have been read.
  jobs_read,                  ///< The job replica contains all changes up to the leader key.
  leadership_proven,          ///< This node still held the leader key after these reads.
  core_built,                 ///< The core exists and may make decisions.
  first_command,              ///< The first command was sent to a machine.
  first_answer,               ///< The first machine was confirmed.
  first_start_of_newer_task,  ///< Of a task accepted after this node won the leader key.
  first_start_of_older_task,  ///< Of a task accepted before this node won the leader key.
  reconciled,                 ///< No machine is unconfirmed any more.
};
inline constexpr std::size_t kStepCount = 9;

class FailoverTimeline {
 public:
  /// `elected_at` is when the leader key was won.
  explicit FailoverTimeline(core::TimePoint elected_at) : elected_at_(elected_at) {}

  void record(FailoverStep step, core::TimePoint now) {
    auto& time = times_[static_cast<std::size_t>(step)];
    if (!time) time = now;
  }
  /// Forgets all steps, because the reader starts over.
  void reset() { times_ = {}; }
  bool reached(FailoverStep step) const {
    return times_[static_cast<std::size_t>(step)].has_value();
  }

  /// Returns the steps in seconds since the election: "pages_read=0.050 jobs_read=0.060 ...".
  std::string text() const;

 private:
  core::TimePoint elected_at_;
  std::array<std::optional<core::TimePoint>, kStepCount> times_{};
};

}  // namespace violetpulley::failover
