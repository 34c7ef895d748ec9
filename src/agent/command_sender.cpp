#include "agent/command_sender.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"
#include "net/http_status.hpp"

namespace violetpulley::agent {

namespace {

/// Wire name: the path of an agent that takes commands.
const std::string kCommandsPath = "/orders";
constexpr std::chrono::milliseconds kTimeout{2500};
/// An empty batch only asks for a heartbeat: a batch that arrives after this does nothing, so the
/// question may be repeated soon.
constexpr std::chrono::milliseconds kEmptyBatchTimeout{700};
/// A request holds at most 64 KiB; commands that do not fit go with the next request.
constexpr std::size_t kMaxCommandsPerRequest = 500;
constexpr std::size_t kMaxResponseBytes = 1 << 20;

}  // namespace

void CommandSender::erase(const core::MachineId& machine) {
  const auto found = connections_.find(machine);
  if (found == connections_.end()) return;
  idle_.erase({found->second.last_batch, machine});
  connections_.erase(found);
}

// Closing one connection for each new one is not enough: after a failover all machines get commands
// at once, all connections are busy, and connections opened by a burst remained for ever. With as
// many connections as machines the agents' own connections were refused for longer than a lease
// (docs/incidents/lines.md).
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
    spdlog::warn("machine {}: {}", batch.machine, problem.what());
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
      {"POST", kCommandsPath, commands_body(token_, batch.epoch, commands)},
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
  // With a conflict the agent refuses the commands, and answers with its heartbeat.
  if (!response ||
      (response->status != net::kStatusOk && response->status != net::kStatusConflict)) {
    spdlog::debug("machine {}: commands not answered", machine);
    return std::nullopt;
  }
  try {
    auto heartbeat = parse_heartbeat(response->body);
    if (heartbeat.machine == machine) return heartbeat;
    spdlog::warn("machine {}: {} answers at its endpoint, which proves nothing of it", machine,
                 heartbeat.machine);
  } catch (const DecodeError& problem) {
    spdlog::warn("machine {}: malformed answer: {}", machine, problem.what());
  }
  return std::nullopt;
}

}  // namespace violetpulley::agent
