#include "simulation/fleet_environment.hpp"

#include <algorithm>
#include <utility>

namespace violetpulley::core::fleet_simulation {
namespace {

constexpr std::chrono::milliseconds kStep{20};

}  // namespace

FleetEnvironment::FleetEnvironment(std::uint64_t seed)
    : random_(seed), now_(TimePoint{} + std::chrono::hours(1)) {}

void FleetEnvironment::advance() {
  const auto step_begin = now_;
  const auto step_end = now_ + kStep;
  now_ = step_end;
  while (!events_.empty() && events_.begin()->first <= step_end) {
    const auto at = events_.begin()->first;
    const auto callback = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    now_ = std::max(at, step_begin);
    callback();
    now_ = step_end;
  }
}

void FleetEnvironment::after(Seconds delay, Callback callback) {
  events_.emplace(now_ + to_duration(delay), std::move(callback));
}

double FleetEnvironment::uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

}  // namespace violetpulley::core::fleet_simulation
