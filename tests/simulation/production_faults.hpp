/// @file
/// Faults that operators met later: leaders that lose the store and their peers and no agent,
/// inbound partitions of machines, machines that are back within a fraction of a second. Owns the
/// counts of these faults.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Injects the operators' faults.
class ProductionFaults {
 public:
  ProductionFaults(Environment& environment, Leaders& leaders, AgentFleet& fleet)
      : environment_(environment), leaders_(leaders), fleet_(fleet) {}

  /// One step: each fault begins with its probability.
  void step();

  /// Machines that were back at once, without their tasks.
  std::size_t machine_restarts() const { return machine_restarts_; }
  /// Leaders that lost the store and their peers and no agent.
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
