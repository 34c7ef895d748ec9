/// @file
/// The cloud of a simulated world: boots machines and takes returned ones back. Owns the set of
/// names of the scale-out requests.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Answers scale-out and scale-in requests. Faults: no capacity, half of the machines, very slow
/// boots, lost answers.
class Cloud {
 public:
  Cloud(Environment& environment, AgentFleet& fleet, Leaders& leaders)
      : environment_(environment), fleet_(fleet), leaders_(leaders) {}

  void execute(FencingToken token, const ScaleOut& request);
  void execute(const LeaderProcess& leader, const ScaleIn& request);

 private:
  ScaleOutResult boot_machines(const ScaleOut& request);
  bool draw_fault(double probability);

  Environment& environment_;
  AgentFleet& fleet_;
  Leaders& leaders_;
  std::set<std::string> request_names_;
};

}  // namespace violetpulley::core::simulated
