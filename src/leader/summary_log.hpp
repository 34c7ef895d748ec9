/// @file
/// Periodic log lines of a leader: the summary of the core and, less often, how the cost of the
/// rented machines is divided among their uses. Owns the cost samples and the times of the last
/// lines.
#pragma once

#include "diagnostics/cost_breakdown.hpp"

namespace violetpulley {

class SummaryLog {
 public:
  /// Logs the lines that are due at `now`. Each summary also takes a cost sample.
  void log_due(const core::Controller& controller, core::TimePoint now);

 private:
  core::TimePoint last_summary_{};
  std::uint64_t summaries_ = 0;
  diagnostics::CostBreakdown cost_breakdown_;
};

}  // namespace violetpulley
