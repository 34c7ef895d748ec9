#include "simulation/fleet_nodes.hpp"

#include <algorithm>

namespace violetpulley::core::fleet_simulation {
namespace {

constexpr std::size_t kOtherSockets = 40;  // connections to the store, to peers and from users

}  // namespace

std::size_t Node::sockets() const {
  return heartbeat_connections + command_connections.size() + kOtherSockets;
}

void FleetNodes::lead(std::size_t index) {
  leading_ = index;
  nodes_[index].up = true;
}

void FleetNodes::end(std::size_t index) {
  nodes_[index] = {};
  nodes_[index].up = false;
}

bool FleetNodes::admit_connection(std::size_t index) {
  if (nodes_[index].sockets() < config_.sockets_per_node) return true;
  ++result_.refused_connections;
  return false;
}

void FleetNodes::update_peak_sockets(std::size_t index) {
  result_.peak_sockets = std::max(result_.peak_sockets, nodes_[index].sockets());
}

bool FleetNodes::acquire_command_connection(const MachineId& id, std::size_t max_connections) {
  auto& connections = leading().command_connections;
  if (!connections.contains(id)) {
    close_command_connections(max_connections - 1);
    if (!admit_connection(leading_)) return false;
  }
  connections[id] = {++batches_, true};
  update_peak_sockets(leading_);
  return true;
}

void FleetNodes::release_command_connection(const MachineId& id, std::size_t max_connections) {
  auto& connections = leading().command_connections;
  const auto connection = connections.find(id);
  if (connection != connections.end()) connection->second.busy = false;
  close_command_connections(max_connections);
}

void FleetNodes::close_command_connections(std::size_t max_connections) {
  auto& connections = leading().command_connections;
  while (config_.closes_command_connections && connections.size() > max_connections) {
    auto oldest = connections.end();
    for (auto connection = connections.begin(); connection != connections.end(); ++connection) {
      if (connection->second.busy) continue;
      if (oldest == connections.end() || connection->second.last_used < oldest->second.last_used)
        oldest = connection;
    }
    if (oldest == connections.end()) return;
    connections.erase(oldest);
  }
}

}  // namespace violetpulley::core::fleet_simulation
