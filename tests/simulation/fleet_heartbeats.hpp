/// @file
/// Heartbeats from the agents to the leader of a fleet simulation: connections, refusals,
/// redirections and timeouts. Owns the number of heartbeats sent.
#pragma once

#include "simulation/fleet_leader.hpp"

namespace violetpulley::core::fleet_simulation {

/// Delivers heartbeats and applies the responses.
class FleetHeartbeats {
 public:
  FleetHeartbeats(FleetEnvironment& environment, FleetNodes& nodes, FleetAgents& agents,
                  FleetLeader& leader)
      : environment_(environment), nodes_(nodes), agents_(agents), leader_(leader) {}

  /// Sends the agent's heartbeat to the controller that it follows.
  void send(FleetAgent& agent);

 private:
  /// Opens the heartbeat connection. Returns false if the controller is down or out of sockets.
  bool connect(FleetAgent& agent);
  /// Handles the response of a controller that does not lead: the agent follows the redirection to
  /// the leader, or tries the next controller if no leader is known.
  void redirect(FleetAgent& agent);
  void receive(FleetAgent& agent, std::uint64_t number, TimePoint sent, const Heartbeat& heartbeat);
  /// Brings the next heartbeat forward because the agent has seen a higher token.
  void report_token(FleetAgent& agent) const;
  void time_out(FleetAgent& agent, std::uint64_t number);

  FleetEnvironment& environment_;
  FleetNodes& nodes_;
  FleetAgents& agents_;
  FleetLeader& leader_;
  std::uint64_t heartbeats_ = 0;
};

}  // namespace violetpulley::core::fleet_simulation
