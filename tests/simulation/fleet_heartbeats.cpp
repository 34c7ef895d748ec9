#include "simulation/fleet_heartbeats.hpp"

namespace violetpulley::core::fleet_simulation {
namespace {

constexpr Seconds kHeartbeatTimeout{4};
constexpr std::chrono::milliseconds kNewLeaderHeartbeatDelay{500};
constexpr double kMaxRedirectionDelay = 0.5;  // seconds
constexpr double kMinIntervalFactor = 0.75;   // of the heartbeat interval
constexpr double kMaxIntervalFactor = 1.25;

}  // namespace

void FleetHeartbeats::send(FleetAgent& agent) {
  if (!connect(agent)) return agents_.move_to_next_node(agent);
  const auto interval =
      kAgentTimes.heartbeat_interval * environment_.uniform(kMinIntervalFactor, kMaxIntervalFactor);
  agent.next_heartbeat = environment_.now() + to_duration(interval);
  if (agent.node != nodes_.leading_index() || !leader_.exists()) return redirect(agent);
  const auto number = agent.heartbeat_in_flight = ++heartbeats_;
  leader_.queue_event(
      [this, &agent, number, sent = environment_.now(), heartbeat = agent.make_heartbeat()] {
        receive(agent, number, sent, heartbeat);
      });
  environment_.after(kHeartbeatTimeout, [this, &agent, number] { time_out(agent, number); });
}

bool FleetHeartbeats::connect(FleetAgent& agent) {
  if (agent.connected) return true;
  auto& node = nodes_.at(agent.node);
  if (!node.up || !nodes_.admit_connection(agent.node)) return false;
  agent.connected = true;
  ++node.heartbeat_connections;
  nodes_.update_peak_sockets(agent.node);
  return true;
}

void FleetHeartbeats::redirect(FleetAgent& agent) {
  agents_.disconnect(agent);
  if (!leader_.exists() || agent.node == nodes_.leading_index())
    return agents_.move_to_next_node(agent);
  agent.node = nodes_.leading_index();
  agent.next_heartbeat =
      environment_.now() + to_duration(environment_.uniform_seconds(0, kMaxRedirectionDelay));
}

void FleetHeartbeats::receive(FleetAgent& agent, std::uint64_t number, TimePoint sent,
                              const Heartbeat& heartbeat) {
  auto& controller = leader_.controller();
  agents_.record_list(heartbeat.tasks.size());
  controller.heartbeat(heartbeat, environment_.now());
  if (agent.heartbeat_in_flight != number) return;
  const auto max_connections = controller.commands().shares().heartbeats;
  agent.heartbeat_in_flight = 0;
  if (nodes_.leading().heartbeat_connections > max_connections) agents_.disconnect(agent);
  const auto token = controller.response_token(agent.id);
  if (token < agent.token) return;
  if (token > agent.token) report_token(agent);
  agent.token = token;
  agent.lease_renewed = sent;
  if (agent.epoch != heartbeat.epoch) return;
  for (const auto& command : controller.response_commands(heartbeat))
    agents_.execute(agent, command);
}

// PROTOCOL: a higher token is a change that is reported soon, at most once per half lease.
void FleetHeartbeats::report_token(FleetAgent& agent) const {
  const auto now = environment_.now();
  if (now - agent.token_reported < to_duration(kAgentTimes.lease / 2)) return;
  agent.token_reported = now;
  agent.next_heartbeat = std::min(agent.next_heartbeat, now + kNewLeaderHeartbeatDelay);
}

void FleetHeartbeats::time_out(FleetAgent& agent, std::uint64_t number) {
  if (agent.heartbeat_in_flight != number) return;
  agents_.disconnect(agent);
  agents_.move_to_next_node(agent);
}

}  // namespace violetpulley::core::fleet_simulation
