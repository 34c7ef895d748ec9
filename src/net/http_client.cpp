#include "net/http_client.hpp"

#include <http_parser.h>

#include <array>
#include <stdexcept>

namespace violetpulley::net {

using asio::ip::tcp;
using std::chrono::steady_clock;

namespace {
// Extension of a deadline that has passed while this process was too busy to read its sockets.
constexpr std::chrono::milliseconds kDeadlineExtension{200};
// Limit of the total extension of one deadline.
constexpr std::chrono::seconds kMaxDeadlineExtension{3};
constexpr std::size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;
}  // namespace

std::string text_of(const asio::ip::tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

tcp::endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw std::invalid_argument("'" + text + "' is not IP:PORT");
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(text.substr(0, colon), error);
  const std::string port = text.substr(colon + 1);
  if (error || port.empty() || port.size() > kMaxPortDigits ||
      port.find_first_not_of("0123456789") != std::string::npos || std::stoi(port) > kMaxPort)
    throw std::invalid_argument("'" + text + "' is not IP:PORT");
  return {address, static_cast<std::uint16_t>(std::stoi(port))};
}

// One connection to the endpoint. Callbacks keep the connection alive until they have run.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(HttpClient& client)
      : client_(&client), socket_(client.io_), timer_(client.io_) {}

  // Sends a request and calls the request's handler with the response.
  void run(HttpClient::PendingRequest&& pending) {
    pending_ = std::move(pending);
    response_ = Response{};
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    complete_ = false;
    encode_request();
    request_active_ = true;
    written_ = false;
    arm_deadline_timer(pending_.deadline);
    if (socket_.is_open()) return write();
    connect();
  }

  void detach() {
    client_ = nullptr;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

  // Whether an idle connection can be reused: unread bytes or an end of stream make it stale.
  bool usable() {
    if (!socket_.is_open()) return false;
    char byte = 0;
    asio::error_code error;
    socket_.non_blocking(true, error);
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

 private:
  void encode_request() {
    const auto& request = pending_.request;
    output_ =
        request.method + " " + request.target + " HTTP/1.1\r\nHost: " + client_->host_ + "\r\n";
    if (!request.body.empty() || request.method != "GET")
      output_ += "Content-Type: application/json\r\nContent-Length: " +
                 std::to_string(request.body.size()) + "\r\n";
    output_ += "\r\n" + request.body;
  }

  void connect() {
    auto self = shared_from_this();
    socket_.async_connect(client_->endpoint_, [self](const asio::error_code& error) {
      if (self->detached()) return;
      if (error) return self->finish(std::nullopt, false);
      asio::error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  bool detached() const { return client_ == nullptr || !request_active_; }

  // Whether the deadline passed because this process was too busy: the connection is established
  // but the request was not sent yet, or the response has arrived but was not read. The server must
  // not be treated as unresponsive then.
  bool delayed_locally() {
    asio::error_code error;
    if (!written_) {
      socket_.remote_endpoint(error);
      return !error;
    }
    return socket_.available(error) > 0 && !error;
  }

  void arm_deadline_timer(steady_clock::time_point deadline) {
    auto self = shared_from_this();
    timer_.expires_at(deadline);
    timer_.async_wait([self](const asio::error_code& error) {
      if (error || self->detached()) return;
      if (!self->delayed_locally()) return self->finish(std::nullopt, false);
      if (steady_clock::now() - self->pending_.deadline > kMaxDeadlineExtension)
        return self->finish(std::nullopt, false);
      self->arm_deadline_timer(steady_clock::now() + kDeadlineExtension);
    });
  }

  void write() {
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(output_),
                      [self](const asio::error_code& error, std::size_t) {
                        if (self->detached()) return;
                        if (error) return self->finish(std::nullopt, false);
                        self->written_ = true;
                        self->read();
                      });
  }

  void read() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(input_),
                            [self](const asio::error_code& error, std::size_t size) {
                              if (self->detached()) return;
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

  void finish(std::optional<Response> response, bool keep_alive) {
    request_active_ = false;
    timer_.cancel();
    auto self = shared_from_this();
    client_->busy_.erase(self);
    if (keep_alive) {
      client_->idle_.push_back(self);
    } else {
      asio::error_code ignored;
      socket_.close(ignored);
    }
    auto handler = std::exchange(pending_.handler, nullptr);
    auto* client = client_;
    if (!keep_alive) client_ = nullptr;
    // The handler may destroy the client.
    auto dispatch_next = client->lifetime_.guard([client] { client->dispatch(); });
    handler(std::move(response));
    dispatch_next();
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        auto& self = *static_cast<ClientConnection*>(p->data);
        self.response_.body.append(at, n);
        return self.response_.body.size() > self.client_->max_response_bytes_ ? 1 : 0;
      };
      s.on_message_complete = [](http_parser* p) {
        static_cast<ClientConnection*>(p->data)->complete_ = true;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return callbacks;
  }

  HttpClient* client_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  http_parser parser_{};
  std::array<char, 8192> input_{};
  std::string output_;
  HttpClient::PendingRequest pending_;
  Response response_;
  bool request_active_ = false;
  bool written_ = false;  // The request was handed to the socket.
  bool complete_ = false;
};

HttpClient::HttpClient(asio::io_context& io, tcp::endpoint endpoint, std::size_t max_connections,
                       std::size_t max_response_bytes)
    : io_(io),
      endpoint_(std::move(endpoint)),
      host_(text_of(endpoint_)),
      max_connections_(max_connections),
      max_response_bytes_(max_response_bytes) {}

HttpClient::~HttpClient() {
  lifetime_.end();
  for (const auto& connection : busy_) connection->detach();
  for (const auto& connection : idle_) connection->detach();
}

void HttpClient::request(Request request, std::chrono::milliseconds timeout,
                         ResponseHandler handler) {
  queue_.push_back({std::move(request), steady_clock::now() + timeout, std::move(handler)});
  asio::post(io_, lifetime_.guard([this] { dispatch(); }));
}

// Returns the connection that became idle last and is still usable, or a new one.
std::shared_ptr<ClientConnection> HttpClient::take_connection() {
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->usable()) return connection;
    connection->detach();
  }
  return std::make_shared<ClientConnection>(*this);
}

void HttpClient::dispatch() {
  while (!queue_.empty() && busy_.size() < max_connections_) {
    auto pending = std::move(queue_.front());
    queue_.pop_front();
    auto connection = take_connection();
    busy_.insert(connection);
    connection->run(std::move(pending));
  }
}

}  // namespace violetpulley::net
