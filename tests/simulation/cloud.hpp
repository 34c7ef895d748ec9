/// @file
/// The cloud of a simulated world: boots and returns machines. Owns the names of the requests.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Answers requests for machines, in part, late, with refusals, or not at all.
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
