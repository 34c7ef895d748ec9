/// @file
/// When a machine counts as expensive (docs/design.md, "Expensive machines last"). The packer fills
/// expensive machines last, and the scaler requests them last.
#pragma once

namespace violetpulley::core {

/// An expensive machine costs more than this multiple of the cheapest.
inline constexpr double kExpensiveFactor = 1.8;

/// Whether `price` is expensive compared with the `cheapest` alternative.
inline bool is_expensive(double price, double cheapest) {
  return price > kExpensiveFactor * cheapest;
}

}  // namespace violetpulley::core
