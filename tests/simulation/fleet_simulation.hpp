/// @file
/// Simulation of a fleet of thousands of machines, for bursts of connections after failovers.
/// Unlike the simulated world (world.hpp), it models the sockets of each controller with refusals
/// when none is free, one heartbeat connection per agent with a timeout of 4 s, a switch to the
/// next controller after 1 s, redirections, and a processor that can fall behind. Controllers end,
/// machines die, and the rule `ran_twice` is checked at every start of a task. Owns all parts of
/// the simulation.
#pragma once

#include "simulation/fleet_heartbeats.hpp"

namespace violetpulley::core::fleet_simulation {

/// Which controllers' processes end.
enum class EndedNodes { leader, all };

/// One simulated fleet.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetConfig config, std::uint64_t seed = 1);

  /// Runs the simulation for `length`, or until a check fails.
  void run(Seconds length);
  /// Ends the leader's process; the next controller is elected after `kElectionTime`. With
  /// `EndedNodes::all`, all controllers end and restart after `kRestartTime`, 3 s, and the election
  /// follows after `kElectionTimeAfterRestart`.
  void end_leader(EndedNodes ended = EndedNodes::leader);
  /// Kills `count` machines, spread over the fleet.
  void kill_machines(std::size_t count);
  /// Makes `count` machines, spread over the fleet, hang for `length`.
  void hang_machines(std::size_t count, Seconds length);
  /// Makes the cloud fail all further requests to return machines.
  void take_cloud_down() { leader_.set_cloud_down(true); }
  /// Returns the results so far.
  FleetResult result();

 private:
  void step();
  void end_node(std::size_t index);

  FleetConfig config_;
  FleetResult result_;
  FleetEnvironment environment_;
  FleetNodes nodes_{config_, result_};
  FleetAgents agents_{environment_, nodes_, config_, result_};
  FleetLeader leader_{environment_, nodes_, agents_, config_, result_};
  FleetHeartbeats heartbeats_{environment_, nodes_, agents_, leader_};
};

}  // namespace violetpulley::core::fleet_simulation
