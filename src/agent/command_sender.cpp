#include "agent/command_sender.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"
#include "net/http_status.hpp"

namespace violetpulley::agent {

namespace {

/// Wire name: the path at which an agent accepts commands.
const std::string kCommandsPath = "/orders";
constexpr std::chrono::milliseconds kTimeout{2500};
/// Timeout of an empty batch, which only asks for a heartbeat. It may be short, because a late
/// empty batch has no effect on the agent.
constexpr std::chrono::milliseconds kEmptyBatchTimeout{700};
/// Keeps a request below the limit of 64 KiB; further commands go into a later request.
constexpr std::size_t kMaxCommandsPerRequest = 500;
constexpr std::size_t kMaxResponseBytes = 1 << 20;

}  // namespace

void CommandSender::erase(const core::MachineId& machine) {
  const auto found = connections_.find(machine);
  if (found == connections_.end()) return;
  idle_.erase({found->second.last_batch, machine});
  connections_.erase(found);
}

// Closing one idle connection for each new one is not enough: after a failover all machines get
// commands at once, so no connection is idle, and the connections of the burst would stay open.
// With one such connection per machine, the agents' own connections were refused for longer than a
// lease (docs/incidents/lines.md).
void CommandSender::close_idle_beyond(std::size_t max_open) {
  while (connections_.size() > max_open && !idle_.empty())
    erase(core::MachineId(idle_.begin()->machine));
}

bool CommandSender::connect(Connection& connection, const core::SendCommands& batch) {
  if (connection.client && connection.endpoint == batch.endpoint) return true;
  try {
    connection.client = std::make_unique<net::HttpClient>(io_, net::parse_endpoint(batch.endpoint),
                                                          1, kMaxResponseBytes);
    connection.endpoint = batch.endpoint;
    return true;
  } catch (const std::invalid_argument& problem) {
    spdlog::warn("machine {}: no commands sent, invalid endpoint: {}", batch.machine,
                 problem.what());
    return false;
  }
}

void CommandSender::send(const core::SendCommands& batch) {
  if (!connections_.contains(batch.machine)) close_idle_beyond(max_connections_ - 1);
  auto& connection = connections_[batch.machine];
  idle_.erase({connection.last_batch, batch.machine});
  connection.last_batch = ++batches_sent_;
  if (!connect(connection, batch)) {
    erase(batch.machine);
    asio::post(io_, [on_answer = on_answer_, id = batch.machine] { on_answer(id, nullptr); });
    return;
  }
  auto commands = batch.commands;
  if (commands.size() > kMaxCommandsPerRequest) commands.resize(kMaxCommandsPerRequest);
  connection.client->request(
      {"POST", kCommandsPath,
       commands_body(std::max(token_, batch.raised_token), batch.epoch, commands)},
      commands.empty() ? kEmptyBatchTimeout : kTimeout,
      [this, id = batch.machine](const std::optional<net::Response>& response) {
        handle_response(id, response);
      });
}

void CommandSender::handle_response(const core::MachineId& machine,
                                    const std::optional<net::Response>& response) {
  const auto connection = connections_.find(machine);
  if (connection != connections_.end() && connection->second.client->idle())
    idle_.insert({connection->second.last_batch, machine});
  close_idle_beyond(max_connections_);
  const auto heartbeat = decode_answer(machine, response);
  on_answer_(machine, heartbeat ? &*heartbeat : nullptr);
}

std::optional<core::Heartbeat> CommandSender::decode_answer(
    const core::MachineId& machine, const std::optional<net::Response>& response) const {
  // 409: the agent refuses the commands and responds with its heartbeat.
  if (!response ||
      (response->status != net::kStatusOk && response->status != net::kStatusConflict)) {
    spdlog::debug("machine {}: no usable response to commands", machine);
    return std::nullopt;
  }
  try {
    auto heartbeat = parse_heartbeat(response->body);
    if (heartbeat.machine == machine) return heartbeat;
    spdlog::warn("machine {}: answer ignored, machine {} now uses the endpoint", machine,
                 heartbeat.machine);
  } catch (const DecodeError& problem) {
    spdlog::warn("machine {}: malformed answer to commands ignored: {}", machine, problem.what());
  }
  return std::nullopt;
}

}  // namespace violetpulley::agent
