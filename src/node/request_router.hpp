/// @file
/// The paths and methods of the public address and what serves each of them.
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

  /// Hands the request to its endpoint; 404 for an unknown path, 405 for another method.
  void route(const net::Request& request, const net::Responder& respond) const;

  /// The kind of peer that requests `target`: an agent sends nothing but heartbeats.
  static net::ClientKind client_kind(const std::string& target);

 private:
  void route_job(const net::Request& request, const std::string& name,
                 const net::Responder& respond) const;

  Endpoints endpoints_;
};

}  // namespace violetpulley
