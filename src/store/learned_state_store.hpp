/// @file
/// Keeps what a leader has learned in the state service, for controllers without a disk: written at
/// intervals when no other request waits for the share of the limits, read by the next leader. Two
/// slots take turns; one transaction on the head makes a slot the newest, so a set is complete or
/// absent. Every write is conditioned on leadership. Owns the newest slot and the time of the last
/// set.
#pragma once

#include "async/lifetime.hpp"
#include "store/leader_writer.hpp"
#include "store/learned_state_codec.hpp"

namespace violetpulley::store {

class LearnedStateStore {
 public:
  /// Gets nothing if there is no set that can be used.
  using LoadHandler = std::function<void(std::optional<core::LearnedState>)>;

  LearnedStateStore(StoreClient& store, LeaderWriter& writer, core::FencingToken token,
                    LearnedStateSettings settings);
  LearnedStateStore(const LearnedStateStore&) = delete;
  LearnedStateStore& operator=(const LearnedStateStore&) = delete;

  /// Reads the set of the former leader. `wall`: the time of day now.
  void load(core::WallTime wall, LoadHandler done);

  /// Whether a set should be written now: the interval is over and no request waits for the share.
  bool due(core::TimePoint now) const;
  void save(const core::LearnedState& learned_state, core::TimePoint now);

 private:
  /// Writes the piece of this number and then the following ones; the head comes after the last.
  void write_piece(const std::shared_ptr<LearnedStateWrites>& writes, std::size_t number);

  StoreClient& store_;
  LeaderWriter& writer_;
  core::FencingToken token_;
  LearnedStateSettings settings_;
  std::string slot_;             // of the newest set
  bool save_in_flight_ = false;  // a set is being written
  std::optional<core::TimePoint> last_save_;
  async::Lifetime lifetime_;  // last member: ends before the others
};

}  // namespace violetpulley::store
