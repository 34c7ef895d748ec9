#include "api/operator_api.hpp"

#include "api/answers.hpp"

namespace violetpulley::api {

namespace {

using Json = nlohmann::json;

constexpr double kQuestionsPerSecond = 5;
constexpr std::chrono::milliseconds kPassedOnFor{1500};
constexpr std::size_t kPassedOnAtOnce = 2;
constexpr std::chrono::seconds kRetry{1};
const std::string kPassedOn = "?passed-on";

net::ServerLimits limits() {
  net::ServerLimits out;
  out.max_connections = 16;
  out.max_body = 1024;
  return out;
}

}  // namespace

std::string advice_text(const diagnostics::PlacementExplanation& diagnostics) {
  Json causes = Json::array();
  for (const auto& cause : diagnostics.causes)
    causes.push_back({{"code", cause.code}, {"text", cause.text}});
  Json out{{"job", diagnostics.job},
           {"waiting", diagnostics.waiting},
           {"on_machines", diagnostics.on_machines},
           {"done", diagnostics.done},
           {"bound", diagnostics.bound},
           {"impossible", diagnostics.impossible},
           {"causes", std::move(causes)},
           {"machines", diagnostics.machines},
           {"set_aside", diagnostics.set_aside},
           {"rentable_types", diagnostics.rentable_types},
           {"fits_in_s", nullptr}};
  if (diagnostics.fits_in) out["fits_in_s"] = std::round(diagnostics.fits_in->count() * 10) / 10;
  return out.dump();
}

OperatorApi::OperatorApi(asio::io_context& io, const asio::ip::tcp::endpoint& at,
                         Environment environment)
    : io_(io),
      environment_(std::move(environment)),
      questions_(kQuestionsPerSecond, kQuestionsPerSecond),
      server_(io, at, limits(), [this](net::Request&& request, const net::Responder& respond) {
        route(request, respond);
      }) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::route(const net::Request& request, const net::Responder& respond) {
  static const std::string jobs = "/v1/jobs/";
  static const std::string suffix = "/why";
  auto path = request.target;
  const bool passed_on = path.ends_with(kPassedOn);
  path = path.substr(0, path.find('?'));
  if (!path.starts_with(jobs) || !path.ends_with(suffix) ||
      path.size() <= jobs.size() + suffix.size())
    return respond(error(404, "no such path"));
  if (request.method != "GET") return respond(error(405, "method not allowed"));
  const auto id = path.substr(jobs.size(), path.size() - jobs.size() - suffix.size());
  if (id.find('/') != std::string::npos) return respond(error(404, "no such path"));
  why(id, passed_on, respond);
}

void OperatorApi::why(const core::JobId& id, bool passed_on, const net::Responder& respond) {
  const auto now = core::Clock::now();
  if (!questions_.take(now)) return respond(error(429, "too many questions at once", kRetry));
  const auto* controller = environment_.leading();
  if (controller == nullptr) {
    // A question goes one step and no further, whoever leads by then.
    if (passed_on) return respond(error(503, "this controller does not lead", kRetry));
    return pass_on(id, respond);
  }
  const auto diagnostics =
      diagnostics::explain_placement(*controller, environment_.teams, environment_.types(), id, now);
  if (!diagnostics) return respond(error(404, "no such open job"));
  respond({200, advice_text(*diagnostics), {}});
}

void OperatorApi::pass_on(const core::JobId& id, const net::Responder& respond) {
  const auto leader = environment_.leader();
  if (!leader) return respond(error(503, "no leader is known", kRetry));
  auto& client = leaders_.try_emplace(*leader, io_, *leader, kPassedOnAtOnce).first->second;
  client.request({"GET", "/v1/jobs/" + id + "/why" + kPassedOn, ""}, kPassedOnFor,
                 [respond](std::optional<net::Response> response) {
                   if (!response) return respond(error(503, "the leader did not answer", kRetry));
                   if (response->status == 429 || response->status == 503)
                     response->retry_after = kRetry;
                   respond(std::move(*response));
                 });
}

}  // namespace violetpulley::api
