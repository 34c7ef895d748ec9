/// @file
/// Applies recorded events to a controller and compares the digests of its actions with the
/// recorded digests. Owns the controller.
#pragma once

#include "history/digest.hpp"
#include "history/records.hpp"

namespace violetpulley::history {

/// The first record whose replayed actions differ from the recorded ones.
struct Difference {
  std::uint64_t record = 0;  // index in the history, from 0
  std::uint64_t recorded = 0;
  std::uint64_t replayed = 0;
};

/// Replays records onto a controller.
class Replay {
 public:
  /// Starts from a snapshot. Throws DecodeError if the parts cannot be decoded.
  void restore(const SnapshotHeader& header, const Parts& parts);
  /// Applies an event, or compares the digest of the actions. Throws DecodeError if a record
  /// precedes the first LeaderElected event.
  void apply(const Record& record);

  /// Null before the first LeaderElected event or snapshot.
  const core::Controller* controller() const { return controller_.get(); }
  core::Controller* controller() { return controller_.get(); }
  /// Time of the last record, by the steady clock of the process that wrote it.
  core::TimePoint now() const { return now_; }
  /// The wall-clock time at `now`, computed from the last LeaderElected event.
  core::WallTime wall_now() const;
  /// Number of records of the history up to and including the last applied one.
  std::uint64_t record_count() const { return record_count_; }
  /// Digest of all batches of actions replayed so far.
  std::uint64_t actions_digest() const { return actions_.value(); }
  /// 0 without a controller.
  std::uint64_t state_digest() const;
  /// None while all replayed actions equal the recorded ones.
  const std::optional<Difference>& difference() const { return difference_; }

  /// The last LeaderElected event without the recovered state, for snapshots taken offline.
  const core::LeaderElected& elected_event() const { return elected_event_; }
  core::TimePoint elected_at() const { return elected_at_; }

 private:
  std::unique_ptr<core::Controller> controller_;
  core::LeaderElected elected_event_;
  core::TimePoint elected_at_{};
  core::TimePoint now_{};
  std::uint64_t record_count_ = 0;
  Digest actions_;
  std::optional<Difference> difference_;
};

/// The digest of a batch of actions that `ActionsRecorded` holds.
std::uint64_t digest_of(const std::vector<core::Action>& actions);

}  // namespace violetpulley::history
