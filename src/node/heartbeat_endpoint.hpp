/// @file
/// Receives the heartbeats of agents: the leader answers them, every other node responds with the
/// name of the leader. Owns the time of the last heartbeat request.
#pragma once

#include "leader/leader.hpp"
#include "net/http_server.hpp"

namespace violetpulley {

class HeartbeatEndpoint {
 public:
  /// Returns the leader of this node; null unless this node leads and has recovered the state.
  using ReadyLeader = std::function<Leader*()>;

  HeartbeatEndpoint(std::string member, const store::Election& election, ReadyLeader ready_leader)
      : member_(std::move(member)), election_(election), ready_leader_(std::move(ready_leader)) {}

  /// Hands the request to this node's leader. Without one: 421 with the leading member if a peer
  /// leads, otherwise 503.
  void handle(const net::Request& request, const net::Responder& respond);
  /// When the last heartbeat request arrived, whatever the response was; null: never.
  const std::optional<core::TimePoint>& last_request() const { return last_request_; }

 private:
  std::string member_;
  const store::Election& election_;
  ReadyLeader ready_leader_;
  std::optional<core::TimePoint> last_request_;
};

}  // namespace violetpulley
