/// @file
/// The outgoing connection to one peer: connects, sends the newest status, reconnects.
#pragma once

#include <asio.hpp>
#include <memory>
#include <string>

#include "config/settings.hpp"

namespace violetpulley::peers {

class PeerNetwork;

/// Owned by the network; callbacks keep the link alive until they have run. A detached link does
/// nothing more.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(PeerNetwork& network, const config::Peer& peer);

  /// Opens the connection, and opens a new one whenever the connection ends.
  void connect();
  /// Sends a frame. While another frame is being written, only the newest one is kept for later.
  void send(const std::string& frame);
  bool connected() const { return connected_; }
  /// The network is ending.
  void detach();

 private:
  void connection_established();
  void connection_failed(const asio::error_code& error);
  void wait_for_disconnect();
  void start_connect_timeout();
  void reconnect_later();

  PeerNetwork* network_;  // null: detached
  config::Peer peer_;
  asio::ip::tcp::endpoint endpoint_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string output_;
  std::string next_frame_;
  char byte_ = 0;
  bool connected_ = false;
  bool closed_by_peer_ = false;
  bool writing_ = false;
};

}  // namespace violetpulley::peers
