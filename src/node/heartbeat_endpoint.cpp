#include "node/heartbeat_endpoint.hpp"

namespace violetpulley {

namespace {

/// Wire name of the field that holds the leading member, in the response of a node that does not
/// lead.
constexpr const char* kLeaderField = "foreman";
constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

void HeartbeatEndpoint::handle(const net::Request& request, const net::Responder& respond) {
  last_request_ = core::Clock::now();
  if (auto* leader = ready_leader_()) return leader->handle_heartbeat(request, respond);
  const auto leader_name = election_.leader_name();
  if (!leader_name.empty() && leader_name != member_)
    return respond({421, store::Json{{kLeaderField, leader_name}}.dump(), {}});
  respond({503, R"({"error":"no leader is known"})", kRetryAfter});
}

}  // namespace violetpulley
