#include "store/read_barrier_loop.hpp"

#include <spdlog/spdlog.h>

#include "store/election.hpp"

namespace violetpulley::store {

using core::Clock;

ReadBarrierLoop::ReadBarrierLoop(asio::io_context& io, core::Leadership& leadership,
                                 JobReplica& job_replica)
    : leadership_(leadership), job_replica_(job_replica), token_(leadership.token()), timer_(io) {}

// Counted from before the request goes out: a cancellation that is confirmed while it is on its way
// may not be in its answer.
void ReadBarrierLoop::ask(std::function<void(bool)> done) {
  const auto sent = Clock::now();
  job_replica_.barrier(Urgency::safety,
                       [this, sent, done = std::move(done), alive = alive_](bool fresh) {
                         if (!*alive) return;
                         if (fresh && leadership_.token() == token_)
                           leadership_.record_read_barrier(sent);
                         done(fresh);
                       });
}

void ReadBarrierLoop::keep() {
  ask([this](bool fresh) {
    tell(Clock::now());
    timer_.expires_after(fresh ? kRenewInterval : kRenewRetry);
    timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
      if (*alive && !error) keep();
    });
  });
}

void ReadBarrierLoop::tell(core::TimePoint now) {
  const bool serving = leadership_.may_serve(now);
  if (serving == serving_ || leadership_.token() != token_) return;
  serving_ = serving;
  if (serving)
    return spdlog::info("informed of all cancellations again: reports are answered, tasks start");
  const auto ago = [now](core::TimePoint then) { return core::Seconds(now - then).count(); };
  spdlog::warn(
      "reports are not answered and nothing starts: news of cancellations are {:.1f} s old, the "
      "leader key was last known to be ours {:.1f} s ago, and {:.1f} s are allowed",
      leadership_.fresh_until() ? ago(*leadership_.fresh_until()) : 0.0,
      ago(leadership_.last_proven()), leadership_.serving_time().count());
}

}  // namespace violetpulley::store
