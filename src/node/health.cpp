#include "node/health.hpp"

namespace violetpulley {

namespace {

/// Contact with the state service or with a peer counts as lost if no answer came for this long.
constexpr std::chrono::seconds kContactTimeout{3};
constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

void HealthMonitor::record_peer_status(const std::string& member, core::TimePoint now,
                                       std::chrono::milliseconds store_silence) {
  peers_[member] = {now, now - store_silence};
}

// A node that has lost the state service is unhealthy if a peer still has contact with the service,
// or if the node has lost all peers too: users must not wait for such a node. If the peers have
// lost the state service as well, the outage is shared and the node stays healthy, because each
// removal from service doubles the duration of the node's next removal.
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
