/// @file
/// What the fakes of the outside systems share.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace violetpulley::fakes {

using Json = nlohmann::json;
using net::Request;
using net::Responder;

inline asio::ip::tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }

using net::text_of;

/// Runs until `done` holds. The bound, which no working program meets, makes a failure of a hang.
inline void run_until(asio::io_context& io, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done()) {
    ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "what is waited for does not come";
    io.run_one_for(std::chrono::milliseconds(100));
  }
}

/// The value of a query parameter; empty: it is absent.
inline std::string query_parameter(const std::string& target, const std::string& name) {
  const auto position = target.find(name + "=");
  if (position == std::string::npos) return "";
  const auto begin = position + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace violetpulley::fakes
