/// @file
/// The operators' HTTP API, at an address of its own: `GET /v1/jobs/{id}/why` returns why a job
/// waits. Only the leader can answer; other controllers forward the request to the same port on the
/// leader's host. Requests beyond a few per second are refused at once. Owns the server and the
/// clients to the leaders.
#pragma once

#include <map>
#include <optional>

#include "core/dispatch/rate_limiter.hpp"
#include "diagnostics/placement_explanation.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace violetpulley::api {

/// Returns the explanation as the JSON body of the response.
std::string explanation_text(const diagnostics::PlacementExplanation& explanation);

class OperatorApi {
 public:
  struct Environment {
    std::vector<core::Team> teams;
    std::function<const std::vector<core::MachineType>&()> types;
    /// Returns the core; null: this controller does not lead, or has not recovered the state yet.
    std::function<const core::Controller*()> leading_core;
    /// Returns the address of the leader's operator API; null: no leader is known, or this
    /// controller leads.
    std::function<std::optional<asio::ip::tcp::endpoint>()> leader_address;
  };

  /// Starts to serve. Throws std::system_error if it cannot listen on the address.
  OperatorApi(asio::io_context& io, const asio::ip::tcp::endpoint& listen_endpoint,
              Environment environment);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  /// The address that the server listens on, with the actual port if port 0 was requested.
  asio::ip::tcp::endpoint local_endpoint() const { return server_.local_endpoint(); }

 private:
  void route(const net::Request& request, const net::Responder& respond);
  /// `forwarded`: the request comes from another controller and must not be forwarded again.
  void explain(const core::JobId& id, bool forwarded, const net::Responder& respond);
  void forward(const core::JobId& id, const net::Responder& respond);

  asio::io_context& io_;
  Environment environment_;
  core::RateLimiter rate_limiter_;
  /// A client for each controller that has led. The client of a former leader is kept, so that a
  /// request in flight to it is still answered.
  std::map<asio::ip::tcp::endpoint, net::HttpClient> leader_clients_;
  net::HttpServer server_;
};

}  // namespace violetpulley::api
