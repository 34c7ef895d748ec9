/// @file
/// Sends commands to the agents over one connection per machine. The sockets of a controller are
/// limited, and the heartbeats of a large fleet already take one per machine: connections that a
/// burst of commands has opened beyond the bound are closed as the answers come. Owns the
/// connections.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "core/model/actions.hpp"
#include "net/http_client.hpp"

namespace violetpulley::agent {

class CommandSender {
 public:
  /// Called with the agent's answer; null heartbeat: no answer, a refusal, or a malformed answer.
  using AnswerHandler = std::function<void(const core::MachineId&, const core::Heartbeat*)>;

  CommandSender(asio::io_context& io, core::FencingToken token, std::size_t max_connections,
                AnswerHandler on_answer)
      : io_(io),
        token_(token),
        max_connections_(max_connections),
        on_answer_(std::move(on_answer)) {}

  /// Sends a command batch. Commands beyond what one request holds are left out: the core sends
  /// them again with a later batch.
  void send(const core::SendCommands& batch);
  /// Closes the connection to a machine that is gone; its answers are not awaited any more.
  void drop(const core::MachineId& machine) { erase(machine); }
  /// Bounds the open connections; at least one is kept.
  void set_max_connections(std::size_t max_connections) {
    max_connections_ = std::max<std::size_t>(1, max_connections);
  }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::string endpoint;
    std::unique_ptr<net::HttpClient> client;
    std::uint64_t last_batch = 0;  ///< Number of the last batch sent over it.
  };
  struct IdleConnection {
    std::uint64_t last_batch = 0;
    core::MachineId machine;
    auto operator<=>(const IdleConnection&) const = default;
  };

  /// Opens the connection anew if the machine's endpoint has changed; false if it is malformed.
  bool connect(Connection& connection, const core::SendCommands& batch);
  void handle_response(const core::MachineId& machine,
                       const std::optional<net::Response>& response);
  /// Decodes the answer of `machine`; null if the answer is no proof of that machine's state.
  std::optional<core::Heartbeat> decode_answer(const core::MachineId& machine,
                                               const std::optional<net::Response>& response) const;
  /// Closes the idle connections with the earliest last use until at most `max_open` connections
  /// are left, busy ones counted.
  void close_idle_beyond(std::size_t max_open);
  void erase(const core::MachineId& machine);

  asio::io_context& io_;
  core::FencingToken token_;
  std::size_t max_connections_;
  std::uint64_t batches_sent_ = 0;
  AnswerHandler on_answer_;
  std::map<core::MachineId, Connection> connections_;
  std::set<IdleConnection> idle_;
};

}  // namespace violetpulley::agent
