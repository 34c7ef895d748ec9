/// @file
/// Log lines of one failover: when it came to each of its steps, what the reconciliation found and
/// what it cost (docs/operations.md, "After a failover"). Owns the timeline and what was already
/// logged; decides nothing.
#pragma once

#include "core/controller.hpp"
#include "failover/failover_timeline.hpp"

namespace violetpulley {

class FailoverLog {
 public:
  explicit FailoverLog(core::TimePoint elected_at)
      : elected_at_(elected_at), timeline_(elected_at) {}

  failover::FailoverTimeline& timeline() { return timeline_; }

  /// Notes the first commands of this leader, before they are sent.
  void record_first_commands(const core::SendCommands& batch, const core::Controller& controller);
  /// Logs the result of the reconciliation, once, as soon as the core has ended it.
  void check_reconciled(const core::Controller& controller, core::TimePoint now);
  /// Logs the timeline, once: after the reconciliation, when a task accepted before the election
  /// was started, or some seconds later if no such task waits.
  void check_timeline(core::TimePoint now);

 private:
  void log_reconciliation(const core::Reconciler& reconciler,
                          const core::CommandDispatcher& commands, core::TimePoint now) const;

  core::TimePoint elected_at_;
  failover::FailoverTimeline timeline_;
  std::optional<core::TimePoint> reconciled_at_;  ///< Null: machines are still unconfirmed.
  bool timeline_logged_ = false;
};

}  // namespace violetpulley
