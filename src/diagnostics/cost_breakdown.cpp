#include "diagnostics/cost_breakdown.hpp"

#include <iomanip>
#include <numeric>
#include <sstream>

namespace violetpulley::diagnostics {

namespace {

// Shares of a machine by use; they add up to 1.
using Shares = std::array<double, kUseCount>;

// Largest share over all resources.
double share_of(const core::Resources& part, const core::Resources& total) {
  double share = 0;
  if (total.cpus > 0) share = std::max(share, part.cpus / total.cpus);
  if (total.gpus > 0) share = std::max(share, part.gpus / total.gpus);
  if (total.memory_gb > 0) share = std::max(share, part.memory_gb / total.memory_gb);
  return share;
}

Use use_of(const core::Assignment& assignment) {
  if (assignment.stop || assignment.orphaned) return Use::stopping;
  return assignment.running_since ? Use::running : Use::fetching;
}

Shares shares_of(const core::Machine& machine) {
  Shares out{};
  const auto single_use = [&](Use use) {
    out[static_cast<std::size_t>(use)] = 1;
    return out;
  };
  if (!machine.up()) return single_use(Use::booting);
  if (machine.tasks.empty())
    return single_use(machine.reserved_for.empty() ? Use::empty : Use::reserved);
  double sum = 0;
  for (const auto& [key, assignment] : machine.tasks) {
    const auto share = share_of(assignment.resources, machine.capacity);
    out[static_cast<std::size_t>(use_of(assignment))] += share;
    sum += share;
  }
  // Tasks may have their largest shares in different resources, so the sum of these shares may
  // exceed the used share of the machine. It is scaled to the used share.
  const auto used = std::min(1.0, share_of(machine.used, machine.capacity));
  if (sum > 0)
    for (auto& share : out) share *= used / sum;
  out[static_cast<std::size_t>(Use::unused_capacity)] = 1 - (sum > 0 ? used : 0);
  return out;
}

}  // namespace

void CostBreakdown::sample(const core::Fleet& fleet, core::TimePoint now) {
  const auto since = last_ ? core::Seconds(now - *last_) : core::Seconds(0);
  last_ = now;
  if (since <= core::Seconds(0)) return;
  const double hours = std::chrono::duration<double, std::ratio<3600>>(since).count();
  for (const auto& [id, machine] : fleet.all()) {
    const auto shares = shares_of(machine);
    for (std::size_t use = 0; use < kUseCount; ++use)
      cost_by_use_[use] += shares[use] * machine.price * hours;
  }
}

double CostBreakdown::total_cost() const {
  return std::accumulate(cost_by_use_.begin(), cost_by_use_.end(), 0.0);
}

std::string CostBreakdown::text() const {
  static constexpr std::array<const char*, kUseCount> kNames{
      "running", "fetching", "stopping", "free beside work", "empty", "reserved", "booting"};
  std::ostringstream out;
  const auto total = total_cost();
  out << std::fixed << std::setprecision(2) << "spent " << total;
  for (std::size_t use = 0; use < kUseCount && total > 0; ++use)
    out << (use == 0 ? ": " : ", ") << kNames[use] << " " << std::setprecision(1)
        << cost_by_use_[use] / total * 100 << "%";
  return out.str();
}

}  // namespace violetpulley::diagnostics
