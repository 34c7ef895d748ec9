#include "node/request_router.hpp"

namespace violetpulley {

namespace {

// Wire names: the paths of the public address.
const std::string kHeartbeatPath = "/agent/beat";
const std::string kHealthPath = "/healthz";
const std::string kJobsPath = "/v1/jobs";
const std::string kJobPrefix = "/v1/jobs/";
const std::string kCancelSuffix = "/withdraw";

constexpr const char* kGet = "GET";
constexpr const char* kPost = "POST";

void respond_not_found(const net::Responder& respond) {
  respond({404, R"({"error":"no such path"})", {}});
}

/// Calls `serve` if the request has the method, otherwise responds with 405.
template <class Serve>
void serve_method(const net::Request& request, const char* method, const net::Responder& respond,
                  const Serve& serve) {
  if (request.method == method) return serve();
  respond({405, R"({"error":"method not allowed"})", {}});
}

}  // namespace

void RequestRouter::route(const net::Request& request, const net::Responder& respond) const {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == kHeartbeatPath)
    return serve_method(request, kPost, respond, [&] { endpoints_.heartbeat(request, respond); });
  if (path == kHealthPath)
    return serve_method(request, kGet, respond, [&] { endpoints_.health(respond); });
  if (path == kJobsPath)
    return serve_method(request, kPost, respond,
                        [&] { endpoints_.user_api.submit(request, respond); });
  if (path.starts_with(kJobPrefix))
    return route_job(request, path.substr(kJobPrefix.size()), respond);
  respond_not_found(respond);
}

void RequestRouter::route_job(const net::Request& request, const std::string& name,
                              const net::Responder& respond) const {
  auto& user_api = endpoints_.user_api;
  if (name.ends_with(kCancelSuffix)) {
    const core::JobId id = name.substr(0, name.size() - kCancelSuffix.size());
    return serve_method(request, kPost, respond, [&] { user_api.cancel(id, respond); });
  }
  if (name.find('/') != std::string::npos) return respond_not_found(respond);
  serve_method(request, kGet, respond, [&] { user_api.poll(name, respond); });
}

net::ClientKind RequestRouter::client_kind(const std::string& target) {
  return target.starts_with(kHeartbeatPath) ? net::ClientKind::agent : net::ClientKind::user;
}

}  // namespace violetpulley
