#include "simulation/command_copies.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr double kCopyChance = 0.03;  // of each batch
constexpr double kMinCopyDelay = 1;   // seconds
constexpr double kMaxCopyDelayInLeases = 3;
constexpr double kBurstChance = 0.5;      // of each restart
constexpr double kBurstCopyChance = 0.5;  // of each recent batch, in a burst
constexpr double kMinBurstDelay = 0.05;   // seconds
constexpr double kMaxBurstDelay = 1.5;
constexpr std::size_t kRecentBatches = 16;  // of each machine

}  // namespace

void CommandCopies::carried_out(const SentBatch& sent) {
  if (sent.batch.commands.empty()) return;
  auto& recent = recent_[sent.batch.machine];
  recent.push_back(sent);
  if (recent.size() > kRecentBatches) recent.pop_front();
  if (environment_.command_copy_chance(kCopyChance))
    deliver_after(environment_.command_copy_seconds(
                      kMinCopyDelay, kMaxCopyDelayInLeases * kAgentTimes.lease.count()),
                  sent);
}

void CommandCopies::restarted(const MachineId& machine) {
  const auto recent = recent_.find(machine);
  if (recent == recent_.end() || !environment_.command_copy_chance(kBurstChance)) return;
  for (const auto& sent : recent->second)
    if (environment_.command_copy_chance(kBurstCopyChance))
      deliver_after(environment_.command_copy_seconds(kMinBurstDelay, kMaxBurstDelay), sent);
}

void CommandCopies::deliver_after(Seconds delay, const SentBatch& sent) {
  environment_.after(delay, [this, sent] {
    ++delivered_;
    deliver_(sent);
  });
}

}  // namespace violetpulley::core::simulated
