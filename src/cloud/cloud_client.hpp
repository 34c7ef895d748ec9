/// @file
/// Client of the cloud's machine API. Keeps to the cloud's request limit and sends returns of
/// machines before other requests. Owns the connections, the queued requests and the pause after a
/// 429 response. Each `done` is called exactly once, never from within the call, and not after the
/// client was destroyed.
#pragma once

#include <deque>

#include "async/lifetime.hpp"
#include "cloud/cloud_codec.hpp"
#include "core/dispatch/rate_limiter.hpp"
#include "net/http_client.hpp"

namespace violetpulley::cloud {

class CloudClient {
 public:
  using Catalog = cloud::Catalog;
  using CatalogHandler = std::function<void(std::optional<Catalog>)>;
  using ScaleOutHandler = std::function<void(core::ScaleOutResult)>;
  using ReleaseHandler = std::function<void(bool released)>;
  using ListHandler = std::function<void(std::optional<std::vector<core::ListedMachine>>)>;

  CloudClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, double requests_per_s);
  CloudClient(const CloudClient&) = delete;
  CloudClient& operator=(const CloudClient&) = delete;

  /// Reads the machine types. `done` receives null if there is no usable response.
  void catalog(CatalogHandler done);
  /// Requests machines. Without a response the result is unknown, because the request may have been
  /// executed.
  void request_machines(const core::ScaleOut& request, ScaleOutHandler done);
  /// Returns machines. `done` receives false if the cloud has not confirmed the return.
  void release(const std::vector<core::MachineId>& machines, ReleaseHandler done);
  /// Reads the list of all rented machines, page by page. `done` receives null if a page has no
  /// usable response.
  void list(const ListHandler& done);

 private:
  struct QueuedRequest {
    net::Request request;
    net::ResponseHandler handler;
  };
  void enqueue(QueuedRequest queued);
  void enqueue_first(QueuedRequest queued);
  void send_queued();
  void send_queued_after(core::Duration wait);
  void start_request(QueuedRequest queued);
  void list_page(const core::MachineId& since,
                 const std::shared_ptr<std::vector<core::ListedMachine>>& listed,
                 const ListHandler& done);

  asio::steady_timer timer_;
  net::HttpClient client_;
  core::RateLimiter rate_limiter_;
  std::deque<QueuedRequest> queue_;
  core::TimePoint resume_at_{};  ///< End of the pause after a 429 response.
  bool timer_running_ = false;
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::cloud
