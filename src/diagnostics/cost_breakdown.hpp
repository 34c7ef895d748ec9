/// @file
/// What the money for machines is spent on, sampled: the price of each machine since the last
/// sample is divided by the use of its most used resource, so that the parts add up to the whole.
/// Owns the sums, which begin with the leader.
#pragma once

#include <array>

#include "core/controller.hpp"

namespace violetpulley::diagnostics {

/// What a machine, or a part of its capacity, is used for.
enum class Use { running, fetching, stopping, unused_capacity, empty, reserved, booting };
/// Number of values of Use.
inline constexpr std::size_t kUses = 7;

/// Sums of cost by use.
class CostBreakdown {
 public:
  /// Charges the time since the last call by the present use. The first call charges nothing.
  void sample(const core::Fleet& fleet, core::TimePoint now);

  /// Total cost, in the unit of the prices (prices are per hour).
  double total_cost() const;
  double cost_of(Use use) const { return cost_by_use_[static_cast<std::size_t>(use)]; }
  /// "spent 12.3: running 61.0%, ..." for the log.
  std::string text() const;

 private:
  std::optional<core::TimePoint> last_;
  std::array<double, kUses> cost_by_use_{};
};

}  // namespace violetpulley::diagnostics
