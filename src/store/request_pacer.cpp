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

RequestPacer::Lane RequestPacer::lane_of(const StoreRequest& request, RequestPriority priority) {
  if (priority != RequestPriority::user) return background;
  return request.writes > 0 ? user_writes : user_reads;
}

void RequestPacer::send(StoreRequest request, RequestPriority priority) {
  const auto now = Clock::now();
  if (priority == RequestPriority::user && silent(now)) {
    asio::post(io_, lifetime_.guard([done = std::move(request.handler)] { done(std::nullopt); }));
    return;
  }
  const auto lane = lane_of(request, priority);
  const auto retry_until = now + request.timeout / 2;
  if (priority == RequestPriority::safety) {
    requests_.force_take(now);
    writes_.force_take(now, request.writes);
    return launch({std::move(request), retry_until}, lane);
  }
  lanes_[lane].push_back({std::move(request), retry_until});
  send_waiting();
}

void RequestPacer::send_watch(StoreRequest request) {
  const auto now = Clock::now();
  requests_.force_take(now);
  watch_client_.request(std::move(request.request), request.timeout,
                        lifetime_.guard([this, now, done = std::move(request.handler)](
                                            std::optional<net::Response> response) {
                          // A watch may stay open through an outage: one without an answer shows
                          // nothing.
                          if (response) note_response(response, now);
                          done(std::move(response));
                        }));
}

void RequestPacer::send_waiting() {
  timer_.cancel();
  auto min_wait = core::Duration::max();
  for (const auto lane : {user_writes, user_reads, background})
    min_wait = std::min(min_wait, send_waiting_of(lane));
  if (min_wait == core::Duration::max()) return;
  timer_.expires_after(min_wait);
  timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (!error) send_waiting();
  }));
}

// Sends what the share allows. Returns how long the next request has to wait; max: none is left.
core::Duration RequestPacer::send_waiting_of(Lane lane) {
  auto& queue = lanes_[lane];
  while (!queue.empty()) {
    const auto now = Clock::now();
    const auto wait = wait_of(queue.front().request, now);
    if (wait > core::Duration::zero()) return wait;
    requests_.force_take(now);
    writes_.force_take(now, queue.front().request.writes);
    auto next = std::move(queue.front());
    queue.pop_front();
    launch(std::move(next), lane);
  }
  return core::Duration::max();
}

void RequestPacer::launch(Waiting waiting, Lane lane) {
  auto request = waiting.request.request;
  const auto timeout = waiting.request.timeout;
  client_.request(std::move(request), timeout,
                  lifetime_.guard([this, lane, sent = Clock::now(), waiting = std::move(waiting)](
                                      std::optional<net::Response> response) mutable {
                    note_response(response, sent);
                    if (response && response->status == net::kStatusTooManyRequests &&
                        Clock::now() < waiting.retry_until) {
                      lanes_[lane].push_front(std::move(waiting));
                      return send_waiting();
                    }
                    const auto done = std::move(waiting.request.handler);
                    done(std::move(response));
                  }));
}

void RequestPacer::note_response(const std::optional<net::Response>& response,
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
  spdlog::debug("state service: 429, backing off {} ms", back_off_.count());
}

core::Duration RequestPacer::wait_of(const StoreRequest& request, core::TimePoint now) {
  auto wait = std::max(requests_.time_until_available(now), resume_at_ - now);
  if (request.writes > 0) wait = std::max(wait, writes_.time_until_available(now, request.writes));
  return wait;
}

core::Duration RequestPacer::expected_write_wait() {
  double writes = 1;
  for (const auto& waiting : lanes_[user_writes]) writes += waiting.request.writes;
  const auto now = Clock::now();
  return std::max(resume_at_ - now, writes_.time_to_accumulate(now, writes));
}

core::Duration RequestPacer::expected_read_wait() {
  const auto now = Clock::now();
  const auto ahead = static_cast<double>(lanes_[user_reads].size()) + 1;
  return std::max(resume_at_ - now, requests_.time_to_accumulate(now, ahead));
}

core::Duration RequestPacer::write_interval() const {
  return core::to_duration(core::Seconds(1.0 / writes_.rate()));
}

bool RequestPacer::silent(core::TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kSilentAfter;
}

bool RequestPacer::idle() const {
  return std::all_of(lanes_.begin(), lanes_.end(), [](const auto& lane) { return lane.empty(); });
}

}  // namespace violetpulley::store
