/// @file
/// The basic faults of every simulated world: leaders crash or are partitioned; machines hang, are
/// terminated, become faulty or are reclaimed. Stateless.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Injects the basic faults.
class ProcessFaults {
 public:
  ProcessFaults(Environment& environment, Leaders& leaders, AgentFleet& fleet)
      : environment_(environment), leaders_(leaders), fleet_(fleet) {}

  /// Advances by one step: each fault begins with its probability.
  void step();

 private:
  void partition_leader();
  void inject_machine_faults(SimulatedAgent& agent);

  Environment& environment_;
  Leaders& leaders_;
  AgentFleet& fleet_;
};

}  // namespace violetpulley::core::simulated
