/// @file
/// Log lines of one failover: when it reached each step, what the reconciliation found and how much
/// capacity stayed unused meanwhile (docs/operations.md, "After a failover"). Owns the timeline and
/// which lines were logged; takes no decisions.
#pragma once

#include "core/controller.hpp"
#include "failover/failover_timeline.hpp"

namespace violetpulley {

class FailoverLog {
 public:
  explicit FailoverLog(core::TimePoint elected_at)
      : elected_at_(elected_at), timeline_(elected_at) {}

  failover::FailoverTimeline& timeline() { return timeline_; }

  /// Records in the timeline the first commands of this leader; call it before they are sent.
  void record_first_commands(const core::SendCommands& batch, const core::Controller& controller);
  /// Logs the result of the reconciliation once, after the core has completed it.
  void check_reconciled(const core::Controller& controller, core::TimePoint now);
  /// Logs the timeline once, after the reconciliation: as soon as a task accepted before the
  /// election was started, or a few seconds after the reconciliation if none was.
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
