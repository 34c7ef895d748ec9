// HTTP/1.1 client for one endpoint: keeps connections open, one request at a time on each.
#pragma once

#include <asio.hpp>
#include <deque>
#include <memory>
#include <unordered_set>

#include "net/http_types.hpp"

namespace violetpulley::net {

// No response: the request may or may not have been executed.
using ResponseHandler = std::function<void(std::optional<Response>)>;

class ClientConnection;

class HttpClient {
 public:
  HttpClient(asio::io_context& io, asio::ip::tcp::endpoint peer, std::size_t max_connections,
             std::size_t max_response = 16 * 1024 * 1024);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // The handler is called exactly once, never from within this call, and not after the client's
  // end.
  void request(Request request, std::chrono::milliseconds timeout, ResponseHandler handler);

  // Nothing is under way: ending the client loses no answer.
  bool idle() const { return queue_.empty() && busy_.empty(); }

 private:
  friend class ClientConnection;
  struct Waiting {
    Request request;
    std::chrono::steady_clock::time_point deadline;
    ResponseHandler handler;
  };
  void dispatch();

  asio::io_context& io_;
  asio::ip::tcp::endpoint peer_;
  std::string host_;
  std::size_t max_connections_;
  std::size_t max_response_;
  std::deque<Waiting> queue_;
  std::unordered_set<std::shared_ptr<ClientConnection>> busy_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

asio::ip::tcp::endpoint parse_endpoint(const std::string& text);
// "127.0.0.1:7400"
std::string text_of(const asio::ip::tcp::endpoint& at);

}  // namespace violetpulley::net
