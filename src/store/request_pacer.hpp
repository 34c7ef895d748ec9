/// @file
/// Sends HTTP requests to the state service at this node's share of its rate limits. Owns the
/// connections, the waiting requests by priority, the back-off after a 429, and the time since
/// which the state service has answered nothing. Knows nothing of the contents of requests.
#pragma once

#include <array>
#include <deque>
#include <random>

#include "async/lifetime.hpp"
#include "core/dispatch/rate_limiter.hpp"
#include "net/http_client.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

/// This node's share of the limits of the state service.
struct StoreShare {
  double requests_per_s = 30;
  double writes_per_s = 8;
};

/// One request to the state service.
struct StoreRequest {
  net::Request request;
  std::chrono::milliseconds timeout;
  double writes = 0;             ///< how much of the write limit the request takes
  net::ResponseHandler handler;  ///< called once, and not after the pacer's end
};

class RequestPacer {
 public:
  /// `seed`: of the generator that draws the jitter of the back-off.
  RequestPacer(asio::io_context& io, const asio::ip::tcp::endpoint& peer, StoreShare share,
               std::uint64_t seed);
  RequestPacer(const RequestPacer&) = delete;
  RequestPacer& operator=(const RequestPacer&) = delete;

  void set_share(StoreShare share);

  /// Sends the request when the share allows, or at once for `RequestPriority::safety`. A user's
  /// request is answered with no response, without being sent, while the state service is silent.
  void send(StoreRequest request, RequestPriority priority);
  /// Sends a request that the state service may keep open until something changes. Such a request
  /// uses the share without waiting for it, and has connections of its own.
  void send_watch(StoreRequest request);

  /// How long a user's write of one change would wait for the share if it came now.
  core::Duration expected_write_wait();
  /// The same for a user's read.
  core::Duration expected_read_wait();
  /// From one write of this node to the next, at its share.
  core::Duration write_interval() const;
  /// Whether requests have been without any answer for longer than the timeout of one.
  bool silent(core::TimePoint now) const;
  /// Whether no request waits for the share.
  bool idle() const;

 private:
  // Reads must not wait behind writes, whose share is smaller by far.
  enum QueueId { user_writes, user_reads, background, kQueues };
  struct QueuedRequest {
    StoreRequest request;
    core::TimePoint retry_until{};  // until then a 429, which is no execution, is tried again
  };

  static QueueId queue_id_of(const StoreRequest& request, RequestPriority priority);
  core::Duration wait_for_share(const StoreRequest& request, core::TimePoint now);
  void send_queued();
  core::Duration send_queued_in(QueueId queue_id);
  void send_now(QueuedRequest queued, QueueId queue_id);
  void note_response(const std::optional<net::Response>& response, core::TimePoint sent);
  void back_off();

  asio::io_context& io_;
  asio::steady_timer timer_;
  net::HttpClient client_;
  net::HttpClient watch_client_;
  core::RateLimiter requests_;
  core::RateLimiter writes_;
  std::array<std::deque<QueuedRequest>, kQueues> queues_;
  std::mt19937_64 random_;
  core::TimePoint resume_at_{};  // no request that waits for the share is sent before
  std::chrono::milliseconds back_off_{0};
  // When the first of the requests was sent that got no answer; empty: the last one was answered.
  std::optional<core::TimePoint> unanswered_since_;
  async::Lifetime lifetime_;  // last member: ends before the others
};

}  // namespace violetpulley::store
