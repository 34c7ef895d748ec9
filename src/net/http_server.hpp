/// @file
/// HTTP/1.1 server. One object per connection runs the connection's chain of callbacks; a periodic
/// sweep closes slow and idle connections. All connections are closed when the server stops.
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

/// Sends the response to one request. Only the first call has an effect, and none after the end of
/// the connection.
class Responder {
 public:
  Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t request)
      : connection_(std::move(connection)), request_number_(request) {}
  void operator()(Response response) const;

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t request_number_;
};

/// Receives each request with a responder, which may be called at once or later.
using RequestHandler = std::function<void(Request&&, Responder)>;

/// Kind of client, determined by the first request on a connection.
enum class ClientKind : std::uint8_t { unknown, agent, user };
/// Number of values of ClientKind.
inline constexpr std::size_t kClientKinds = 3;

struct ServerLimits {
  /// Further connections are closed as soon as they are accepted.
  std::size_t max_connections = 2000;
  /// Connections kept open, by kind of client. A connection beyond this share is closed after its
  /// response, so the client must connect again for the next request. That is slower, but no client
  /// is locked out.
  std::array<std::size_t, kClientKinds> keep_alive{2000, 2000, 2000};
  std::size_t max_body_bytes = kMaxBodyBytes;
  /// Idle timeout of users, and of clients that have not sent a request yet.
  std::chrono::milliseconds idle_timeout{90'000};
  /// Idle timeout of agents, which send requests far more often than users.
  std::chrono::milliseconds agent_idle_timeout{90'000};
  /// Limit for receiving a request and for sending a response.
  std::chrono::seconds transfer_timeout{10};
};

/// Returns the kind of client that requests a target.
using ClassifyClient = std::function<ClientKind(const std::string& target)>;

/// Owns the listening socket and all connections.
class HttpServer {
 public:
  /// Starts to listen. Throws std::system_error if it cannot listen on the address.
  HttpServer(
      asio::io_context& io, const asio::ip::tcp::endpoint& listen_endpoint, ServerLimits limits,
      RequestHandler handler,
      ClassifyClient client_kind = [](const std::string&) { return ClientKind::user; });
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes the listening socket and all connections; no handler is called afterwards.
  void stop();
  /// Sets the limit of all connections and the keep-alive shares of agents and of users.
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
  std::array<std::size_t, kClientKinds> open_by_kind_{};  ///< Counts of connections_.
  std::uint64_t unlogged_refusals_ = 0;
  std::chrono::steady_clock::time_point last_refusal_log_{};
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  async::Lifetime lifetime_;
};

}  // namespace violetpulley::net
