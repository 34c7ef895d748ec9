#include "store/read_barrier_loop.hpp"

#include <spdlog/spdlog.h>

#include "store/election.hpp"

namespace violetpulley::store {

using core::Clock;

ReadBarrierLoop::ReadBarrierLoop(asio::io_context& io, core::Leadership& leadership,
                                 JobReplica& job_replica)
    : leadership_(leadership), job_replica_(job_replica), token_(leadership.token()), timer_(io) {}

// Freshness counts from before the request is sent, because the response may lack a cancellation
// that is confirmed while the request is in flight.
void ReadBarrierLoop::request_barrier(JobReplica::BarrierHandler done) {
  const auto sent = Clock::now();
  job_replica_.read_barrier(RequestPriority::safety,
                            lifetime_.guard([this, sent, done = std::move(done)](bool fresh) {
                              if (fresh && leadership_.token() == token_)
                                leadership_.record_read_barrier(sent);
                              done(fresh);
                            }));
}

void ReadBarrierLoop::run() {
  request_barrier([this](bool fresh) {
    log_serving_changes(Clock::now());
    timer_.expires_after(fresh ? kRenewInterval : kRenewRetryDelay);
    timer_.async_wait(lifetime_.guard([this](const asio::error_code& error) {
      if (!error) run();
    }));
  });
}

void ReadBarrierLoop::log_serving_changes(core::TimePoint now) {
  const bool serving = leadership_.may_serve(now);
  if (serving == serving_ || leadership_.token() != token_) return;
  serving_ = serving;
  if (serving)
    return spdlog::info(
        "job replica is fresh again and leadership is proven: heartbeats are answered and tasks "
        "start");
  const auto ago = [now](core::TimePoint then) { return core::Seconds(now - then).count(); };
  spdlog::warn(
      "heartbeats are not answered and no task starts: the last read barrier is {:.1f} s old and "
      "leadership was last proven {:.1f} s ago; the limit for both is {:.1f} s",
      leadership_.fresh_until() ? ago(*leadership_.fresh_until()) : 0.0,
      ago(leadership_.last_proven()), leadership_.serving_time().count());
}

}  // namespace violetpulley::store
