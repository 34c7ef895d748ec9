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
  using Handler = std::function<std::optional<net::Response>(const net::Request&)>;

  explicit RecordingPeer(asio::io_context& io)
      : server_(io, {asio::ip::make_address("127.0.0.1"), 0}, {},
                [this](net::Request&& request, const net::Responder& respond) {
                  record(request);
                  if (const auto response = next_response(request)) respond(*response);
                }) {}

  asio::ip::tcp::endpoint endpoint() const { return server_.local_endpoint(); }
  void set_handler(Handler handler) { handler_ = std::move(handler); }
  /// A list of {status, body}, given in this order.
  void set_responses(const nlohmann::json& responses) {
    responses_.assign(responses.begin(), responses.end());
  }

  const nlohmann::json& requests() const { return requests_; }
  nlohmann::json take_requests() { return std::exchange(requests_, nlohmann::json::array()); }

 private:
  void record(const net::Request& request) {
    requests_.push_back({{"method", request.method},
                         {"target", request.target},
                         {"body", mask_submission_time(request.body)}});
  }
  std::optional<net::Response> next_response(const net::Request& request) {
    if (handler_) return handler_(request);
    if (responses_.empty()) return std::nullopt;
    const auto response = std::move(responses_.front());
    responses_.pop_front();
    return net::Response{
        response.at("status").get<int>(), response.at("body").get<std::string>(), {}};
  }
  /// The time of day in a job's record is the run's own.
  static std::string mask_submission_time(std::string body) {
    const std::string field = "\"submitted_ms\":";
    const auto position = body.find(field);
    if (position == std::string::npos) return body;
    const auto begin = position + field.size();
    return body.replace(begin, body.find_first_not_of("0123456789", begin) - begin, "0");
  }

  nlohmann::json requests_ = nlohmann::json::array();
  std::deque<nlohmann::json> responses_;
  Handler handler_;
  net::HttpServer server_;
};

}  // namespace violetpulley::golden
