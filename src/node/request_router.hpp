/// @file
/// Maps the paths and methods of the public address to the components that serve them. Owns no
/// state.
#pragma once

#include "api/user_api.hpp"
#include "net/http_server.hpp"

namespace violetpulley {

class RequestRouter {
 public:
  struct Endpoints {
    std::function<void(const net::Request&, const net::Responder&)> heartbeat;
    std::function<void(const net::Responder&)> health;
    api::UserApi& user_api;
  };

  explicit RequestRouter(Endpoints endpoints) : endpoints_(std::move(endpoints)) {}

  /// Hands the request to its endpoint. Responds with 404 to an unknown path and with 405 to a
  /// method that the path does not support.
  void route(const net::Request& request, const net::Responder& respond) const;

  /// Returns the kind of client that requests `target`: agents request only the heartbeat path.
  static net::ClientKind client_kind(const std::string& target);

 private:
  void route_job(const net::Request& request, const std::string& name,
                 const net::Responder& respond) const;

  Endpoints endpoints_;
};

}  // namespace violetpulley
