// The core run over recorded events. What it does is compared with what was recorded, by digest.
#pragma once

#include "history/digest.hpp"
#include "history/records.hpp"

namespace violetpulley::history {

// The first record at which a replay came to other actions than the process that wrote it.
struct Difference {
  std::uint64_t record = 0;  // counted from the history's first
  std::uint64_t recorded = 0;
  std::uint64_t replayed = 0;
};

class Replay {
 public:
  // Starts from a save. Throws DecodeError.
  void restore(const SnapshotHeader& head, const Parts& parts);
  // Throws DecodeError if an event comes before any takeover.
  void apply(const Record& record);

  const core::Controller* controller() const { return controller_.get(); }
  core::Controller* controller() { return controller_.get(); }
  core::TimePoint now() const { return now_; }
  // The time of day that belongs to `now`, by what the last takeover said.
  core::WallTime wall_now() const;
  std::uint64_t events() const { return events_; }
  std::uint64_t actions_digest() const { return actions_.value(); }
  // 0 without a controller.
  std::uint64_t state_digest() const;
  const std::optional<Difference>& difference() const { return difference_; }

  // For saves that are made offline.
  const core::LeaderElected& origin() const { return origin_; }
  core::TimePoint elected_at() const { return elected_at_; }

 private:
  std::unique_ptr<core::Controller> controller_;
  core::LeaderElected origin_;
  core::TimePoint elected_at_{};
  core::TimePoint now_{};
  std::uint64_t events_ = 0;
  Digest actions_;
  std::optional<Difference> difference_;
};

// The digest of a batch of actions, as `Acted` holds it.
std::uint64_t digest_of(const std::vector<core::Action>& actions);

}  // namespace violetpulley::history
