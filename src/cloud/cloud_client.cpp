#include "cloud/cloud_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "net/http_status.hpp"

namespace violetpulley::cloud {

using core::Clock;
using std::chrono::milliseconds;

namespace {

using OptionalResponse = std::optional<net::Response>;

constexpr milliseconds kTimeout{5000};
constexpr milliseconds kPauseAfterTooManyRequests{400};
constexpr std::size_t kMaxConnections = 8;

bool is_ok(const OptionalResponse& response) {
  return response && response->status == net::kStatusOk;
}

}  // namespace

CloudClient::CloudClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint,
                         double requests_per_s)
    : timer_(io),
      client_(io, endpoint, kMaxConnections),
      rate_limiter_(requests_per_s, std::max(1.0, requests_per_s)) {}

void CloudClient::enqueue(QueuedRequest queued) {
  queue_.push_back(std::move(queued));
  send_queued();
}

void CloudClient::enqueue_first(QueuedRequest queued) {
  queue_.push_front(std::move(queued));
  send_queued();
}

void CloudClient::send_queued() {
  if (timer_running_) return;
  while (!queue_.empty()) {
    const auto now = Clock::now();
    const auto wait = std::max(rate_limiter_.time_until_available(now), resume_at_ - now);
    if (wait > core::Duration::zero()) return send_queued_after(wait);
    rate_limiter_.force_take(now);
    auto next = std::move(queue_.front());
    queue_.pop_front();
    start_request(std::move(next));
  }
}

void CloudClient::send_queued_after(core::Duration wait) {
  timer_running_ = true;
  timer_.expires_after(wait);
  timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
    if (error) return;
    timer_running_ = false;
    send_queued();
  }));
}

void CloudClient::start_request(QueuedRequest queued) {
  client_.request(
      std::move(queued.request), kTimeout,
      lifetime_.guard([this, done = std::move(queued.handler)](OptionalResponse response) {
        if (response && response->status == net::kStatusTooManyRequests)
          resume_at_ = Clock::now() + kPauseAfterTooManyRequests;
        done(std::move(response));
      }));
}

void CloudClient::catalog(CatalogHandler done) {
  enqueue({encode_catalog_request(), [done = std::move(done)](const OptionalResponse& response) {
             std::optional<Catalog> catalog;
             if (!is_ok(response)) return done(std::nullopt);
             try {
               catalog = Catalog{parse_catalog(response->body), response->body};
             } catch (const DecodeError& problem) {
               spdlog::warn("malformed catalog from the cloud, treated as no answer: {}",
                            problem.what());
             }
             done(std::move(catalog));
           }});
}

void CloudClient::request_machines(const core::ScaleOut& request, ScaleOutHandler done) {
  enqueue({encode_scale_out(request), [done = std::move(done)](const OptionalResponse& response) {
             done(decode_scale_out(response));
           }});
}

void CloudClient::release(const std::vector<core::MachineId>& machines, ReleaseHandler done) {
  enqueue_first(
      {encode_release(machines),
       [done = std::move(done)](const OptionalResponse& response) { done(is_ok(response)); }});
}

void CloudClient::list(const ListHandler& done) {
  list_page("", std::make_shared<std::vector<core::ListedMachine>>(), done);
}

void CloudClient::list_page(const core::MachineId& since,
                            const std::shared_ptr<std::vector<core::ListedMachine>>& listed,
                            const ListHandler& done) {
  enqueue({encode_list_page(since), [=, this](const OptionalResponse& response) {
             if (!is_ok(response)) return done(std::nullopt);
             MachinePage page;
             try {
               page = decode_machine_page(response->body);
             } catch (const DecodeError& problem) {
               spdlog::warn("malformed list of machines from the cloud, treated as no answer: {}",
                            problem.what());
               return done(std::nullopt);
             }
             std::move(page.machines.begin(), page.machines.end(), std::back_inserter(*listed));
             if (page.truncated) return list_page(listed->back().id, listed, done);
             done(std::move(*listed));
           }});
}

}  // namespace violetpulley::cloud
