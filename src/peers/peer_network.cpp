#include "peers/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "net/http_client.hpp"

namespace violetpulley::peers {

using asio::ip::tcp;

std::string encode(const Status& status) {
  msgpack::sbuffer body;
  msgpack::pack(body, status);
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8)
    frame.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU));
  frame.append(body.data(), body.size());
  return frame;
}

Status decode(const char* data, std::size_t size) {
  const auto handle = msgpack::unpack(data, size);
  const auto& object = handle.get();
  if (object.type != msgpack::type::ARRAY || object.via.array.size < 1 ||
      object.via.array.ptr[0].as<std::uint32_t>() != kVersion)
    throw std::runtime_error("mesh message of another version");
  return object.as<Status>();
}

namespace {
constexpr std::chrono::milliseconds kSuspicion{100};
}

// The connection to one sibling: connects, sends the newest status, connects again.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(PeerNetwork& peers, const config::Peer& peer)
      : peer_network_(&peers),
        peer_(peer),
        endpoint_(net::parse_endpoint(peer.peer_address)),
        socket_(peers.io_),
        timer_(peers.io_) {}

  void connect() {
    socket_ = tcp::socket(peer_network_->io_);
    connected_ = false;
    auto self = shared_from_this();
    arm(std::chrono::seconds(2));
    socket_.async_connect(endpoint_, [self](const asio::error_code& error) {
      if (self->peer_network_ == nullptr) return;
      if (error) {
        if (error == asio::error::connection_refused && self->was_closed_) {
          self->was_closed_ = false;
          self->peer_network_->suspect(self->peer_.member);
        }
        return self->again();
      }
      self->timer_.cancel();
      self->connected_ = true;
      self->was_closed_ = false;
      asio::error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->wait_for_end();
    });
  }

  void send(const std::string& frame) {
    if (!connected_) return;
    if (writing_) {
      next_ = frame;
      return;
    }
    writing_ = true;
    output_ = frame;
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(output_),
                      [self](const asio::error_code& error, std::size_t) {
                        self->writing_ = false;
                        if (self->peer_network_ == nullptr || error) return;
                        if (!self->next_.empty()) self->send(std::exchange(self->next_, {}));
                      });
  }

  bool connected() const { return connected_; }

  void detach() {
    peer_network_ = nullptr;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  // A sibling sends nothing back on this connection: a read ends when the connection does.
  void wait_for_end() {
    auto self = shared_from_this();
    socket_.async_read_some(asio::buffer(&byte_, 1),
                            [self](const asio::error_code& error, std::size_t) {
                              if (self->peer_network_ == nullptr) return;
                              if (!error) return self->wait_for_end();
                              if (!self->connected_) return;
                              self->connected_ = false;
                              self->was_closed_ = true;
                              self->peer_network_->events_.ended(self->peer_.member);
                              self->connect();
                            });
  }

  void arm(std::chrono::milliseconds limit) {
    auto self = shared_from_this();
    timer_.expires_after(limit);
    timer_.async_wait([self](const asio::error_code& error) {
      if (error || self->peer_network_ == nullptr || self->connected_) return;
      asio::error_code ignored;
      self->socket_.close(ignored);
    });
  }

  void again() {
    auto self = shared_from_this();
    timer_.expires_after(std::chrono::milliseconds(700));
    timer_.async_wait([self](const asio::error_code& error) {
      if (!error && self->peer_network_ != nullptr) self->connect();
    });
  }

  PeerNetwork* peer_network_;
  config::Peer peer_;
  tcp::endpoint endpoint_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string output_;
  std::string next_;
  char byte_ = 0;
  bool connected_ = false;
  bool was_closed_ = false;
  bool writing_ = false;
};

// A connection that a sibling opened to us: frames come in.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(PeerNetwork& peers, tcp::socket socket)
      : peer_network_(&peers), socket_(std::move(socket)) {}

  void read_size() {
    auto self = shared_from_this();
    asio::async_read(socket_, asio::buffer(header_),
                     [self](const asio::error_code& error, std::size_t) {
                       if (self->peer_network_ == nullptr) return;
                       if (error) return self->end();
                       std::size_t size = 0;
                       for (const unsigned char byte : self->header_) size = (size << 8U) | byte;
                       if (size == 0 || size > kMaxFrame) return self->end();
                       self->body_.resize(size);
                       self->read_body();
                     });
  }

  void detach() {
    peer_network_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read_body() {
    auto self = shared_from_this();
    asio::async_read(
        socket_, asio::buffer(body_), [self](const asio::error_code& error, std::size_t) {
          if (self->peer_network_ == nullptr) return;
          if (error) return self->end();
          try {
            self->peer_network_->events_.heard(decode(self->body_.data(), self->body_.size()));
          } catch (const std::exception& problem) {
            spdlog::warn("a sibling sent nonsense: {}", problem.what());
            return self->end();
          }
          self->read_size();
        });
  }

  void end() {
    auto self = shared_from_this();
    peer_network_->sessions_.erase(self);
    detach();
  }

  PeerNetwork* peer_network_;
  tcp::socket socket_;
  std::array<unsigned char, 4> header_{};
  std::vector<char> body_;
};

PeerNetwork::PeerNetwork(asio::io_context& io, const tcp::endpoint& at,
                         const std::vector<config::Peer>& peers, Events events)
    : io_(io), acceptor_(io, at), suspicion_timer_(io), events_(std::move(events)) {
  for (const auto& peer : peers) {
    links_.push_back(std::make_shared<PeerLink>(*this, peer));
    links_.back()->connect();
  }
  accept();
}

PeerNetwork::~PeerNetwork() {
  *alive_ = false;
  for (const auto& link : links_) link->detach();
  for (const auto& session : sessions_) session->detach();
}

void PeerNetwork::accept() {
  acceptor_.async_accept([this, alive = alive_](const asio::error_code& error, tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted) return;
    // A sibling holds one connection; leftovers of broken ones are bounded.
    if (!error && sessions_.size() < 8 * (links_.size() + 1)) {
      auto session = std::make_shared<PeerSession>(*this, std::move(socket));
      sessions_.insert(session);
      session->read_size();
    }
    accept();
  });
}

// A refused connection does not prove that a process has ended: a filter between the nodes refuses
// all of them at once. So the sign counts only while another sibling is still connected a moment
// later; a wrong one costs a takeover of the whole fleet, and waiting for the hold only its rest.
void PeerNetwork::suspect(const std::string& member) {
  suspected_.insert(member);
  suspicion_timer_.expires_after(kSuspicion);
  suspicion_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!*alive || error) return;
    const auto suspected = std::exchange(suspected_, {});
    const bool others = std::any_of(links_.begin(), links_.end(),
                                    [](const auto& link) { return link->connected(); });
    for (const auto& member : suspected) {
      if (others || links_.size() == 1)
        events_.gone(member);
      else
        spdlog::info("{} refuses connections, as all siblings do: not taken as its end", member);
    }
  });
}

void PeerNetwork::broadcast(const Status& status) {
  const auto frame = encode(status);
  for (const auto& link : links_) link->send(frame);
}

}  // namespace violetpulley::peers
