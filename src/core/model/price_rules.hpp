// When a machine counts as dear (docs/design.md, "Dear machines last"): the one rule for the
// packer, which fills dear machines last, and for the scaler, which rents them last.
#pragma once

namespace violetpulley::core {

inline constexpr double kExpensiveFactor = 1.8;

inline bool is_expensive(double price, double cheapest) {
  return price > kExpensiveFactor * cheapest;
}

}  // namespace violetpulley::core
