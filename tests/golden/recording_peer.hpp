/// @file
/// An HTTP peer that records each request and gives answers set by the test.
#pragma once

#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "net/http_server.hpp"

namespace violetpulley::golden {

class RecordingPeer {
 public:
  /// No answer leaves the request open.
  using Route = std::function<std::optional<net::Response>(const net::Request&)>;

  explicit RecordingPeer(asio::io_context& io)
      : server_(io, {asio::ip::make_address("127.0.0.1"), 0}, {},
                [this](net::Request&& request, const net::Responder& respond) {
                  record(request);
                  if (const auto response = answer(request)) respond(*response);
                }) {}

  asio::ip::tcp::endpoint endpoint() const { return server_.local_endpoint(); }
  void set_route(Route route) { route_ = std::move(route); }
  /// A list of {status, body}, given in this order.
  void set_answers(const nlohmann::json& answers) {
    answers_.assign(answers.begin(), answers.end());
  }

  const nlohmann::json& requests() const { return requests_; }
  nlohmann::json take_requests() { return std::exchange(requests_, nlohmann::json::array()); }

 private:
  void record(const net::Request& request) {
    requests_.push_back({{"method", request.method},
                         {"target", request.target},
                         {"body", without_submission_time(request.body)}});
  }
  std::optional<net::Response> answer(const net::Request& request) {
    if (route_) return route_(request);
    if (answers_.empty()) return std::nullopt;
    const auto next = std::move(answers_.front());
    answers_.pop_front();
    return net::Response{next.at("status").get<int>(), next.at("body").get<std::string>(), {}};
  }
  /// The time of day in a job's record is the run's own.
  static std::string without_submission_time(std::string body) {
    const std::string field = "\"submitted_ms\":";
    const auto at = body.find(field);
    if (at == std::string::npos) return body;
    const auto from = at + field.size();
    return body.replace(from, body.find_first_not_of("0123456789", from) - from, "0");
  }

  nlohmann::json requests_ = nlohmann::json::array();
  std::deque<nlohmann::json> answers_;
  Route route_;
  net::HttpServer server_;
};

}  // namespace violetpulley::golden
