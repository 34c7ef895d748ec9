/// @file
/// The machines of a fleet simulation and their agents. Owns the agents and the tasks on them.
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
  TimePoint token_reported{};             ///< when a higher token last caused a heartbeat
  std::size_t node = 0;                   ///< index of the controller it sends heartbeats to
  bool connected = false;                 ///< to `node`
  std::uint64_t heartbeat_in_flight = 0;  ///< number of the heartbeat that is not answered; 0: none
  TimePoint next_heartbeat{};
  TimePoint lease_renewed{};  ///< sending time of the latest answered heartbeat
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

  /// Advances the agent by one step. Returns true if its next heartbeat is due.
  bool step(FleetAgent& agent);
  /// Executes a command. A second live attempt of a task fails the test.
  void execute(FleetAgent& agent, const Command& command);
  /// Records how many tasks a heartbeat lists.
  void record_list(std::size_t tasks);
  /// Marks the machine as dead and drops its tasks.
  void kill(FleetAgent& agent);
  /// Closes the agent's heartbeat connection.
  void disconnect(FleetAgent& agent);
  /// Makes the agent try the next controller after `kNextNodeDelay`.
  void move_to_next_node(FleetAgent& agent);
  /// Closes the heartbeat connections to a controller whose process has ended.
  void disconnect_agents_of(std::size_t node);

 private:
  void start(FleetAgent& agent, const Command& command);
  void expect_not_live_elsewhere(const FleetAgent& agent, const TaskKey& key);
  void enforce_lease(FleetAgent& agent);

  FleetEnvironment& environment_;
  FleetNodes& nodes_;
  const FleetConfig& config_;
  FleetResult& result_;
  std::deque<FleetAgent> agents_;  // a deque, since callbacks hold references
  std::unordered_map<MachineId, std::size_t> index_;
  std::map<TaskKey, MachineId> started_on_;  // machine of the latest attempt
};

}  // namespace violetpulley::core::fleet_simulation
