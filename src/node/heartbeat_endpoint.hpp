/// @file
/// Receives the heartbeats of agents: the leader answers them, every other node names the leader.
/// Owns when an agent last came to this node.
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

  void handle(const net::Request& request, const net::Responder& respond);
  /// When an agent last came, whatever the answer was; null: never.
  const std::optional<core::TimePoint>& last_request() const { return last_request_; }

 private:
  std::string member_;
  const store::Election& election_;
  ReadyLeader ready_leader_;
  std::optional<core::TimePoint> last_request_;
};

}  // namespace violetpulley
