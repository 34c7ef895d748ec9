/// @file
/// Decides whether this node should receive user requests, from its own contact with the state
/// service and from the contact that its peers report. Owns the time of each node's last answer
/// from the state service.
#pragma once

#include <map>
#include <string>

#include "core/model/types.hpp"
#include "net/http_types.hpp"

namespace violetpulley {

class HealthMonitor {
 public:
  /// Starts as if the state service had answered this node at `now`.
  HealthMonitor(bool has_peers, core::TimePoint now)
      : has_peers_(has_peers), store_answered_(now) {}

  /// The state service has answered this node.
  void record_store_answer(core::TimePoint now) { store_answered_ = now; }
  /// A peer has sent its status. `store_silence`: time since the state service last answered the
  /// peer.
  void record_peer_status(const std::string& member, core::TimePoint now,
                          std::chrono::milliseconds store_silence);
  /// When the state service last answered this node.
  core::TimePoint store_answered() const { return store_answered_; }

  /// `replica_synced`: this node's job replica has been loaded.
  bool healthy(bool replica_synced, core::TimePoint now) const;

 private:
  struct PeerView {
    core::TimePoint last_status{};
    core::TimePoint store_answered{};  ///< When the state service last answered the peer.
  };

  bool has_peers_;
  core::TimePoint store_answered_;
  std::map<std::string, PeerView> peers_;
};

/// Returns the response to a health check.
net::Response health_response(bool healthy);

}  // namespace violetpulley
