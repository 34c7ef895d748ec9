/// @file
/// Cost of the machines by use, sampled: the cost of each machine since the last sample is divided
/// among its uses by the share of its most used resource, so that the parts add up to the total.
/// Owns the sums since the leader was elected.
#pragma once

#include <array>

#include "core/controller.hpp"

namespace violetpulley::diagnostics {

/// What a machine, or a part of its capacity, is used for.
enum class Use { running, fetching, stopping, unused_capacity, empty, reserved, booting };
/// Number of values of `Use`.
inline constexpr std::size_t kUseCount = 7;

/// Sums of cost by use.
class CostBreakdown {
 public:
  /// Adds the cost since the last call, divided among the present uses of each machine. The first
  /// call adds nothing.
  void sample(const core::Fleet& fleet, core::TimePoint now);

  /// In the currency of the prices (prices are per hour).
  double total_cost() const;
  double cost_of(Use use) const { return cost_by_use_[static_cast<std::size_t>(use)]; }
  /// "spent 12.3: running 61.0%, ..." for the log.
  std::string text() const;

 private:
  std::optional<core::TimePoint> last_;
  std::array<double, kUseCount> cost_by_use_{};
};

}  // namespace violetpulley::diagnostics
