// What operators ask, at an address of their own: `GET /v1/jobs/{id}/why`. Only the leader knows;
// other controllers pass the question on to the leader's host, same port. Bounded: a few questions
// a second are taken, the rest is refused at once.
#pragma once

#include <map>
#include <optional>

#include "core/dispatch/rate_limiter.hpp"
#include "diagnostics/placement_explanation.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace violetpulley::api {

// As the answer holds it.
std::string advice_text(const diagnostics::PlacementExplanation& diagnostics);

class OperatorApi {
 public:
  struct Environment {
    std::vector<core::Team> teams;
    std::function<const std::vector<core::MachineType>&()> types;
    // Null: this controller does not lead, or does not know its state yet.
    std::function<const core::Controller*()> leading;
    // Where the leader's operators ask; none: no leader is known, or it is this controller.
    std::function<std::optional<asio::ip::tcp::endpoint>()> leader;
  };

  // Throws std::system_error if it cannot listen there.
  OperatorApi(asio::io_context& io, const asio::ip::tcp::endpoint& at, Environment environment);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const { return server_.local_endpoint(); }

 private:
  void route(const net::Request& request, const net::Responder& respond);
  void why(const core::JobId& id, bool passed_on, const net::Responder& respond);
  void pass_on(const core::JobId& id, const net::Responder& respond);

  asio::io_context& io_;
  Environment environment_;
  core::RateLimiter questions_;
  // One for each controller that has led: a question under way to an older one is still answered.
  std::map<asio::ip::tcp::endpoint, net::HttpClient> leaders_;
  net::HttpServer server_;
};

}  // namespace violetpulley::api
