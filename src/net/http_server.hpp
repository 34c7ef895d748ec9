// HTTP/1.1 server: one object per connection owns its callback chain; one sweep timer cuts off
// slow and idle clients. A connection never outlives the server that owns it.
#pragma once

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

struct ServerLimits {
  std::size_t max_connections = 2000;
  std::size_t max_body = kMaxBody;
  std::chrono::seconds idle{90};
  std::chrono::seconds receive{10};
};

class HttpServer {
 public:
  HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& at, ServerLimits limits,
             RequestHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void stop();
  asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

 private:
  friend class ServerConnection;
  void accept();
  void sweep();

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  asio::steady_timer accept_retry_;
  ServerLimits limits_;
  RequestHandler handler_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::net
