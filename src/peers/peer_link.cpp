#include "peers/peer_link.hpp"

#include <chrono>
#include <utility>

#include "net/http_client.hpp"
#include "peers/peer_network.hpp"

namespace violetpulley::peers {

using asio::ip::tcp;

namespace {
constexpr std::chrono::seconds kConnectTimeout{2};
constexpr std::chrono::milliseconds kReconnectDelay{700};
}  // namespace

PeerLink::PeerLink(PeerNetwork& network, const config::Peer& peer)
    : network_(&network),
      peer_(peer),
      endpoint_(net::parse_endpoint(peer.peer_address)),
      socket_(network.io_),
      timer_(network.io_) {}

void PeerLink::connect() {
  socket_ = tcp::socket(network_->io_);
  connected_ = false;
  start_connect_timeout();
  socket_.async_connect(endpoint_, [self = shared_from_this()](const asio::error_code& error) {
    if (self->network_ == nullptr) return;
    if (error) return self->connection_failed(error);
    self->connection_established();
  });
}

void PeerLink::connection_failed(const asio::error_code& error) {
  if (error == asio::error::connection_refused && closed_by_peer_) {
    closed_by_peer_ = false;
    network_->suspect(peer_.member);
  }
  reconnect_later();
}

void PeerLink::connection_established() {
  timer_.cancel();
  connected_ = true;
  closed_by_peer_ = false;
  asio::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  wait_for_disconnect();
}

void PeerLink::send(const std::string& frame) {
  if (!connected_) return;
  if (writing_) {
    next_frame_ = frame;
    return;
  }
  writing_ = true;
  output_ = frame;
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      self->writing_ = false;
                      if (self->network_ == nullptr || error) return;
                      if (!self->next_frame_.empty())
                        self->send(std::exchange(self->next_frame_, {}));
                    });
}

void PeerLink::detach() {
  network_ = nullptr;
  timer_.cancel();
  asio::error_code ignored;
  socket_.close(ignored);
}

// A peer sends nothing on this connection, so a read completes only when the connection ends.
void PeerLink::wait_for_disconnect() {
  socket_.async_read_some(asio::buffer(&byte_, 1),
                          [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                            if (self->network_ == nullptr) return;
                            if (!error) return self->wait_for_disconnect();
                            if (!self->connected_) return;
                            self->connected_ = false;
                            self->closed_by_peer_ = true;
                            self->network_->events_.disconnected(self->peer_.member);
                            self->connect();
                          });
}

void PeerLink::start_connect_timeout() {
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->network_ == nullptr || self->connected_) return;
    asio::error_code ignored;
    self->socket_.close(ignored);
  });
}

void PeerLink::reconnect_later() {
  timer_.expires_after(kReconnectDelay);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && self->network_ != nullptr) self->connect();
  });
}

}  // namespace violetpulley::peers
