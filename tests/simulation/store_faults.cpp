#include "simulation/store_faults.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

// Probabilities per step.
constexpr double kDisruptionChance = 0.004;
constexpr double kSlowServiceChance = 0.001;

constexpr std::chrono::seconds kFirstDisruptionDeadline{150};
constexpr int kCancellationsInDisruption = 2;
constexpr double kMaxRefusalTime = 2.8;          // seconds; below the duration of a store lease
constexpr double kMaxOutageFactor = 1.4;         // of the cancellation time
constexpr double kMaxStallTimeAfterOutage = 10;  // seconds

}  // namespace

void StoreFaults::step() {
  if (disruption_due()) begin_disruption();
  if (environment_.optional_fault_chance(kSlowServiceChance))
    store_.slow_until =
        environment_.now() + to_duration(environment_.optional_fault_seconds(5, 40));
}

bool StoreFaults::disruption_due() {
  if (!leaders_.has_single_leader() || store_.changes_stalled || store_.outage) return false;
  if (environment_.optional_fault_chance(kDisruptionChance)) return true;
  return disruptions_ == 0 && environment_.now() > kStartTime + kFirstDisruptionDeadline;
}

// Makes the service refuse only the leader, while other controllers confirm cancellations.
void StoreFaults::begin_disruption() {
  ++disruptions_;
  store_.refuses_leader = store_.changes_stalled = true;
  for (int i = 0; i < kCancellationsInDisruption; ++i)
    environment_.after(environment_.optional_fault_seconds(0.1, 1),
                       [this] { jobs_.cancel_first(); });
  environment_.after(environment_.optional_fault_seconds(0.2, kMaxRefusalTime),
                     [this] { begin_outage(); });
}

void StoreFaults::begin_outage() {
  store_.outage = store_.refuses_leader = store_.changes_stalled = true;
  const auto longest = kMaxOutageFactor * kAgentTimes.cancel.count();
  environment_.after(environment_.optional_fault_seconds(0.2, longest), [this] { end_outage(); });
}

// The leader still holds the leader key after the outage. The watch delivers no changes for some
// seconds more.
void StoreFaults::end_outage() {
  store_.outage = store_.refuses_leader = false;
  environment_.after(environment_.optional_fault_seconds(0.05, kMaxStallTimeAfterOutage),
                     [this] { store_.resume_changes(); });
}

}  // namespace violetpulley::core::simulated
