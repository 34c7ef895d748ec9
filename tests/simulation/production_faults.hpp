/// @file
/// Faults first seen in production: leaders that are partitioned from the store and their peers but
/// reach all agents, inbound partitions of machines, and machines that restart within a second.
/// Owns the counts of these faults.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Injects the faults first seen in production.
class ProductionFaults {
 public:
  ProductionFaults(Environment& environment, Leaders& leaders, AgentFleet& fleet)
      : environment_(environment), leaders_(leaders), fleet_(fleet) {}

  /// Advances by one step: each fault begins with its probability.
  void step();

  /// Number of machines that restarted at once and lost their tasks.
  std::size_t machine_restarts() const { return machine_restarts_; }
  /// Number of leaders that were partitioned from the store and their peers but reached all agents.
  std::size_t store_and_peer_partitions() const { return store_and_peer_partitions_; }

 private:
  void partition_leader_from_store_and_peers();
  void set_follows_former_leader(bool follows);
  void restart(SimulatedAgent& agent);

  Environment& environment_;
  Leaders& leaders_;
  AgentFleet& fleet_;
  std::size_t machine_restarts_ = 0;
  std::size_t store_and_peer_partitions_ = 0;
};

}  // namespace violetpulley::core::simulated
