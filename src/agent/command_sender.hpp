// Commands straight to the workers: one client per machine, kept while it is among the last used.
// The sockets of a controller are limited, and a large fleet's reports already take one a machine:
// whatever a burst of orders opens beyond the bound is closed again as the answers come.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "core/model/actions.hpp"
#include "net/http_client.hpp"

namespace violetpulley::agent {

class CommandSender {
 public:
  // No report: no answer, or nonsense.
  using Answered = std::function<void(const core::MachineId&, const core::Heartbeat*)>;

  CommandSender(asio::io_context& io, core::FencingToken token, std::size_t max_connections,
                Answered answered)
      : io_(io), token_(token), max_connections_(max_connections), answered_(std::move(answered)) {}

  void send(const core::SendCommands& batch);
  void drop(const core::MachineId& machine);
  // At least one.
  void set_max_connections(std::size_t most) { max_connections_ = std::max<std::size_t>(1, most); }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::string endpoint;
    std::unique_ptr<net::HttpClient> client;
    std::uint64_t used = 0;  // the larger, the later
  };
  void answered(const core::MachineId& machine, const std::optional<net::Response>& response);
  // Closes the idle lines that were used longest ago until `most` are left, busy ones counted.
  void close_down_to(std::size_t most);
  void erase(const core::MachineId& machine);
  asio::io_context& io_;
  core::FencingToken token_;
  std::size_t max_connections_;
  std::uint64_t sends_ = 0;
  Answered answered_;
  std::map<core::MachineId, Connection> connections_;
  std::set<std::pair<std::uint64_t, core::MachineId>> idle_;  // lines by their last use
};

}  // namespace violetpulley::agent
