// Answers that tell what is wrong.
#pragma once

#include <nlohmann/json.hpp>

#include "net/http_types.hpp"

namespace violetpulley::api {

// `retry`: when to come back.
inline net::Response error(int status, const std::string& text,
                           std::optional<std::chrono::seconds> retry = {}) {
  return {status, nlohmann::json{{"error", text}}.dump(), retry};
}

}  // namespace violetpulley::api
