#include "simulation/store.hpp"

#include <utility>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr Seconds kWriteRetry{0.5};
constexpr double kMinChangeDelay = 0.01;  // seconds
constexpr double kMaxUsualChangeDelay = 0.3;
constexpr double kMaxSlownessDelay = 4;

}  // namespace

void Store::write(FencingToken token, Seconds delay, Callback write_record) {
  environment_.after(delay, [this, token, write_record = std::move(write_record)] {
    if (refuses_leader && accepts(token)) return write(token, kWriteRetry, write_record);
    write_record();
  });
}

bool Store::changes_may_be_delayed() const {
  return environment_.now() < slow_until + kMaxChangeDelay;
}

void Store::publish_change(Callback deliver, const std::function<bool()>& leader_exists) {
  const auto more = environment_.now() < slow_until
                        ? environment_.optional_fault_seconds(0, kMaxSlownessDelay)
                        : Seconds(0);
  const auto delay = environment_.uniform_seconds(kMinChangeDelay, kMaxUsualChangeDelay) + more;
  environment_.after(delay, [this, deliver = std::move(deliver), leader_exists] {
    if (leader_exists() && changes_stalled) return stalled_changes_.push_back(deliver);
    deliver();
  });
}

void Store::resume_changes() {
  changes_stalled = false;
  for (const auto& deliver : std::exchange(stalled_changes_, {})) deliver();
}

void Store::reset_for_new_leader() {
  refuses_leader = changes_stalled = false;
  stalled_changes_.clear();
}

}  // namespace violetpulley::core::simulated
