// What the rented machines are paid for, sampled: each machine's price since the last sample is
// shared out by its most used resource, so the parts add up to the whole. Owns its sums; they begin
// with the leader.
#pragma once

#include <array>

#include "core/controller.hpp"

namespace violetpulley::diagnostics {

enum class Use { running, fetching, stopping, beside, empty, reserved, booting };
inline constexpr std::size_t kUses = 7;

class CostBreakdown {
 public:
  // The time since the last call is paid as things are now; the first one pays nothing.
  void sample(const core::Fleet& fleet, core::TimePoint now);

  double paid() const;  // prices are an hour's
  double paid_for(Use use) const { return paid_[static_cast<std::size_t>(use)]; }
  // "spent 12.3: running 61.0%, ..." for the log.
  std::string text() const;

 private:
  std::optional<core::TimePoint> last_;
  std::array<double, kUses> paid_{};
};

}  // namespace violetpulley::diagnostics
