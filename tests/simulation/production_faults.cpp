#include "simulation/production_faults.hpp"

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

// Probabilities per step.
constexpr double kStoreAndPeerPartitionChance = 0.0015;
// Probabilities per step and machine.
constexpr double kInboundPartitionChance = 0.0004;
constexpr double kRestartChance = 0.0002;
// Probabilities per restart.
constexpr double kEpochGrowsChance = 0.7;
constexpr double kEndpointChangesChance = 0.5;

}  // namespace

void ProductionFaults::step() {
  const auto now = environment_.now();
  if (leaders_.has_single_leader() &&
      environment_.optional_fault_chance(kStoreAndPeerPartitionChance))
    partition_leader_from_store_and_peers();
  for (auto& [id, agent] : fleet_.all()) {
    if (!agent.up(now)) continue;
    if (environment_.optional_fault_chance(kInboundPartitionChance))
      agent.inbound_partition_until = now + to_duration(environment_.optional_fault_seconds(2, 60));
    if (environment_.optional_fault_chance(kRestartChance)) restart(agent);
  }
}

// Partitions the leader from the state service and its peers; the leader still reaches all agents.
void ProductionFaults::partition_leader_from_store_and_peers() {
  ++store_and_peer_partitions_;
  leaders_.partition_leader().reaches_all_agents = true;
  set_follows_former_leader(true);
  leaders_.end_leader();
  const auto length = environment_.optional_fault_seconds(2, 2 * kAgentTimes.cancel.count());
  environment_.after(length, [this] {
    leaders_.end_former();
    set_follows_former_leader(false);
  });
}

void ProductionFaults::set_follows_former_leader(bool follows) {
  for (auto& [id, agent] : fleet_.all()) agent.follows_former_leader = follows;
}

// Restarts a machine within a second. Its tasks are lost, its endpoint may change, and its epoch
// may stay the same.
void ProductionFaults::restart(SimulatedAgent& agent) {
  ++machine_restarts_;
  ++agent.restarts;
  agent.tasks.clear();
  agent.images.clear();
  if (environment_.optional_fault_chance(kEpochGrowsChance)) ++agent.epoch;
  if (environment_.optional_fault_chance(kEndpointChangesChance)) ++agent.endpoint_number;
  agent.next_heartbeat =
      environment_.now() + to_duration(environment_.optional_fault_seconds(0.05, 0.9));
}

}  // namespace violetpulley::core::simulated
