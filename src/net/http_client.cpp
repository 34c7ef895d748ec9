#include "net/http_client.hpp"

#include <http_parser.h>

#include <array>
#include <stdexcept>

namespace violetpulley::net {

using asio::ip::tcp;
using std::chrono::steady_clock;

std::string text_of(const asio::ip::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

tcp::endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("'" + text + "' is not IP:PORT");
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
  const std::string port = text.substr(colon + 1);
  if (error || port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos || std::stoi(port) > 65535)
    throw std::invalid_argument("'" + text + "' is not IP:PORT");
  return {address, static_cast<std::uint16_t>(std::stoi(port))};
}

namespace {
constexpr std::chrono::milliseconds kHeldUp{200};
constexpr std::chrono::seconds kMaxHeldUp{3};
}  // namespace

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(HttpClient& client)
      : client_(&client), socket_(client.io_), timer_(client.io_) {}

  void run(HttpClient::Waiting&& work) {
    work_ = std::move(work);
    response_ = Response{};
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    complete_ = false;
    output_ = work_.request.method + " " + work_.request.target +
              " HTTP/1.1\r\nHost: " + client_->host_ + "\r\n";
    if (!work_.request.body.empty() || work_.request.method != "GET")
      output_ += "Content-Type: application/json\r\nContent-Length: " +
                 std::to_string(work_.request.body.size()) + "\r\n";
    output_ += "\r\n" + work_.request.body;
    auto self = shared_from_this();
    working_ = true;
    written_ = false;
    wait_until(work_.deadline);
    if (socket_.is_open()) return write();
    socket_.async_connect(client_->peer_, [self](const asio::error_code& error) {
      if (self->gone()) return;
      if (error) return self->finish(std::nullopt, false);
      asio::error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void detach() {
    client_ = nullptr;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

  bool usable() {
    // An idle connection must have nothing to read: bytes or an end mean that it is stale.
    if (!socket_.is_open()) return false;
    char byte = 0;
    asio::error_code error;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

 private:
  bool gone() const { return client_ == nullptr || !working_; }

  // A process that is behind with its work finds the deadline passed and the answer unread beside
  // it: that is no reason to take the peer for dead.
  bool held_up_here() {
    asio::error_code error;
    if (!written_) {
      socket_.remote_endpoint(error);
      return !error;
    }
    return socket_.available(error) > 0 && !error;
  }

  void wait_until(steady_clock::time_point deadline) {
    auto self = shared_from_this();
    timer_.expires_at(deadline);
    timer_.async_wait([self](const asio::error_code& error) {
      if (error || self->gone()) return;
      if (!self->held_up_here()) return self->finish(std::nullopt, false);
      if (steady_clock::now() - self->work_.deadline > kMaxHeldUp)
        return self->finish(std::nullopt, false);
      self->wait_until(steady_clock::now() + kHeldUp);
    });
  }

  void write() {
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(output_),
                      [self](const asio::error_code& error, std::size_t) {
                        if (self->gone()) return;
                        if (error) return self->finish(std::nullopt, false);
                        self->written_ = true;
                        self->read();
                      });
  }

  void read() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(input_),
                            [self](const asio::error_code& error, std::size_t size) {
                              if (self->gone()) return;
                              if (error) return self->finish(std::nullopt, false);
                              self->parse(size);
                            });
  }

  void parse(std::size_t size) {
    http_parser_execute(&parser_, &settings(), input_.data(), size);
    if (complete_) {
      response_.status = static_cast<int>(parser_.status_code);
      return finish(std::move(response_), http_should_keep_alive(&parser_) != 0);
    }
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return finish(std::nullopt, false);
    read();
  }

  void finish(std::optional<Response> response, bool keep) {
    working_ = false;
    timer_.cancel();
    auto self = shared_from_this();
    client_->busy_.erase(self);
    if (keep) {
      client_->idle_.push_back(self);
    } else {
      asio::error_code ignored;
      socket_.close(ignored);
    }
    auto handler = std::exchange(work_.handler, nullptr);
    auto* client = client_;
    if (!keep) client_ = nullptr;
    auto alive = client->alive_;
    handler(std::move(response));
    if (*alive) client->dispatch();
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings instance = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        auto& self = *static_cast<ClientConnection*>(p->data);
        self.response_.body.append(at, n);
        return self.response_.body.size() > self.client_->max_response_ ? 1 : 0;
      };
      s.on_message_complete = [](http_parser* p) {
        static_cast<ClientConnection*>(p->data)->complete_ = true;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return instance;
  }

  HttpClient* client_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  http_parser parser_{};
  std::array<char, 8192> input_{};
  std::string output_;
  HttpClient::Waiting work_;
  Response response_;
  bool working_ = false;
  bool written_ = false;  // the request is on its way
  bool complete_ = false;
};

HttpClient::HttpClient(asio::io_context& io, tcp::endpoint peer, std::size_t max_connections,
                       std::size_t max_response)
    : io_(io),
      peer_(std::move(peer)),
      host_(text_of(peer_)),
      max_connections_(max_connections),
      max_response_(max_response) {}

HttpClient::~HttpClient() {
  *alive_ = false;
  for (const auto& connection : busy_) connection->detach();
  for (const auto& connection : idle_) connection->detach();
}

void HttpClient::request(Request request, std::chrono::milliseconds timeout,
                         ResponseHandler handler) {
  queue_.push_back({std::move(request), steady_clock::now() + timeout, std::move(handler)});
  asio::post(io_, [this, alive = alive_] {
    if (*alive) dispatch();
  });
}

void HttpClient::dispatch() {
  while (!queue_.empty() && busy_.size() < max_connections_) {
    auto work = std::move(queue_.front());
    queue_.pop_front();
    std::shared_ptr<ClientConnection> connection;
    while (!idle_.empty() && !connection) {
      connection = std::move(idle_.back());
      idle_.pop_back();
      if (!connection->usable()) {
        connection->detach();
        connection.reset();
      }
    }
    if (!connection) connection = std::make_shared<ClientConnection>(*this);
    busy_.insert(connection);
    connection->run(std::move(work));
  }
}

}  // namespace violetpulley::net
