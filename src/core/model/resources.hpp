/// @file
/// Amounts of processors, GPUs and memory.
#pragma once

namespace violetpulley::core {

/// Resources that a task needs, a machine offers or a team may use.
struct Resources {
  /// Amounts are decimal fractions, so sums may have a rounding error of up to this amount.
  static constexpr double kRoundingTolerance = 1e-6;

  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double factor) {
    return {a.cpus * factor, a.gpus * factor, a.memory_gb * factor};
  }

  /// Whether no amount exceeds the available one, apart from rounding errors.
  bool fits_in(const Resources& available) const {
    return cpus <= available.cpus + kRoundingTolerance &&
           gpus <= available.gpus + kRoundingTolerance &&
           memory_gb <= available.memory_gb + kRoundingTolerance;
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.cpus, s.gpus, s.memory_gb);
  }
};

}  // namespace violetpulley::core
