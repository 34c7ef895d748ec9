/// @file
/// A fleet of thousands of machines, with what the small simulation (world.hpp) leaves out and what
/// a burst of connections consists of: sockets of each controller, counted in and out, refusals
/// when they are gone, an agent's one heartbeat connection with its timeout of 4 s, the next
/// controller after 1 s, redirections, and a processor that falls behind. Controllers end, machines
/// die, and `ran_twice` is checked at every start. Owns all parts of the simulation.
#pragma once

#include "simulation/fleet_heartbeats.hpp"

namespace violetpulley::core::fleet_simulation {

/// Which controllers end.
enum class EndedNodes { leader, all };

/// One simulated fleet.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetConfig config, std::uint64_t seed = 1);

  /// Lets the fleet run for that long, or until a rule is broken.
  void run(Seconds length);
  /// The leader's process ends; the next controller wins the key a little later. With
  /// `EndedNodes::all` the others end too, and come back after three seconds.
  void end_leader(EndedNodes ended = EndedNodes::leader);
  /// So many machines die.
  void kill_machines(std::size_t count);
  /// So many machines hang for that long.
  void hang_machines(std::size_t count, Seconds length);
  /// From here on the cloud returns no machines.
  void take_cloud_down() { leader_.set_cloud_down(true); }
  /// The results so far.
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
