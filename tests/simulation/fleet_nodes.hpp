/// @file
/// The controllers' sockets and processors in a fleet simulation. Owns the connections' counts.
#pragma once

#include <map>
#include <vector>

#include "simulation/fleet_config.hpp"
#include "simulation/fleet_environment.hpp"

namespace violetpulley::core::fleet_simulation {

/// A connection from the leader to an agent.
struct CommandConnection {
  std::uint64_t last_used = 0;  ///< number of the last command batch
  bool busy = false;            ///< a command batch is unanswered
};

/// One controller.
struct Node {
  bool up = true;
  std::size_t heartbeat_connections = 0;  ///< opened by agents
  std::map<MachineId, CommandConnection> command_connections;
  TimePoint busy_until{};  ///< of the processor

  /// Sockets in use.
  std::size_t sockets() const;
};

/// All controllers; one of them leads or is to lead.
class FleetNodes {
 public:
  FleetNodes(const FleetConfig& config, FleetResult& result)
      : config_(config), result_(result), nodes_(config.nodes) {}

  std::size_t size() const { return nodes_.size(); }
  Node& at(std::size_t index) { return nodes_[index]; }
  Node& leading() { return nodes_[leading_]; }
  std::size_t leading_index() const { return leading_; }
  /// The controller after that one.
  std::size_t next(std::size_t index) const { return (index + 1) % nodes_.size(); }
  /// The controller leads from now on.
  void lead(std::size_t index);
  /// Ends the process, with all of its connections.
  void end(std::size_t index);

  /// Whether a connection more can be opened; a refusal is counted.
  bool admit_connection(std::size_t index);
  /// Counts the sockets in use.
  void update_peak_sockets(std::size_t index);
  /// Opens a command connection of the leader or uses the open one. False: no socket is left.
  bool acquire_command_connection(const MachineId& id, std::size_t max_connections);
  /// A command batch was answered or was given up.
  void release_command_connection(const MachineId& id, std::size_t max_connections);

 private:
  /// Closes the least recently used idle connections beyond the limit, as agent::CommandSender
  /// does.
  void close_command_connections(std::size_t max_connections);

  const FleetConfig& config_;
  FleetResult& result_;
  std::vector<Node> nodes_;
  std::size_t leading_ = 0;
  std::uint64_t batches_ = 0;
};

}  // namespace violetpulley::core::fleet_simulation
