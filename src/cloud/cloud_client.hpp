// The cloud by its protocol, paced under its rate. Returns of machines go first.
#pragma once

#include <deque>

#include "core/controller.hpp"
#include "core/dispatch/rate_limiter.hpp"
#include "net/http_client.hpp"

namespace violetpulley::cloud {

class CloudClient {
 public:
  CloudClient(asio::io_context& io, const asio::ip::tcp::endpoint& peer, double requests_per_s);
  ~CloudClient();
  CloudClient(const CloudClient&) = delete;
  CloudClient& operator=(const CloudClient&) = delete;

  struct Catalog {
    std::vector<core::MachineType> types;
    std::string body;  // as the cloud sent it
  };
  void catalog(std::function<void(std::optional<Catalog>)> done);
  void request_machines(const core::ScaleOut& request,
                        std::function<void(core::ScaleOutResult)> done);
  void release(const std::vector<core::MachineId>& machines, std::function<void(bool)> done);
  void list(std::function<void(std::optional<std::vector<core::ListedMachine>>)> done);

 private:
  struct Work {
    net::Request request;
    net::ResponseHandler handler;
  };
  void send(Work work, bool first);
  void pump();
  void list_page(const std::string& since,
                 std::shared_ptr<std::vector<core::ListedMachine>> gathered,
                 std::function<void(std::optional<std::vector<core::ListedMachine>>)> done);

  asio::steady_timer timer_;
  net::HttpClient client_;
  core::RateLimiter rate_;
  std::deque<Work> queue_;
  core::TimePoint resume_at_{};
  bool pumping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::vector<core::MachineType> parse_catalog(const std::string& body);

}  // namespace violetpulley::cloud
