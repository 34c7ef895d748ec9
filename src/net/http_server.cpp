#include "net/http_server.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <array>

namespace violetpulley::net {

using asio::ip::tcp;

namespace {
// Connections accepted in a row before other handlers run.
constexpr int kMaxAcceptsPerBatch = 64;
constexpr std::size_t kMaxTargetBytes = 4096;
// Headers are not stored, but their total size is limited.
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds kAcceptRetry{50};
constexpr std::chrono::seconds kSweepInterval{2};
constexpr std::chrono::seconds kRefusalLogInterval{1};

const char* reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

// One connection of a client. Pending callbacks keep the object alive until they have run.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(tcp::socket socket, HttpServer& server)
      : socket_(std::move(socket)), server_(&server) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    touch();
  }

  void start() { read(); }

  void close() {
    if (closed_) return;
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    if (server_ != nullptr) {
      --server_->open_by_kind_[static_cast<std::size_t>(client_kind_)];
      server_->connections_.erase(shared_from_this());
    }
    server_ = nullptr;
  }

  void detach() {
    server_ = nullptr;
    close();
  }

  void respond(std::uint64_t request, Response&& response) {
    if (closed_ || request != request_number_ || !awaiting_response_) return;
    awaiting_response_ = false;
    send(std::move(response));
  }

  bool timed_out(std::chrono::steady_clock::time_point now, const ServerLimits& limits) const {
    if (awaiting_response_) return false;
    const auto silence = now - last_activity_;
    if (receiving_ || writing_) return silence > limits.transfer_timeout;
    return silence >
           (client_kind_ == ClientKind::agent ? limits.agent_idle_timeout : limits.idle_timeout);
  }

 private:
  void touch() { last_activity_ = std::chrono::steady_clock::now(); }

  void read() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(input_),
                            [self](const asio::error_code& error, std::size_t size) {
                              if (self->closed_) return;
                              if (error) return self->close();
                              self->unparsed_.append(self->input_.data(), size);
                              self->parse();
                            });
  }

  void parse() {
    if (!receiving_) touch();
    receiving_ = true;
    const std::size_t parsed_bytes =
        http_parser_execute(&parser_, &settings(), unparsed_.data(), unparsed_.size());
    const auto parse_error = HTTP_PARSER_ERRNO(&parser_);
    if (parse_error == HPE_PAUSED) {
      unparsed_.erase(0, parsed_bytes);
      http_parser_pause(&parser_, 0);
      receiving_ = false;
      return dispatch();
    }
    if (parse_error != HPE_OK || parser_.upgrade != 0U) {
      keep_alive_ = false;
      receiving_ = false;
      return send(too_large_ ? Response{413, R"({"error":"body too large"})", {}}
                             : Response{400, R"({"error":"malformed HTTP"})", {}});
    }
    unparsed_.clear();
    read();
  }

  void dispatch() {
    ++request_number_;
    awaiting_response_ = true;
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    parsed_request_.method = http_method_str(static_cast<http_method>(parser_.method));
    Request request = std::exchange(parsed_request_, Request{});
    header_bytes_ = 0;
    if (server_ == nullptr) return;
    if (client_kind_ == ClientKind::unknown) {
      --server_->open_by_kind_[static_cast<std::size_t>(client_kind_)];
      client_kind_ = server_->classify_client_(request.target);
      ++server_->open_by_kind_[static_cast<std::size_t>(client_kind_)];
    }
    server_->handler_(std::move(request), Responder(weak_from_this(), request_number_));
  }

  // Early clients must not lock out later ones: while one kind of client has more connections than
  // its keep-alive share, each of its connections is closed after the response.
  bool exceeds_keep_alive_share() const {
    const auto kind = static_cast<std::size_t>(client_kind_);
    return server_ != nullptr && server_->open_by_kind_[kind] > server_->limits_.keep_alive[kind];
  }

  void send(Response&& response) {
    if (exceeds_keep_alive_share()) keep_alive_ = false;
    output_ = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
              "\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(response.body.size()) + "\r\n";
    if (response.retry_after)
      output_ += "Retry-After: " + std::to_string(response.retry_after->count()) + "\r\n";
    if (!keep_alive_) output_ += "Connection: close\r\n";
    output_ += "\r\n";
    output_ += response.body;
    writing_ = true;
    touch();
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(output_),
                      [self](const asio::error_code& error, std::size_t) {
                        if (self->closed_) return;
                        self->writing_ = false;
                        self->touch();
                        if (error || !self->keep_alive_) return self->close();
                        if (self->unparsed_.empty())
                          self->read();
                        else
                          self->parse();
                      });
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* at, std::size_t n) {
        auto& self = *static_cast<ServerConnection*>(p->data);
        self.parsed_request_.target.append(at, n);
        return self.parsed_request_.target.size() > kMaxTargetBytes ? 1 : 0;
      };
      auto count_header = [](http_parser* p, const char*, std::size_t n) {
        auto& self = *static_cast<ServerConnection*>(p->data);
        self.header_bytes_ += n;
        return self.header_bytes_ > kMaxHeaderBytes ? 1 : 0;
      };
      s.on_header_field = count_header;
      s.on_header_value = count_header;
      s.on_headers_complete = [](http_parser* p) {
        auto& self = *static_cast<ServerConnection*>(p->data);
        const bool known = p->content_length != static_cast<std::uint64_t>(-1);
        self.too_large_ = known && self.server_ != nullptr &&
                          p->content_length > self.server_->limits_.max_body_bytes;
        return self.too_large_ ? -1 : 0;
      };
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        auto& self = *static_cast<ServerConnection*>(p->data);
        self.parsed_request_.body.append(at, n);
        self.too_large_ = self.server_ != nullptr &&
                          self.parsed_request_.body.size() > self.server_->limits_.max_body_bytes;
        return self.too_large_ ? 1 : 0;
      };
      s.on_message_complete = [](http_parser* p) {
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return callbacks;
  }

  tcp::socket socket_;
  HttpServer* server_;
  ClientKind client_kind_ = ClientKind::unknown;
  http_parser parser_{};
  std::array<char, 4096> input_{};
  std::string unparsed_;
  std::string output_;
  Request parsed_request_;
  std::size_t header_bytes_ = 0;
  std::uint64_t request_number_ = 0;
  std::chrono::steady_clock::time_point last_activity_;
  bool awaiting_response_ = false;
  bool receiving_ = false;
  bool writing_ = false;
  bool keep_alive_ = true;
  bool too_large_ = false;
  bool closed_ = false;
};

void Responder::operator()(Response response) const {
  if (auto connection = connection_.lock())
    connection->respond(request_number_, std::move(response));
}

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& listen_endpoint,
                       ServerLimits limits, RequestHandler handler, ClassifyClient client_kind)
    : acceptor_(io, listen_endpoint),
      sweep_timer_(io),
      accept_retry_(io),
      limits_(limits),
      handler_(std::move(handler)),
      classify_client_(std::move(client_kind)) {
  acceptor_.non_blocking(true);
  accept();
  sweep();
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::stop() {
  lifetime_.end();
  asio::error_code ignored;
  acceptor_.close(ignored);
  sweep_timer_.cancel();
  accept_retry_.cancel();
  auto connections = std::exchange(connections_, {});
  for (const auto& connection : connections) connection->detach();
}

void HttpServer::accept() {
  acceptor_.async_accept(lifetime_.guard([this](const asio::error_code& error, tcp::socket socket) {
    if (error) return retry_accept();
    admit(std::move(socket));
    accept_pending();
    accept();
  }));
}

// Accepting fails when the process is out of sockets; the pause avoids a busy loop.
void HttpServer::retry_accept() {
  accept_retry_.expires_after(kAcceptRetry);
  accept_retry_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) accept();
  }));
}

// Accepts the connections that wait in the backlog, up to kMaxAcceptsPerBatch. If only one
// connection were accepted per turn of the event loop, thousands of agents that search for the
// leader would wait longer than their timeout.
void HttpServer::accept_pending() {
  for (int accepted = 0; accepted < kMaxAcceptsPerBatch; ++accepted) {
    asio::error_code none;
    tcp::socket next(acceptor_.get_executor());
    acceptor_.accept(next, none);
    if (none) break;
    admit(std::move(next));
  }
}

void HttpServer::admit(tcp::socket socket) {
  if (connections_.size() >= limits_.max_connections) return refuse();
  asio::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto connection = std::make_shared<ServerConnection>(std::move(socket), *this);
  connections_.insert(connection);
  ++open_by_kind_[static_cast<std::size_t>(ClientKind::unknown)];
  connection->start();
}

void HttpServer::set_limits(std::size_t max_connections, std::size_t keep_alive_agents,
                            std::size_t keep_alive_users) {
  limits_.max_connections = max_connections;
  limits_.keep_alive[static_cast<std::size_t>(ClientKind::agent)] = keep_alive_agents;
  limits_.keep_alive[static_cast<std::size_t>(ClientKind::user)] = keep_alive_users;
}

// Logs at most one line per kRefusalLogInterval, since thousands of refusals may occur at once.
void HttpServer::refuse() {
  ++unlogged_refusals_;
  const auto now = std::chrono::steady_clock::now();
  if (now - last_refusal_log_ < kRefusalLogInterval) return;
  last_refusal_log_ = now;
  spdlog::warn("{} connections refused: limit reached with {} open, {} of workers and {} of users",
               std::exchange(unlogged_refusals_, 0), open_connections(),
               open_connections(ClientKind::agent), open_connections(ClientKind::user));
}

void HttpServer::sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (error) return;
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<ServerConnection>> timed_out;
    for (const auto& connection : connections_)
      if (connection->timed_out(now, limits_)) timed_out.push_back(connection);
    for (const auto& connection : timed_out) connection->close();
    sweep();
  }));
}

}  // namespace violetpulley::net
