/// @file
/// Sends commands to the agents over one connection per machine. The sockets of a controller are
/// limited, and the heartbeats of a large fleet already take one per machine: when a burst of
/// commands has opened more connections than the limit, the surplus is closed as the responses
/// arrive. Owns the connections.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "core/model/actions.hpp"
#include "net/http_client.hpp"

namespace violetpulley::agent {

class CommandSender {
 public:
  /// Receives the agent's answer. Null heartbeat: no answer, a refusal without a heartbeat, a
  /// malformed answer, or an answer of another machine.
  using AnswerHandler = std::function<void(const core::MachineId&, const core::Heartbeat*)>;

  CommandSender(asio::io_context& io, core::FencingToken token, std::size_t max_connections,
                AnswerHandler on_answer)
      : io_(io),
        token_(token),
        max_connections_(max_connections),
        on_answer_(std::move(on_answer)) {}

  /// Sends a command batch. Commands beyond the limit of one request are omitted; the core sends
  /// them again in a later batch.
  void send(const core::SendCommands& batch);
  /// Closes the connection to a machine that no longer exists. Pending answers are discarded.
  void drop(const core::MachineId& machine) { erase(machine); }
  /// Sets the limit of open connections, at least one.
  void set_max_connections(std::size_t max_connections) {
    max_connections_ = std::max<std::size_t>(1, max_connections);
  }
  /// Number of open connections.
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    std::string endpoint;
    std::unique_ptr<net::HttpClient> client;
    std::uint64_t last_batch = 0;  ///< Number of the last batch sent over the connection.
  };
  struct IdleConnection {
    std::uint64_t last_batch = 0;
    core::MachineId machine;
    auto operator<=>(const IdleConnection&) const = default;
  };

  /// Opens the connection if there is none or the machine's endpoint has changed. Returns false if
  /// the endpoint is malformed.
  bool connect(Connection& connection, const core::SendCommands& batch);
  void handle_response(const core::MachineId& machine,
                       const std::optional<net::Response>& response);
  /// Decodes the answer of `machine`; null if the answer is no proof of that machine's state.
  std::optional<core::Heartbeat> decode_answer(const core::MachineId& machine,
                                               const std::optional<net::Response>& response) const;
  /// Closes the least recently used idle connections until at most `max_open` connections are left,
  /// including busy ones.
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
