// HTTP/1.1 server: one object per connection owns its callback chain; one sweep timer cuts off
// slow and idle clients. A connection never outlives the server that owns it.
#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <unordered_set>

#include "net/http_types.hpp"

namespace violetpulley::net {

class ServerConnection;

// Answers one request, once; later calls and calls after the connection's end do nothing.
class Responder {
 public:
  Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t request)
      : connection_(std::move(connection)), request_(request) {}
  void operator()(Response response) const;

 private:
  std::weak_ptr<ServerConnection> connection_;
  std::uint64_t request_;
};

using RequestHandler = std::function<void(Request&&, Responder)>;

// Who is on the other side, by the first request of a connection.
enum class Peer : std::uint8_t { unknown, worker, user };
inline constexpr std::size_t kPeers = 3;

struct ServerLimits {
  // Connections beyond this are refused: closed as soon as they were accepted.
  std::size_t max_connections = 2000;
  // Connections kept open for each kind of peer. One beyond is answered and then closed, so that
  // its peer connects anew for the next request: slower, but nobody is shut out.
  std::array<std::size_t, kPeers> kept{2000, 2000, 2000};
  std::size_t max_body = kMaxBody;
  std::chrono::milliseconds idle{90'000};
  std::chrono::milliseconds idle_worker{90'000};  // a machine reports far more often
  std::chrono::seconds receive{10};
};

// Tells the kind of peer by what it asks for.
using PeerOf = std::function<Peer(const std::string& target)>;

class HttpServer {
 public:
  HttpServer(
      asio::io_context& io, const asio::ip::tcp::endpoint& at, ServerLimits limits,
      RequestHandler handler, PeerOf peer_of = [](const std::string&) { return Peer::user; });
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void stop();
  void set_limits(std::size_t most, std::size_t kept_workers, std::size_t kept_users);
  std::size_t open() const { return connections_.size(); }
  std::size_t open(Peer peer) const { return open_[static_cast<std::size_t>(peer)]; }
  asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  friend class ServerConnection;
  void accept();
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
  std::chrono::steady_clock::time_point refusals_told_{};
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::net
