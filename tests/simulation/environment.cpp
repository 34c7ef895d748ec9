#include "simulation/environment.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr double kMessageLoss = 0.03;
// Keep the seeds of the generators different for every seed in use; the values are arbitrary.
constexpr std::uint64_t kOptionalFaultSeedFactor = 7919;
constexpr std::uint64_t kOptionalFaultSeedOffset = 17;
constexpr std::uint64_t kCommandCopySeedFactor = 104729;
constexpr std::uint64_t kCommandCopySeedOffset = 29;

}  // namespace

Environment::Environment(std::uint64_t seed) : random_(seed), now_(kStartTime) {}

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

bool Environment::chance(double probability) { return uniform(0, 1) < probability; }

double Environment::uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void Environment::enable_optional_faults(std::uint64_t seed) {
  optional_faults_enabled_ = true;
  optional_fault_random_.seed(seed * kOptionalFaultSeedFactor + kOptionalFaultSeedOffset);
  command_copy_random_.seed(seed * kCommandCopySeedFactor + kCommandCopySeedOffset);
}

bool Environment::optional_fault_chance(double probability) {
  return optional_faults_enabled_ && faults_active() && optional_fault_uniform(0, 1) < probability;
}

double Environment::optional_fault_uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(optional_fault_random_);
}

bool Environment::command_copy_chance(double probability) {
  return optional_faults_enabled_ && faults_active() &&
         std::uniform_real_distribution<double>(0, 1)(command_copy_random_) < probability;
}

Seconds Environment::command_copy_seconds(double low, double high) {
  return Seconds(std::uniform_real_distribution<double>(low, high)(command_copy_random_));
}

double Environment::message_loss() const { return faults_active() ? kMessageLoss : 0.0; }

}  // namespace violetpulley::core::simulated
