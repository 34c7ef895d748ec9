/// @file
/// HTTP/1.1 client for one endpoint. Keeps connections open and sends one request at a time on
/// each.
#pragma once

#include <asio.hpp>
#include <deque>
#include <memory>
#include <unordered_set>

#include "async/lifetime.hpp"
#include "net/http_types.hpp"

namespace violetpulley::net {

/// Receives the response. Null: no response arrived, and the server may or may not have executed
/// the request.
using ResponseHandler = std::function<void(std::optional<Response>)>;

class ClientConnection;

/// Owns the queue of requests and the connections to the endpoint.
class HttpClient {
 public:
  /// `max_response_bytes`: largest response body; a larger one counts as no response.
  HttpClient(asio::io_context& io, asio::ip::tcp::endpoint endpoint, std::size_t max_connections,
             std::size_t max_response_bytes = kMaxResponseBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Queues a request. `timeout` counts from this call. The handler is called exactly once, never
  /// from within this call, and not after the client was destroyed.
  void request(Request request, std::chrono::milliseconds timeout, ResponseHandler handler);

  /// Whether no request is queued or in flight, so that destroying the client loses no response.
  bool idle() const { return queue_.empty() && busy_.empty(); }

 private:
  friend class ClientConnection;
  static constexpr std::size_t kMaxResponseBytes = std::size_t{16} * 1024 * 1024;
  struct PendingRequest {
    Request request;
    std::chrono::steady_clock::time_point deadline;
    ResponseHandler handler;
  };
  void dispatch();
  std::shared_ptr<ClientConnection> take_connection();

  asio::io_context& io_;
  asio::ip::tcp::endpoint endpoint_;
  std::string host_;
  std::size_t max_connections_;
  std::size_t max_response_bytes_;
  std::deque<PendingRequest> queue_;
  std::unordered_set<std::shared_ptr<ClientConnection>> busy_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  async::Lifetime lifetime_;
};

/// Parses an IPv4 address with port, such as "127.0.0.1:7400". Throws std::invalid_argument with
/// the text.
asio::ip::tcp::endpoint parse_endpoint(const std::string& text);
/// Formats an endpoint as parse_endpoint reads it.
std::string text_of(const asio::ip::tcp::endpoint& at);

}  // namespace violetpulley::net
