#include "agent/command_sender.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"

namespace violetpulley::agent {

namespace {
constexpr std::chrono::milliseconds kTimeout{2500};
// An empty list only asks: one that arrives after this does nothing, so it may be asked again soon.
constexpr std::chrono::milliseconds kAskTimeout{700};
// A request holds at most 64 KiB; what does not fit goes with the next one.
constexpr std::size_t kMaxCommands = 500;
}  // namespace

void CommandSender::erase(const core::MachineId& machine) {
  const auto found = connections_.find(machine);
  if (found == connections_.end()) return;
  idle_.erase({found->second.used, machine});
  connections_.erase(found);
}

// One closed line for each new one is not enough: after a takeover every machine is asked at once,
// all lines are busy, and what a burst opened stayed for ever. With as many lines as machines the
// workers' own connections found no room for longer than a lease (docs/incidents/lines.md).
void CommandSender::close_down_to(std::size_t most) {
  while (connections_.size() > most && !idle_.empty())
    erase(core::MachineId(idle_.begin()->second));
}

void CommandSender::send(const core::SendCommands& batch) {
  if (!connections_.contains(batch.machine)) close_down_to(max_connections_ - 1);
  auto& connection = connections_[batch.machine];
  idle_.erase({connection.used, batch.machine});
  connection.used = ++sends_;
  if (!connection.client || connection.endpoint != batch.endpoint) {
    try {
      connection.client =
          std::make_unique<net::HttpClient>(io_, net::parse_endpoint(batch.endpoint), 1, 1 << 20);
      connection.endpoint = batch.endpoint;
    } catch (const std::invalid_argument& problem) {
      spdlog::warn("machine {}: {}", batch.machine, problem.what());
      erase(batch.machine);
      asio::post(io_, [answered = answered_, id = batch.machine] { answered(id, nullptr); });
      return;
    }
  }
  auto commands = batch.commands;
  if (commands.size() > kMaxCommands) commands.resize(kMaxCommands);
  connection.client->request(
      {"POST", "/orders", commands_body(token_, batch.epoch, commands)},
      commands.empty() ? kAskTimeout : kTimeout,
      [this, id = batch.machine](const std::optional<net::Response>& response) {
        answered(id, response);
      });
}

void CommandSender::answered(const core::MachineId& id,
                             const std::optional<net::Response>& response) {
  if (const auto connection = connections_.find(id);
      connection != connections_.end() && connection->second.client->idle())
    idle_.insert({connection->second.used, id});
  close_down_to(max_connections_);
  if (!response || (response->status != 200 && response->status != 409)) {
    spdlog::debug("machine {}: orders not answered", id);
    return answered_(id, nullptr);
  }
  try {
    const auto heartbeat = parse_heartbeat(response->body);
    if (heartbeat.machine != id) {
      spdlog::warn("machine {}: {} answers at its endpoint, which proves nothing of it", id,
                   heartbeat.machine);
      return answered_(id, nullptr);
    }
    answered_(id, &heartbeat);
  } catch (const std::exception& problem) {
    spdlog::warn("machine {} answered nonsense: {}", id, problem.what());
    answered_(id, nullptr);
  }
}

void CommandSender::drop(const core::MachineId& machine) { erase(machine); }

}  // namespace violetpulley::agent
