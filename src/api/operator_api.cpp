#include "api/operator_api.hpp"

#include "api/answers.hpp"

namespace violetpulley::api {

namespace {

using Json = nlohmann::json;

// Wire names: the path of an explanation is /v1/jobs/{id}/why; the query marks a request that
// another controller has forwarded.
const std::string kJobsPrefix = "/v1/jobs/";
const std::string kWhySuffix = "/why";
const std::string kForwardedQuery = "?passed-on";

constexpr double kRequestsPerSecond = 5;
constexpr std::chrono::milliseconds kForwardTimeout{1500};
constexpr std::size_t kMaxForwarded = 2;  // in flight to one leader
constexpr std::chrono::seconds kRetryAfter{1};
constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxBodyBytes = 1024;

net::ServerLimits limits() {
  net::ServerLimits out;
  out.max_connections = kMaxConnections;
  out.max_body_bytes = kMaxBodyBytes;
  return out;
}

}  // namespace

std::string explanation_text(const diagnostics::PlacementExplanation& explanation) {
  Json causes = Json::array();
  for (const auto& cause : explanation.causes)
    causes.push_back({{"code", cause.code}, {"text", cause.text}});
  Json out{{"job", explanation.job},
           {"waiting", explanation.waiting},
           {"on_machines", explanation.on_machines},
           {"done", explanation.done},
           {"bound", explanation.bound},
           {"impossible", explanation.impossible},
           {"causes", std::move(causes)},
           {"machines", explanation.machines},
           {"set_aside", explanation.set_aside},
           {"rentable_types", explanation.rentable_types},
           {"fits_in_s", nullptr}};
  if (explanation.fits_in) out["fits_in_s"] = std::round(explanation.fits_in->count() * 10) / 10;
  return out.dump();
}

OperatorApi::OperatorApi(asio::io_context& io, const asio::ip::tcp::endpoint& listen_endpoint,
                         Environment environment)
    : io_(io),
      environment_(std::move(environment)),
      rate_limiter_(kRequestsPerSecond, kRequestsPerSecond),
      server_(io, listen_endpoint, limits(),
              [this](net::Request&& request, const net::Responder& respond) {
                route(request, respond);
              }) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::route(const net::Request& request, const net::Responder& respond) {
  const bool forwarded = request.target.ends_with(kForwardedQuery);
  const auto path = request.target.substr(0, request.target.find('?'));
  const auto affixes = kJobsPrefix.size() + kWhySuffix.size();
  if (!path.starts_with(kJobsPrefix) || !path.ends_with(kWhySuffix) || path.size() <= affixes)
    return respond(error_response(404, "no such path"));
  if (request.method != "GET") return respond(error_response(405, "method not allowed"));
  const auto id = path.substr(kJobsPrefix.size(), path.size() - affixes);
  if (id.find('/') != std::string::npos) return respond(error_response(404, "no such path"));
  explain(id, forwarded, respond);
}

void OperatorApi::explain(const core::JobId& id, bool forwarded, const net::Responder& respond) {
  const auto now = core::Clock::now();
  if (!rate_limiter_.take(now))
    return respond(error_response(429, "too many questions at once", kRetryAfter));
  const auto* controller = environment_.leading_core();
  if (controller == nullptr) {
    // A request is forwarded only once, even if another controller leads by now.
    if (forwarded)
      return respond(error_response(503, "this controller does not lead", kRetryAfter));
    return forward(id, respond);
  }
  const auto explanation = diagnostics::explain_placement(*controller, environment_.teams,
                                                          environment_.types(), id, now);
  if (!explanation) return respond(error_response(404, "no such open job"));
  respond({200, explanation_text(*explanation), {}});
}

void OperatorApi::forward(const core::JobId& id, const net::Responder& respond) {
  const auto leader = environment_.leader_address();
  if (!leader) return respond(error_response(503, "no leader is known", kRetryAfter));
  auto& client = leader_clients_.try_emplace(*leader, io_, *leader, kMaxForwarded).first->second;
  client.request({"GET", kJobsPrefix + id + kWhySuffix + kForwardedQuery, ""}, kForwardTimeout,
                 [respond](std::optional<net::Response> response) {
                   if (!response)
                     return respond(error_response(503, "the leader did not answer", kRetryAfter));
                   if (response->status == 429 || response->status == 503)
                     response->retry_after = kRetryAfter;
                   respond(std::move(*response));
                 });
}

}  // namespace violetpulley::api
