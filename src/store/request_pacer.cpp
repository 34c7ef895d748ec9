#include "store/request_pacer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "net/http_status.hpp"
#include "store/store_codec.hpp"

namespace violetpulley::store {

using core::Clock;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t kConnections = 16;
constexpr std::size_t kWatchConnections = 6;
constexpr milliseconds kSilentAfter{1500};
constexpr milliseconds kMinBackOff{50};
constexpr milliseconds kMaxBackOff{1000};
}  // namespace

RequestPacer::RequestPacer(asio::io_context& io, const asio::ip::tcp::endpoint& peer,
                           StoreShare share, std::uint64_t seed)
    : io_(io),
      timer_(io),
      client_(io, peer, kConnections),
      watch_client_(io, peer, kWatchConnections),
      requests_(share.requests_per_s, share.requests_per_s),
      writes_(share.writes_per_s, share.writes_per_s),
      random_(seed) {}

void RequestPacer::set_share(StoreShare share) {
  requests_.set_rate(share.requests_per_s, share.requests_per_s);
  writes_.set_rate(share.writes_per_s, share.writes_per_s);
}

RequestPacer::QueueId RequestPacer::queue_id_of(const StoreRequest& request,
                                                RequestPriority priority) {
  if (priority != RequestPriority::user) return background;
  return request.writes > 0 ? user_writes : user_reads;
}

void RequestPacer::send(StoreRequest request, RequestPriority priority) {
  const auto now = Clock::now();
  if (priority == RequestPriority::user && silent(now)) {
    asio::post(io_, lifetime_.guard([done = std::move(request.handler)] { done(std::nullopt); }));
    return;
  }
  const auto queue_id = queue_id_of(request, priority);
  const auto retry_until = now + request.timeout / 2;
  if (priority == RequestPriority::safety) {
    requests_.force_take(now);
    writes_.force_take(now, request.writes);
    return send_now({std::move(request), retry_until}, queue_id);
  }
  queues_[queue_id].push_back({std::move(request), retry_until});
  send_queued();
}

void RequestPacer::send_watch(StoreRequest request) {
  const auto now = Clock::now();
  requests_.force_take(now);
  watch_client_.request(std::move(request.request), request.timeout,
                        lifetime_.guard([this, now, done = std::move(request.handler)](
                                            std::optional<net::Response> response) {
                          // A watch may stay open throughout an outage, so a missing response does
                          // not show that the state service is silent.
                          if (response) handle_response(response, now);
                          done(std::move(response));
                        }));
}

void RequestPacer::send_queued() {
  timer_.cancel();
  auto min_wait = core::Duration::max();
  for (const auto queue_id : {user_writes, user_reads, background})
    min_wait = std::min(min_wait, send_queued_in(queue_id));
  if (min_wait == core::Duration::max()) return;
  timer_.expires_after(min_wait);
  timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) send_queued();
  }));
}

// Sends the queued requests that the share allows. Returns how long the next request must wait, or
// Duration::max() if the queue is empty.
core::Duration RequestPacer::send_queued_in(QueueId queue_id) {
  auto& queue = queues_[queue_id];
  while (!queue.empty()) {
    const auto now = Clock::now();
    const auto wait = wait_for_share(queue.front().request, now);
    if (wait > core::Duration::zero()) return wait;
    requests_.force_take(now);
    writes_.force_take(now, queue.front().request.writes);
    auto next = std::move(queue.front());
    queue.pop_front();
    send_now(std::move(next), queue_id);
  }
  return core::Duration::max();
}

void RequestPacer::send_now(QueuedRequest queued, QueueId queue_id) {
  auto request = queued.request.request;
  const auto timeout = queued.request.timeout;
  client_.request(std::move(request), timeout,
                  lifetime_.guard([this, queue_id, sent = Clock::now(), queued = std::move(queued)](
                                      std::optional<net::Response> response) mutable {
                    handle_response(response, sent);
                    if (response && response->status == net::kStatusTooManyRequests &&
                        Clock::now() < queued.retry_until) {
                      queues_[queue_id].push_front(std::move(queued));
                      return send_queued();
                    }
                    const auto done = std::move(queued.request.handler);
                    done(std::move(response));
                  }));
}

void RequestPacer::handle_response(const std::optional<net::Response>& response,
                                   core::TimePoint sent) {
  if (response)
    unanswered_since_.reset();
  else if (!unanswered_since_)
    unanswered_since_ = sent;
  if (!response) return;
  if (response->status == net::kStatusTooManyRequests)
    back_off();
  else
    back_off_ = milliseconds(0);
}

void RequestPacer::back_off() {
  back_off_ = std::clamp(back_off_ * 2, kMinBackOff, kMaxBackOff);
  std::uniform_int_distribution<long> jitter(back_off_.count() / 2, back_off_.count());
  resume_at_ = Clock::now() + milliseconds(jitter(random_));
  spdlog::debug("state service responded with 429; backing off for at most {} ms",
                back_off_.count());
}

core::Duration RequestPacer::wait_for_share(const StoreRequest& request, core::TimePoint now) {
  auto wait = std::max(requests_.time_until_available(now), resume_at_ - now);
  if (request.writes > 0) wait = std::max(wait, writes_.time_until_available(now, request.writes));
  return wait;
}

core::Duration RequestPacer::expected_write_wait() {
  double writes = 1;
  for (const auto& queued : queues_[user_writes]) writes += queued.request.writes;
  const auto now = Clock::now();
  return std::max(resume_at_ - now, writes_.time_to_accumulate(now, writes));
}

core::Duration RequestPacer::expected_read_wait() {
  const auto now = Clock::now();
  const auto ahead = static_cast<double>(queues_[user_reads].size()) + 1;
  return std::max(resume_at_ - now, requests_.time_to_accumulate(now, ahead));
}

core::Duration RequestPacer::write_interval() const {
  return core::to_duration(core::Seconds(1.0 / writes_.rate()));
}

bool RequestPacer::silent(core::TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kSilentAfter;
}

bool RequestPacer::idle() const {
  return std::all_of(queues_.begin(), queues_.end(),
                     [](const auto& queue) { return queue.empty(); });
}

}  // namespace violetpulley::store
