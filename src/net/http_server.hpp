/// @file
/// HTTP/1.1 server: one object per connection owns its callback chain; one sweep timer closes slow
/// and idle connections. A connection never outlives the server that owns it.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

#include "async/lifetime.hpp"
#include "net/http_types.hpp"

namespace violetpulley::net {

class ServerConnection;

/// Answers one request, once; later calls and calls after the end of the connection do nothing.
class Responder {
 public:
  Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t request)
      : connection_(std::move(connection)), request_(request) {}
  void operator()(Response response) const;

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t request_;
};

/// Receives each request with the means to answer it, at once or later.
using RequestHandler = std::function<void(Request&&, Responder)>;

/// Kind of the client, decided by the first request of a connection.
enum class ClientKind : std::uint8_t { unknown, agent, user };
/// Number of values of ClientKind.
inline constexpr std::size_t kClientKinds = 3;

struct ServerLimits {
  /// Connections beyond this are refused: closed as soon as they were accepted.
  std::size_t max_connections = 2000;
  /// Connections kept open for each kind of client. A connection beyond the share is answered and
  /// then closed, so that the client connects anew for the next request: slower, but no client is
  /// shut out.
  std::array<std::size_t, kClientKinds> keep_alive{2000, 2000, 2000};
  std::size_t max_body_bytes = kMaxBodyBytes;
  std::chrono::milliseconds idle_timeout{90'000};
  /// For agents, which send heartbeats far more often than users send requests.
  std::chrono::milliseconds agent_idle_timeout{90'000};
  /// Longest time in which a request must arrive or a response be read.
  std::chrono::seconds transfer_timeout{10};
};

/// Returns the kind of client that sends requests to a target.
using ClassifyClient = std::function<ClientKind(const std::string& target)>;

/// Owns the listening socket and all connections.
class HttpServer {
 public:
  /// Starts to listen. Throws std::system_error if the address cannot be used.
  HttpServer(
      asio::io_context& io, const asio::ip::tcp::endpoint& listen_endpoint, ServerLimits limits,
      RequestHandler handler,
      ClassifyClient client_kind = [](const std::string&) { return ClientKind::user; });
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes everything; no handler is called afterwards.
  void stop();
  void set_limits(std::size_t max_connections, std::size_t keep_alive_agents,
                  std::size_t keep_alive_users);
  std::size_t open_connections() const { return connections_.size(); }
  std::size_t open_connections(ClientKind kind) const {
    return open_by_kind_[static_cast<std::size_t>(kind)];
  }
  asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  friend class ServerConnection;
  void accept();
  void accept_pending();
  void retry_accept();
  void admit(asio::ip::tcp::socket socket);
  void sweep();
  void refuse();

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer accept_retry_;
  ServerLimits limits_;
  RequestHandler handler_;
  ClassifyClient classify_client_;
  std::array<std::size_t, kClientKinds> open_by_kind_{};  // of connections_, by peer
  std::uint64_t unlogged_refusals_ = 0;
  std::chrono::steady_clock::time_point last_refusal_log_{};
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  async::Lifetime lifetime_;
};

}  // namespace violetpulley::net
