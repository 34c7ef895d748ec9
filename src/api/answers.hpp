/// @file
/// Builds HTTP responses that report an error. Stateless.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http_types.hpp"

namespace violetpulley::api {

/// Returns a response with the text in the JSON field `error`. `retry`: after how long the client
/// should repeat the request; null: the response does not say.
inline net::Response error_response(int status, const std::string& text,
                                    std::optional<std::chrono::seconds> retry = {}) {
  return {status, nlohmann::json{{"error", text}}.dump(), retry};
}

}  // namespace violetpulley::api
