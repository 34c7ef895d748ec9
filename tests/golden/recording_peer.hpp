/// @file
/// An HTTP server that records each request and responds as the test specifies: with the responses
/// of a list in turn, or with those of a handler. It owns the recorded requests.
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
  /// Returns the response to a request; nullopt leaves the request unanswered.
  using Handler = std::function<std::optional<net::Response>(const net::Request&)>;

  explicit RecordingPeer(asio::io_context& io)
      : server_(io, {asio::ip::make_address("127.0.0.1"), 0}, {},
                [this](net::Request&& request, const net::Responder& respond) {
                  record(request);
                  if (const auto response = next_response(request)) respond(*response);
                }) {}

  asio::ip::tcp::endpoint endpoint() const { return server_.local_endpoint(); }
  void set_handler(Handler handler) { handler_ = std::move(handler); }
  /// Sets a list of {status, body}, used in this order. Further requests stay unanswered.
  void set_responses(const nlohmann::json& responses) {
    responses_.assign(responses.begin(), responses.end());
  }

  /// The recorded requests: method, target, and body with the submission time masked.
  const nlohmann::json& requests() const { return requests_; }
  /// Returns the recorded requests and clears the record.
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
  /// Replaces the submission time in a job record by 0, since it differs from run to run.
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
