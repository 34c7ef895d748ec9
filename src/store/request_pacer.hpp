/// @file
/// Sends HTTP requests to the state service within this node's share of the service's rate limits.
/// Owns the connections, the request queues by priority, the back-off after a 429, and the time
/// since which no request has got a response. Does not interpret the contents of requests.
#pragma once

#include <array>
#include <deque>
#include <random>

#include "async/lifetime.hpp"
#include "core/dispatch/rate_limiter.hpp"
#include "net/http_client.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

/// This node's share of the rate limits of the state service.
struct StoreShare {
  double requests_per_s = 30;
  double writes_per_s = 8;
};

/// One request to the state service.
struct StoreRequest {
  net::Request request;
  std::chrono::milliseconds timeout;
  double writes = 0;             ///< Number of writes that count against the write limit.
  net::ResponseHandler handler;  ///< Called once, and not after the pacer is destroyed.
};

class RequestPacer {
 public:
  /// `seed` seeds the jitter of the back-off.
  RequestPacer(asio::io_context& io, const asio::ip::tcp::endpoint& peer, StoreShare share,
               std::uint64_t seed);
  RequestPacer(const RequestPacer&) = delete;
  RequestPacer& operator=(const RequestPacer&) = delete;

  void set_share(StoreShare share);

  /// Sends the request when the share allows it, or at once for `RequestPriority::safety`. While
  /// the state service is silent, a user's request is not sent and its handler gets no response.
  void send(StoreRequest request, RequestPriority priority);
  /// Sends a request that the state service may keep open until a key changes. The request counts
  /// against the share without waiting for it and uses separate connections.
  void send_watch(StoreRequest request);

  /// Returns how long a user's write of one change would wait for the share if it were sent now.
  core::Duration expected_write_wait();
  /// Returns how long a user's read would wait for the share if it were sent now.
  core::Duration expected_read_wait();
  /// Returns the average time between two writes at this node's share.
  core::Duration write_interval() const;
  /// Whether the state service has not responded for longer than the timeout of one request.
  bool silent(core::TimePoint now) const;
  /// Whether no request waits for the share.
  bool idle() const;

 private:
  // Reads have a queue of their own, so that they do not wait behind writes, whose share is much
  // smaller.
  enum QueueId { user_writes, user_reads, background, kQueues };
  struct QueuedRequest {
    StoreRequest request;
    core::TimePoint retry_until{};  // a 429, which means not executed, is retried until this time
  };

  static QueueId queue_id_of(const StoreRequest& request, RequestPriority priority);
  core::Duration wait_for_share(const StoreRequest& request, core::TimePoint now);
  void send_queued();
  core::Duration send_queued_in(QueueId queue_id);
  void send_now(QueuedRequest queued, QueueId queue_id);
  void handle_response(const std::optional<net::Response>& response, core::TimePoint sent);
  void back_off();

  asio::io_context& io_;
  asio::steady_timer timer_;
  net::HttpClient client_;
  net::HttpClient watch_client_;
  core::RateLimiter requests_;
  core::RateLimiter writes_;
  std::array<std::deque<QueuedRequest>, kQueues> queues_;
  std::mt19937_64 random_;
  core::TimePoint resume_at_{};  // end of the back-off; queued requests are not sent before
  std::chrono::milliseconds back_off_{0};
  // When the first request without a response since the last response was sent; empty if the last
  // completed request got a response.
  std::optional<core::TimePoint> unanswered_since_;
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::store
