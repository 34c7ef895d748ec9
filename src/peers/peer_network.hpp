/// @file
/// Connections between the controllers of one deployment. Each controller keeps one outgoing link
/// to every peer and accepts one session from every peer. Carries hints only: the safety rules do
/// not depend on which messages are received or lost.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "async/lifetime.hpp"
#include "config/settings.hpp"
#include "peers/status.hpp"

namespace violetpulley::peers {

class PeerLink;
class PeerSession;

/// Owns the links, the sessions and the set of peers whose process may have ended.
class PeerNetwork {
 public:
  struct Events {
    std::function<void(const Status&)> status_received;
    /// The outgoing connection to the peer ended. A later `process_ended` concerns the process that
    /// held this connection.
    std::function<void(const std::string& member)> disconnected;
    /// The connection to the peer ended and the peer refuses new ones, while another peer is
    /// connected or there is no other peer: the peer's process has most likely ended.
    std::function<void(const std::string& member)> process_ended;
  };

  /// Listens at `listen_endpoint` and connects to all `peers`. Throws std::system_error if the
  /// address cannot be used.
  PeerNetwork(asio::io_context& io, const asio::ip::tcp::endpoint& listen_endpoint,
              const std::vector<config::Peer>& peers, Events events);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /// Sends the status to every connected peer.
  void broadcast(const Status& status);

 private:
  friend class PeerLink;
  friend class PeerSession;
  void accept();
  void suspect(const std::string& member);
  void resolve_suspicions();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer suspicion_timer_;
  std::set<std::string> suspected_;
  Events events_;
  std::vector<std::shared_ptr<PeerLink>> links_;
  std::set<std::shared_ptr<PeerSession>> sessions_;
  async::Lifetime lifetime_;
};

}  // namespace violetpulley::peers
