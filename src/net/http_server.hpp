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
enum class Peer : std::uint8_t { unknown, worker, user };
/// Number of values of Peer.
inline constexpr std::size_t kPeers = 3;

struct ServerLimits {
  /// Connections beyond this are refused: closed as soon as they were accepted.
  std::size_t max_connections = 2000;
  /// Connections kept open for each kind of client. A connection beyond the share is answered and
  /// then closed, so that the client connects anew for the next request: slower, but no client is
  /// shut out.
  std::array<std::size_t, kPeers> kept{2000, 2000, 2000};
  std::size_t max_body = kMaxBody;
  std::chrono::milliseconds idle{90'000};
  /// For agents, which send heartbeats far more often than users send requests.
  std::chrono::milliseconds idle_worker{90'000};
  /// Longest time in which a request must arrive or a response be read.
  std::chrono::seconds receive{10};
};

/// Returns the kind of client that sends requests to a target.
using PeerOf = std::function<Peer(const std::string& target)>;

/// Owns the listening socket and all connections.
class HttpServer {
 public:
  /// Starts to listen. Throws std::system_error if the address cannot be used.
  HttpServer(
      asio::io_context& io, const asio::ip::tcp::endpoint& at, ServerLimits limits,
      RequestHandler handler, PeerOf peer_of = [](const std::string&) { return Peer::user; });
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Closes everything; no handler is called afterwards.
  void stop();
  void set_limits(std::size_t max_connections, std::size_t kept_workers, std::size_t kept_users);
  std::size_t open() const { return connections_.size(); }
  std::size_t open(Peer peer) const { return open_[static_cast<std::size_t>(peer)]; }
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
  PeerOf peer_of_;
  std::array<std::size_t, kPeers> open_{};  // of connections_, by peer
  std::uint64_t refused_ = 0;
  std::chrono::steady_clock::time_point refusals_logged_{};
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  async::Lifetime lifetime_;
};

}  // namespace violetpulley::net
