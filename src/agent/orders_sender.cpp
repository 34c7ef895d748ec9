#include "agent/orders_sender.hpp"

#include <spdlog/spdlog.h>

#include "agent/agent_codec.hpp"

namespace violetpulley::agent {

namespace {
constexpr std::chrono::milliseconds kTimeout{2500};
// A request holds at most 64 KiB; what does not fit goes with the next one.
constexpr std::size_t kMostCommands = 500;
}  // namespace

// Closes the idle line that was used longest ago.
void OrdersSender::make_room() {
  auto oldest = lines_.end();
  for (auto line = lines_.begin(); line != lines_.end(); ++line)
    if (line->second.client->idle() &&
        (oldest == lines_.end() || line->second.used < oldest->second.used))
      oldest = line;
  if (oldest != lines_.end()) lines_.erase(oldest);
}

void OrdersSender::send(const core::SendOrders& orders) {
  if (lines_.size() >= most_lines_ && !lines_.contains(orders.machine)) make_room();
  auto& line = lines_[orders.machine];
  line.used = ++sends_;
  if (!line.client || line.endpoint != orders.endpoint) {
    try {
      line.client =
          std::make_unique<net::HttpClient>(io_, net::parse_endpoint(orders.endpoint), 1, 1 << 20);
      line.endpoint = orders.endpoint;
    } catch (const std::invalid_argument& problem) {
      spdlog::warn("machine {}: {}", orders.machine, problem.what());
      lines_.erase(orders.machine);
      asio::post(io_, [answered = answered_, id = orders.machine] { answered(id, nullptr); });
      return;
    }
  }
  auto commands = orders.commands;
  if (commands.size() > kMostCommands) commands.resize(kMostCommands);
  line.client->request({"POST", "/orders", orders_body(token_, orders.session, commands)}, kTimeout,
                       [this, id = orders.machine](std::optional<net::Response> response) {
                         if (!response || (response->status != 200 && response->status != 409)) {
                           spdlog::debug("machine {}: orders not answered", id);
                           return answered_(id, nullptr);
                         }
                         try {
                           const auto report = parse_report(response->body);
                           answered_(id, &report);
                         } catch (const std::exception& problem) {
                           spdlog::warn("machine {} answered nonsense: {}", id, problem.what());
                           answered_(id, nullptr);
                         }
                       });
}

void OrdersSender::drop(const core::MachineId& machine) { lines_.erase(machine); }

}  // namespace violetpulley::agent
