#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace violetpulley::net {

struct Request {
  std::string method;
  std::string target;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  std::optional<std::chrono::seconds> retry_after;
};

inline constexpr std::size_t kMaxBody = 64 * 1024;

}  // namespace violetpulley::net
