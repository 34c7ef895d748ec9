/// @file
/// The machines of a fleet simulation and the agents on them. Owns the agents and their tasks.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "simulation/fleet_nodes.hpp"

namespace violetpulley::core::fleet_simulation {

/// An attempt of a task on a machine.
struct AgentTask {
  Attempt attempt = 0;
  TimePoint ends_at{};
  bool exited = false;
};

/// A machine and its agent.
struct FleetAgent {
  MachineId id;
  std::string zone;
  bool dead = false;
  TimePoint hangs_until{};
  std::uint64_t epoch = 1;
  std::uint64_t heartbeat_sequence = 0;
  FencingToken token = 0;
  std::size_t node = 0;                   ///< the controller of its heartbeats
  bool connected = false;                 ///< to that controller
  std::uint64_t heartbeat_in_flight = 0;  ///< number of the heartbeat that is not answered; 0: none
  TimePoint next_heartbeat{};
  TimePoint lease_renewed{};  ///< sending time of the newest heartbeat that was answered
  std::map<TaskKey, AgentTask> tasks;

  /// Whether the machine is dead or hangs.
  bool silent(TimePoint now) const { return dead || now < hangs_until; }
  Heartbeat make_heartbeat();
};

/// All machines.
class FleetAgents {
 public:
  FleetAgents(FleetEnvironment& environment, FleetNodes& nodes, const FleetConfig& config,
              FleetResult& result);

  std::deque<FleetAgent>& all() { return agents_; }
  FleetAgent& at(const MachineId& id) { return agents_[index_.at(id)]; }
  /// Zones of the fleet.
  static const std::vector<std::string>& zones();

  /// One step of the agent. True if its next heartbeat is due.
  bool step(FleetAgent& agent);
  /// Carries a command out; a second live attempt of a task fails the test.
  void execute(FleetAgent& agent, const Command& command);
  /// The machine dies, with its tasks.
  void kill(FleetAgent& agent);
  /// Closes the connection of the agent's heartbeats.
  void disconnect(FleetAgent& agent);
  /// The agent tries the next controller after a second.
  void move_to_next_node(FleetAgent& agent);
  /// The controller has ended, and its connections with it.
  void disconnect_agents_of(std::size_t node);

 private:
  void start(FleetAgent& agent, const Command& command);
  void expect_not_live_elsewhere(const FleetAgent& agent, const TaskKey& key);
  void enforce_lease(FleetAgent& agent);

  FleetEnvironment& environment_;
  FleetNodes& nodes_;
  const FleetConfig& config_;
  FleetResult& result_;
  std::deque<FleetAgent> agents_;  // callbacks hold references
  std::unordered_map<MachineId, std::size_t> index_;
  std::map<TaskKey, MachineId> started_on_;  // last machine of each task
};

}  // namespace violetpulley::core::fleet_simulation
