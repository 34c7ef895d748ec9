/// @file
/// Helpers shared by the fakes of the external services and by the tests that use them: loopback
/// endpoints, waiting with a time limit, and query parameters.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <system_error>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace violetpulley::fakes {

using Json = nlohmann::json;
using net::Request;
using net::Responder;

/// A loopback endpoint whose port the system chooses when a server listens on it.
inline asio::ip::tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }

using net::text_of;

/// Loopback endpoints for the servers of other processes. They are below the ports that the system
/// gives to connections, so no connection takes one before the server listens, and each process
/// begins with ports of its own.
class UnusedPorts {
 public:
  explicit UnusedPorts(asio::io_context& io)
      : io_(io), next_(kFirst + static_cast<int>(getpid()) % kBlocks * kBlockSize) {}

  /// The next unused endpoint. It is held until `release`.
  asio::ip::tcp::endpoint next() {
    for (;;) {
      asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                       static_cast<unsigned short>(next_));
      next_ = next_ + 1 < kEnd ? next_ + 1 : kFirst;
      try {
        held_.emplace_back(io_, endpoint);
        return endpoint;
      } catch (const std::system_error&) {  // in use
      }
    }
  }
  void release() { held_.clear(); }

 private:
  static constexpr int kFirst = 10'000;
  static constexpr int kEnd = 32'000;
  static constexpr int kBlockSize = 16;
  static constexpr int kBlocks = (kEnd - kFirst) / kBlockSize;

  asio::io_context& io_;
  int next_;
  std::vector<asio::ip::tcp::acceptor> held_;
};

/// Runs the event loop until `done` returns true. Fails the test after 20 s, far more than a
/// working program needs, instead of hanging.
inline void run_until(asio::io_context& io, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!done()) {
    ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "condition not met within 20 s";
    io.run_one_for(std::chrono::milliseconds(100));
  }
}

/// The value of a query parameter; empty if the parameter is absent.
inline std::string query_parameter(const std::string& target, const std::string& name) {
  const auto position = target.find(name + "=");
  if (position == std::string::npos) return "";
  const auto begin = position + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace violetpulley::fakes
