#include "simulation/store_faults.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

// Chances of each step.
constexpr double kGapChance = 0.004;
constexpr double kSlownessChance = 0.001;

constexpr std::chrono::seconds kFirstGapWithin{150};
constexpr int kCancellationsInGap = 2;
constexpr double kMaxRefusal = 2.8;          // seconds; shorter than the store lease lasts
constexpr double kMaxOutageFactor = 1.4;     // of the cancellation time
constexpr double kMaxStallAfterOutage = 10;  // seconds

}  // namespace

void StoreFaults::step() {
  if (gap_due()) begin_gap();
  if (environment_.operator_chance(kSlownessChance))
    store_.slow_until = environment_.now() + to_duration(environment_.operator_seconds(5, 40));
}

bool StoreFaults::gap_due() {
  if (!leaders_.may_fail() || store_.changes_stalled || store_.outage) return false;
  if (environment_.operator_chance(kGapChance)) return true;
  return gaps_ == 0 && environment_.now() > kBegin + kFirstGapWithin;
}

// The service refuses the leader alone while other controllers confirm cancellations.
void StoreFaults::begin_gap() {
  ++gaps_;
  store_.refuses_leader = store_.changes_stalled = true;
  for (int i = 0; i < kCancellationsInGap; ++i)
    environment_.after(environment_.operator_seconds(0.1, 1), [this] { jobs_.cancel_first(); });
  environment_.after(environment_.operator_seconds(0.2, kMaxRefusal), [this] { begin_outage(); });
}

void StoreFaults::begin_outage() {
  store_.outage = store_.refuses_leader = store_.changes_stalled = true;
  const auto longest = kMaxOutageFactor * kAgentTimes.cancel.count();
  environment_.after(environment_.operator_seconds(0.2, longest), [this] { end_outage(); });
}

// The leader key is ours again at once; the watch delivers nothing for some seconds more.
void StoreFaults::end_outage() {
  store_.outage = store_.refuses_leader = false;
  environment_.after(environment_.operator_seconds(0.05, kMaxStallAfterOutage),
                     [this] { store_.resume_changes(); });
}

}  // namespace violetpulley::core::simulated
