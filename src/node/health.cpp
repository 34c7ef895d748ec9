#include "node/health.hpp"

namespace violetpulley {

namespace {

/// Without an answer for longer, contact with the state service or with a peer counts as lost.
constexpr std::chrono::seconds kContactTimeout{3};
constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

void HealthMonitor::note_peer_status(const std::string& member, core::TimePoint now,
                                     std::chrono::milliseconds store_silence) {
  peers_[member] = {now, now - store_silence};
}

// A node that has lost the state service while a peer has contact is unhealthy, and so is a node
// that has lost the state service and all peers: users must not wait for such a node. In an outage
// of the state service that all nodes share a node stays healthy: each removal from service would
// double the time for which the node stays removed afterwards.
bool HealthMonitor::healthy(bool replica_synced, core::TimePoint now) const {
  if (!replica_synced) return false;
  if (now - store_answered_ < kContactTimeout) return true;
  bool any_peer_responsive = !has_peers_;
  for (const auto& [member, peer] : peers_) {
    if (now - peer.last_status > kContactTimeout) continue;
    any_peer_responsive = true;
    if (now - peer.store_answered < kContactTimeout) return false;
  }
  return any_peer_responsive;
}

net::Response health_response(bool healthy) {
  if (healthy) return {200, R"({"status":"ok"})", {}};
  return {503, R"({"status":"the state service is out of reach"})", kRetryAfter};
}

}  // namespace violetpulley
