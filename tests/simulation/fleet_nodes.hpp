/// @file
/// Sockets and processors of the controllers in a fleet simulation. Owns the counts of open
/// connections and the command connections.
#pragma once

#include <map>
#include <vector>

#include "simulation/fleet_config.hpp"
#include "simulation/fleet_environment.hpp"

namespace violetpulley::core::fleet_simulation {

/// A connection from the leader to an agent.
struct CommandConnection {
  std::uint64_t last_used = 0;  ///< number of the latest command batch on it
  bool busy = false;            ///< a command batch is unanswered
};

/// One controller.
struct Node {
  bool up = true;
  std::size_t heartbeat_connections = 0;  ///< opened by agents
  std::map<MachineId, CommandConnection> command_connections;
  TimePoint busy_until{};  ///< when the processor has handled all queued events

  /// Sockets in use.
  std::size_t sockets() const;
};

/// All controllers. One of them leads, or is the next to lead.
class FleetNodes {
 public:
  FleetNodes(const FleetConfig& config, FleetResult& result)
      : config_(config), result_(result), nodes_(config.nodes) {}

  std::size_t size() const { return nodes_.size(); }
  Node& at(std::size_t index) { return nodes_[index]; }
  Node& leading() { return nodes_[leading_]; }
  std::size_t leading_index() const { return leading_; }
  /// Index of the next controller, in a ring.
  std::size_t next(std::size_t index) const { return (index + 1) % nodes_.size(); }
  /// Makes a controller the leader.
  void lead(std::size_t index);
  /// Ends a controller's process and closes all of its connections.
  void end(std::size_t index);

  /// Whether the controller has a free socket for one more connection. Counts refusals.
  bool admit_connection(std::size_t index);
  /// Updates the peak of the sockets in use.
  void update_peak_sockets(std::size_t index);
  /// Opens a command connection from the leader to the machine, or reuses the open one. Returns
  /// false if no socket is left.
  bool acquire_command_connection(const MachineId& id, std::size_t max_connections);
  /// Marks the connection as idle after the command batch was answered or has timed out.
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
