/// @file
/// HTTP messages as the client and the server represent them. No header is represented except
/// Retry-After.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace violetpulley::net {

struct Request {
  /// "GET", "POST", "DELETE".
  std::string method;
  /// Path and query, as in the request line.
  std::string target;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  /// Sent by the server as Retry-After; the client does not read the header.
  std::optional<std::chrono::seconds> retry_after;
};

/// Largest request body that is accepted (PROTOCOL).
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

}  // namespace violetpulley::net
