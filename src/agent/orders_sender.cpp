#include "agent/orders_sender.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"

namespace violetpulley::agent {

namespace {
constexpr std::chrono::milliseconds kTimeout{2500};
// An empty list only asks: one that arrives after this does nothing, so it may be asked again soon.
constexpr std::chrono::milliseconds kAskTimeout{700};
// A request holds at most 64 KiB; what does not fit goes with the next one.
constexpr std::size_t kMostCommands = 500;
}  // namespace

void CommandSender::erase(const core::MachineId& machine) {
  const auto found = lines_.find(machine);
  if (found == lines_.end()) return;
  idle_.erase({found->second.used, machine});
  lines_.erase(found);
}

// One closed line for each new one is not enough: after a takeover every machine is asked at once,
// all lines are busy, and what a burst opened stayed for ever. With as many lines as machines the
// workers' own connections found no room for longer than a lease (docs/incidents/lines.md).
void CommandSender::close_down_to(std::size_t most) {
  while (lines_.size() > most && !idle_.empty()) erase(core::MachineId(idle_.begin()->second));
}

void CommandSender::send(const core::SendCommands& orders) {
  if (!lines_.contains(orders.machine)) close_down_to(most_lines_ - 1);
  auto& line = lines_[orders.machine];
  idle_.erase({line.used, orders.machine});
  line.used = ++sends_;
  if (!line.client || line.endpoint != orders.endpoint) {
    try {
      line.client =
          std::make_unique<net::HttpClient>(io_, net::parse_endpoint(orders.endpoint), 1, 1 << 20);
      line.endpoint = orders.endpoint;
    } catch (const std::invalid_argument& problem) {
      spdlog::warn("machine {}: {}", orders.machine, problem.what());
      erase(orders.machine);
      asio::post(io_, [answered = answered_, id = orders.machine] { answered(id, nullptr); });
      return;
    }
  }
  auto commands = orders.commands;
  if (commands.size() > kMostCommands) commands.resize(kMostCommands);
  line.client->request({"POST", "/orders", commands_body(token_, orders.epoch, commands)},
                       commands.empty() ? kAskTimeout : kTimeout,
                       [this, id = orders.machine](const std::optional<net::Response>& response) {
                         answered(id, response);
                       });
}

void CommandSender::answered(const core::MachineId& id,
                             const std::optional<net::Response>& response) {
  if (const auto line = lines_.find(id); line != lines_.end() && line->second.client->idle())
    idle_.insert({line->second.used, id});
  close_down_to(most_lines_);
  if (!response || (response->status != 200 && response->status != 409)) {
    spdlog::debug("machine {}: orders not answered", id);
    return answered_(id, nullptr);
  }
  try {
    const auto report = parse_heartbeat(response->body);
    if (report.machine != id) {
      spdlog::warn("machine {}: {} answers at its endpoint, which proves nothing of it", id,
                   report.machine);
      return answered_(id, nullptr);
    }
    answered_(id, &report);
  } catch (const std::exception& problem) {
    spdlog::warn("machine {} answered nonsense: {}", id, problem.what());
    answered_(id, nullptr);
  }
}

void CommandSender::drop(const core::MachineId& machine) { erase(machine); }

}  // namespace violetpulley::agent
