#include "peers/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "peers/peer_link.hpp"
#include "peers/peer_session.hpp"

namespace violetpulley::peers {

using asio::ip::tcp;

namespace {
// Time between a refused connection and the decision whether the peer's process has ended.
constexpr std::chrono::milliseconds kSuspicionDelay{100};
// A peer uses one session at a time; the others belong to broken connections that have not been
// detected yet.
constexpr std::size_t kMaxSessionsPerPeer = 8;
}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& io, const tcp::endpoint& listen_endpoint,
                         const std::vector<config::Peer>& peers, Events events)
    : io_(io), acceptor_(io, listen_endpoint), suspicion_timer_(io), events_(std::move(events)) {
  for (const auto& peer : peers) {
    links_.push_back(std::make_shared<PeerLink>(*this, peer));
    links_.back()->connect();
  }
  accept();
}

PeerNetwork::~PeerNetwork() {
  lifetime_.end();
  for (const auto& link : links_) link->detach();
  for (const auto& session : sessions_) session->detach();
}

void PeerNetwork::accept() {
  acceptor_.async_accept(lifetime_.guard([this](const asio::error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && sessions_.size() < kMaxSessionsPerPeer * (links_.size() + 1)) {
      auto session = std::make_shared<PeerSession>(*this, std::move(socket));
      sessions_.insert(session);
      session->receive();
    }
    accept();
  }));
}

// A refused connection does not prove that a process has ended: a packet filter between the nodes
// may refuse all connections at once. So the peer's process counts as ended only if another peer is
// still connected after kSuspicionDelay, or if there is no other peer. A wrong decision costs a
// failover of the whole fleet; waiting for the lease to expire costs only the rest of the lease.
void PeerNetwork::suspect(const std::string& member) {
  suspected_.insert(member);
  suspicion_timer_.expires_after(kSuspicionDelay);
  suspicion_timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) resolve_suspicions();
  }));
}

void PeerNetwork::resolve_suspicions() {
  const auto suspected = std::exchange(suspected_, {});
  const bool any_connected =
      std::any_of(links_.begin(), links_.end(), [](const auto& link) { return link->connected(); });
  for (const auto& member : suspected) {
    if (any_connected || links_.size() == 1)
      events_.process_ended(member);
    else
      spdlog::info(
          "peer {} refuses connections, but no peer is connected: not treated as the end of its "
          "process",
          member);
  }
}

void PeerNetwork::broadcast(const Status& status) {
  const auto frame = encode(status);
  for (const auto& link : links_) link->send(frame);
}

}  // namespace violetpulley::peers
