/// @file
/// The outgoing connection to one peer: connects, sends the newest status, reconnects. Owns the
/// socket and the frame that waits to be sent.
#pragma once

#include <asio.hpp>
#include <memory>
#include <string>

#include "config/settings.hpp"

namespace violetpulley::peers {

class PeerNetwork;

/// Shared by the network and the pending callbacks, which keep the link alive until they have run.
/// A detached link does nothing.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(PeerNetwork& network, const config::Peer& peer);

  /// Opens the connection, and reopens it whenever it ends.
  void connect();
  /// Sends a frame; discards it while there is no connection. While another frame is being written,
  /// only the newest frame is kept to be sent next.
  void send(const std::string& frame);
  bool connected() const { return connected_; }
  /// Closes the connection; called when the network is destroyed.
  void detach();

 private:
  void connection_established();
  void connection_failed(const asio::error_code& error);
  void wait_for_disconnect();
  void start_connect_timeout();
  void reconnect_later();

  PeerNetwork* network_;  ///< Null: detached.
  config::Peer peer_;
  asio::ip::tcp::endpoint endpoint_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string output_;
  std::string next_frame_;
  char byte_ = 0;  ///< Buffer of the read that detects the end of the connection.
  bool connected_ = false;
  /// An established connection has ended; reset by the next connection or refusal.
  bool closed_by_peer_ = false;
  bool writing_ = false;
};

}  // namespace violetpulley::peers
