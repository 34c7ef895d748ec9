#include "simulation/environment.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr double kMessageLoss = 0.03;
// Any pair of numbers that keeps the two generators apart for all seeds in use.
constexpr std::uint64_t kOperatorSeedFactor = 7919;
constexpr std::uint64_t kOperatorSeedOffset = 17;

}  // namespace

Environment::Environment(std::uint64_t seed) : random_(seed), now_(kBegin) {}

WallTime Environment::wall_now() const {
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
}

void Environment::advance() {
  now_ += kStep;
  while (!events_.empty() && events_.begin()->first <= now_) {
    const auto callback = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    callback();
  }
}

void Environment::after(Seconds delay, Callback callback) {
  events_.emplace(now_ + to_duration(delay), std::move(callback));
}

bool Environment::chance(double probability) { return between(0, 1) < probability; }

double Environment::between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void Environment::enable_operator_faults(std::uint64_t seed) {
  operator_faults_ = true;
  operator_random_.seed(seed * kOperatorSeedFactor + kOperatorSeedOffset);
}

bool Environment::operator_chance(double probability) {
  return operator_faults_ && faults_active() && operator_between(0, 1) < probability;
}

double Environment::operator_between(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(operator_random_);
}

double Environment::message_loss() const { return faults_active() ? kMessageLoss : 0.0; }

}  // namespace violetpulley::core::simulated
