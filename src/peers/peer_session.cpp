#include "peers/peer_session.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "peers/peer_network.hpp"

namespace violetpulley::peers {

PeerSession::PeerSession(PeerNetwork& network, asio::ip::tcp::socket socket)
    : network_(&network), socket_(std::move(socket)) {}

void PeerSession::receive() {
  asio::async_read(socket_, asio::buffer(length_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (self->network_ == nullptr) return;
                     if (error) return self->end();
                     std::size_t size = 0;
                     for (const unsigned char byte : self->length_) size = (size << 8U) | byte;
                     if (size == 0 || size > kMaxFrameBodyBytes) return self->end();
                     self->body_.resize(size);
                     self->receive_body();
                   });
}

void PeerSession::receive_body() {
  asio::async_read(socket_, asio::buffer(body_),
                   [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                     if (self->network_ == nullptr) return;
                     if (error) return self->end();
                     self->handle_body();
                   });
}

void PeerSession::handle_body() {
  try {
    network_->events_.status_received(decode(body_.data(), body_.size()));
  } catch (const std::exception& problem) {
    spdlog::warn("malformed peer message, closing the connection: {}", problem.what());
    return end();
  }
  receive();
}

void PeerSession::detach() {
  network_ = nullptr;
  asio::error_code ignored;
  socket_.close(ignored);
}

void PeerSession::end() {
  const auto self = shared_from_this();
  network_->sessions_.erase(self);
  detach();
}

}  // namespace violetpulley::peers
