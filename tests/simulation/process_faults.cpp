#include "simulation/process_faults.hpp"

namespace violetpulley::core::simulated {
namespace {

// Probabilities per step.
constexpr double kLeaderCrashChance = 0.0015;
constexpr double kLeaderPartitionChance = 0.0008;
// Probabilities per step and machine.
constexpr double kHangChance = 0.0002;
constexpr double kTerminationChance = 0.0001;
constexpr double kFaultyMachineChance = 0.0001;
constexpr double kSpotNoticeChance = 0.0003;

constexpr double kReachableAgentChance = 0.5;  // that a partitioned leader reaches the agent
constexpr std::size_t kMinMachinesWithoutLeader = 2;

}  // namespace

void ProcessFaults::step() {
  if (leaders_.current() != nullptr && environment_.chance(kLeaderCrashChance))
    leaders_.end_leader();
  if (leaders_.has_single_leader() && environment_.chance(kLeaderPartitionChance))
    partition_leader();
  for (auto& [id, agent] : fleet_.all()) inject_machine_faults(agent);
  const auto machines = fleet_.all().size();
  if (machines == 0 || (leaders_.current() == nullptr && machines < kMinMachinesWithoutLeader))
    fleet_.boot("small", "a", true, environment_.now());
}

// Partitions the leader from the store and some of the agents. The leader keeps running until
// `end_former`.
void ProcessFaults::partition_leader() {
  leaders_.save_learned_state();
  auto& former = leaders_.partition_leader();
  for (const auto& [id, agent] : fleet_.all())
    if (environment_.chance(kReachableAgentChance)) former.reachable_agents.insert(id);
  leaders_.end_leader();
  environment_.after(environment_.uniform_seconds(5, 45), [this] { leaders_.end_former(); });
}

void ProcessFaults::inject_machine_faults(SimulatedAgent& agent) {
  const auto now = environment_.now();
  if (environment_.chance(kHangChance))
    agent.hangs_until = now + to_duration(environment_.uniform_seconds(1, 40));
  if (environment_.chance(kTerminationChance)) agent.terminate();
  if (environment_.chance(kFaultyMachineChance)) agent.faulty = true;
  if (agent.spot && !agent.reclaimed_at && environment_.chance(kSpotNoticeChance))
    agent.reclaimed_at = now + to_duration(environment_.uniform_seconds(4, 12));
}

}  // namespace violetpulley::core::simulated
