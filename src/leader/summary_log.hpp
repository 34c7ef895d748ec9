/// @file
/// Periodic log lines of a leader: the summary of the core and, less often, what the rented
/// machines are paid for. Owns the cost samples and the pace of the lines.
#pragma once

#include "diagnostics/cost_breakdown.hpp"

namespace violetpulley {

class SummaryLog {
 public:
  /// Logs the lines that are due at `now`, and samples the cost with each summary.
  void log_due(const core::Controller& controller, core::TimePoint now);

 private:
  core::TimePoint last_summary_{};
  std::uint64_t summaries_ = 0;
  diagnostics::CostBreakdown cost_breakdown_;
};

}  // namespace violetpulley
