/// @file
/// Cancelled tasks end within the cancel time under random faults of the state service
/// (docs/safety.md, "Serving limit"). Guards against a leader that renews leases or starts tasks
/// after it has missed a cancellation confirmed by another controller. Time bounds are derived from
/// timestamps taken by the tested code, so a slow machine does not change the results.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "store/two_controllers.hpp"

namespace violetpulley::store {
namespace {

using core::Clock;
using core::JobId;
using core::Seconds;
using core::TimePoint;
using std::chrono::milliseconds;

/// A deployment with modelled machines whose leases the leader renews, under random faults of the
/// state service: refusals of the leader alone, outages shortly afterwards, slow responses, and
/// several of these in a row, with cancellations at any time. Measures for each cancelled task the
/// time from the confirmed cancellation to the end of the task.
class RandomOutages {
 public:
  RandomOutages(asio::io_context& io, std::uint64_t seed)
      : random_(seed),
        deployment_(io, static_cast<int>(seed)),
        client_(io, net::parse_endpoint(deployment_.state.address()), {1000, 1000}, seed),
        timer_(io),
        fault_timer_(io) {
    machines_.resize(3);
    for (auto& machine : machines_) machine.last_answered = Clock::now();
    tick();
    next_fault(milliseconds(1500));
  }
  Seconds max_end_delay() const { return max_end_delay_; }
  std::size_t cancelled() const { return confirmed_.size(); }
  std::size_t heartbeats_refused_while_stale() const { return refused_while_stale_; }

 private:
  struct Machine {
    TimePoint last_answered{};  // when the last answered heartbeat was sent
    std::map<JobId, TimePoint> tasks;
    TimePoint partitioned_until{};  // heartbeats sent before this time are lost
  };
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  /// The limits are in seconds.
  milliseconds random_duration(double low, double high) {
    return milliseconds(static_cast<long>(between(low, high) * 1000));
  }
  void schedule(asio::steady_timer& timer, milliseconds wait, std::function<void()> action) {
    timer.expires_after(wait);
    timer.async_wait([action = std::move(action)](const asio::error_code& error) {
      if (!error) action();
    });
  }

  // The leader alone is refused and then all controllers; the refusal may end before the outage
  // begins. The next fault follows within 2 s.
  void next_fault(milliseconds wait) {
    schedule(fault_timer_, wait, [this] {
      auto* leader = deployment_.leader();
      if (leader == nullptr) return next_fault(milliseconds(100));
      refused_ = leader->endpoint;
      deployment_.state.set_response_delay(
          refused_, between(0, 1) < 0.5 ? random_duration(0.3, 1.2) : milliseconds(0));
      schedule(fault_timer_, random_duration(0, 1), [this] {
        deployment_.state.set_refused(refused_, true);
        schedule(fault_timer_, random_duration(0.1, 2.6), [this] {
          // In some faults the refusal ends shortly before the outage, so that the key can be
          // renewed.
          if (between(0, 1) < 0.4) deployment_.state.set_refused(refused_, false);
          schedule(fault_timer_, random_duration(0, 0.9), [this] {
            deployment_.state.set_outage(true);
            deployment_.state.set_refused(refused_, false);
            deployment_.state.set_response_delay(refused_, milliseconds(0));
            schedule(fault_timer_, random_duration(0.2, 5), [this] {
              deployment_.state.set_outage(false);
              next_fault(random_duration(0, 2));
            });
          });
        });
      });
    });
  }

  void tick() {
    schedule(timer_, milliseconds(20), [this] {
      submit_and_cancel_jobs();
      for (auto& machine : machines_) heartbeat(machine);
      tick();
    });
  }

  void submit_and_cancel_jobs() {
    if (between(0, 1) < 0.15) {
      const auto id = "req-" + std::to_string(++jobs_);
      submit(client_, id);
    }
    auto* leader = deployment_.leader();
    auto& confirming = leader == nullptr ? deployment_.a : deployment_.other(*leader);
    const auto open = open_jobs(confirming);
    if (open.empty() || between(0, 1) > 0.2) return;
    const auto& id = open[static_cast<std::size_t>(between(0, static_cast<double>(open.size())))];
    confirming.cancel(id, [this, id](bool cancelled) {
      if (cancelled) confirmed_.try_emplace(id, Clock::now());
    });
  }
  std::vector<JobId> open_jobs(const TestController& at) const {
    std::vector<JobId> ids;
    for (const auto& [id, record] : at.job_replica.jobs()) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  void task_ended(const JobId& id, TimePoint when) {
    const auto confirmed = confirmed_.find(id);
    if (confirmed == confirmed_.end()) return;
    const Seconds end_delay = when - confirmed->second;
    max_end_delay_ = std::max(max_end_delay_, end_delay);
    EXPECT_LE(end_delay.count(), short_times().cancel.count()) << "ran_cancelled " << id;
  }

  void heartbeat(Machine& machine) {
    const auto now = Clock::now();
    const auto lease = core::to_duration(short_times().lease);
    if (now - machine.last_answered > lease) {
      for (const auto& [id, since] : machine.tasks) task_ended(id, machine.last_answered + lease);
      machine.tasks.clear();
      machine.last_answered = now;  // the agent has started a new epoch
    }
    if (between(0, 1) < 0.002) machine.partitioned_until = now + random_duration(0.2, 2);
    auto* leader = deployment_.leader();
    if (leader == nullptr || now < machine.partitioned_until) return;
    // The heartbeat was sent up to one tick ago.
    const auto sent = std::max(machine.last_answered, now - milliseconds(20));
    if (!leader->serves()) {
      if (leader->leadership.last_proven() > leader->leadership.fresh_until())
        ++refused_while_stale_;
      return;
    }
    machine.last_answered = sent;
    for (auto task = machine.tasks.begin(); task != machine.tasks.end();) {
      if (leader->job_replica.find(task->first) != nullptr) {
        ++task;
        continue;
      }
      task_ended(task->first, now);
      task = machine.tasks.erase(task);
    }
    for (const auto& id : open_jobs(*leader)) {
      if (machine.tasks.size() >= 4) break;
      if (machine.tasks.try_emplace(id, now).second)
        task_ended(id, now);  // a cancelled task must not start after the deadline either
    }
  }

  std::mt19937_64 random_;
  Deployment deployment_;
  StoreClient client_;
  asio::steady_timer timer_;
  asio::steady_timer fault_timer_;
  std::vector<Machine> machines_;
  std::map<JobId, TimePoint> confirmed_;
  std::size_t refused_ = 0;
  std::size_t refused_while_stale_ = 0;
  int jobs_ = 0;
  Seconds max_end_delay_{0};
};

// VIOLETPULLEY_EXTRA_SEEDS=100 adds 100 deployments.
TEST(ReadBarrierOutages, CancelledTasksEndWithinTheCancelTimeWhicheverControllerConfirms) {
  const char* extra = std::getenv("VIOLETPULLEY_EXTRA_SEEDS");
  const int count = 12 + (extra == nullptr ? 0 : std::atoi(extra));
  asio::io_context io;
  std::vector<std::unique_ptr<RandomOutages>> deployments;
  for (int i = 0; i < count; ++i)
    deployments.push_back(
        std::make_unique<RandomOutages>(io, 9000 + static_cast<std::uint64_t>(i)));
  asio::steady_timer end(io, std::chrono::seconds(20));
  bool over = false;
  end.async_wait([&](const asio::error_code&) { over = true; });
  while (!over) io.run_one();
  Seconds max_end_delay{0};
  std::size_t cancelled = 0;
  std::size_t refused_while_stale = 0;
  for (const auto& deployment : deployments) {
    max_end_delay = std::max(max_end_delay, deployment->max_end_delay());
    cancelled += deployment->cancelled();
    refused_while_stale += deployment->heartbeats_refused_while_stale();
  }
  std::cout << count << " deployments, " << cancelled
            << " jobs cancelled, time from confirmation to "
            << "end at most " << max_end_delay.count() << " of " << short_times().cancel.count()
            << " s; heartbeats refused for a stale replica while the leader key was held: "
            << refused_while_stale << "\n";
  EXPECT_GT(cancelled, 0U);
}

}  // namespace
}  // namespace violetpulley::store
