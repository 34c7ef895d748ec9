/// @file
/// Stores the learned state of a leader in the state service, for controllers without a disk. The
/// leader writes a set at intervals when no other request waits for this node's share of the rate
/// limits, and the next leader reads it. Sets alternate between two slots; a single write of the
/// head makes a slot the newest, so that an incomplete set is never read. Every write is
/// conditioned on leadership. Owns the newest slot and the time of the last set.
#pragma once

#include "async/lifetime.hpp"
#include "store/leader_writer.hpp"
#include "store/learned_state_codec.hpp"

namespace violetpulley::store {

class LearnedStateStore {
 public:
  /// Receives an empty value if there is no usable set.
  using LoadHandler = std::function<void(std::optional<core::LearnedState>)>;

  LearnedStateStore(StoreClient& store, LeaderWriter& writer, core::FencingToken token,
                    LearnedStateSettings settings);
  LearnedStateStore(const LearnedStateStore&) = delete;
  LearnedStateStore& operator=(const LearnedStateStore&) = delete;

  /// Reads the set of the former leader. `wall` is the current time of day.
  void load(core::WallTime wall, LoadHandler done);

  /// Whether to write a set now: the interval has passed, no set is being written and no request
  /// waits for the share.
  bool due(core::TimePoint now) const;
  void save(const core::LearnedState& learned_state, core::TimePoint now);

 private:
  /// Writes the piece with this number, then the following pieces, and finally the head.
  void write_piece(const std::shared_ptr<LearnedStateWrites>& writes, std::size_t number);

  StoreClient& store_;
  LeaderWriter& writer_;
  core::FencingToken token_;
  LearnedStateSettings settings_;
  std::string slot_;             // slot of the newest set
  bool save_in_flight_ = false;  // a set is being written
  std::optional<core::TimePoint> last_save_;
  async::Lifetime lifetime_;  // must be the last member, so that it is destroyed first
};

}  // namespace violetpulley::store
