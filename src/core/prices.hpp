// When a machine counts as dear (docs/design.md, "Dear machines last"): the one rule for the
// packer, which fills dear machines last, and for the scaler, which rents them last.
#pragma once

namespace violetpulley::core {

inline constexpr double kDearFactor = 1.8;

inline bool is_dear(double price, double cheapest) { return price > kDearFactor * cheapest; }

}  // namespace violetpulley::core
