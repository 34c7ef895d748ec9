/// @file
/// The way of heartbeats from the agents to the leader in a fleet simulation: connections,
/// refusals, redirections and timeouts. Owns the number of the last heartbeat.
#pragma once

#include "simulation/fleet_leader.hpp"

namespace violetpulley::core::fleet_simulation {

/// Sends heartbeats.
class FleetHeartbeats {
 public:
  FleetHeartbeats(FleetEnvironment& environment, FleetNodes& nodes, FleetAgents& agents,
                  FleetLeader& leader)
      : environment_(environment), nodes_(nodes), agents_(agents), leader_(leader) {}

  /// Sends the agent's heartbeat to the controller that it follows.
  void send(FleetAgent& agent);

 private:
  /// False if the controller is down or has no socket left.
  bool connect(FleetAgent& agent);
  /// The controller does not lead: it names the leader, or the agent tries the next controller.
  void redirect(FleetAgent& agent);
  void receive(FleetAgent& agent, std::uint64_t number, TimePoint sent, const Heartbeat& heartbeat);
  void time_out(FleetAgent& agent, std::uint64_t number);

  FleetEnvironment& environment_;
  FleetNodes& nodes_;
  FleetAgents& agents_;
  FleetLeader& leader_;
  std::uint64_t heartbeats_ = 0;
};

}  // namespace violetpulley::core::fleet_simulation
