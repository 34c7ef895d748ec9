/// @file
/// An incoming connection that a peer opened: receives status frames. Owns the socket and the frame
/// that is being received.
#pragma once

#include <array>
#include <asio.hpp>
#include <memory>
#include <vector>

namespace violetpulley::peers {

class PeerNetwork;

/// Shared by the network and the pending callbacks, which keep the session alive until they have
/// run. A malformed frame ends the session.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(PeerNetwork& network, asio::ip::tcp::socket socket);

  /// Receives frames until the connection ends.
  void receive();
  /// Closes the connection; called when the network is destroyed.
  void detach();

 private:
  static constexpr std::size_t kLengthBytes = 4;

  void receive_body();
  void handle_body();
  void end();

  PeerNetwork* network_;  ///< Null: detached.
  asio::ip::tcp::socket socket_;
  std::array<unsigned char, kLengthBytes> length_{};
  std::vector<char> body_;
};

}  // namespace violetpulley::peers
