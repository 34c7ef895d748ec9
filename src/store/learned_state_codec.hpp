/// @file
/// Stored form of the learned state: a set of keys consisting of pieces and a head. `belief/head`
/// holds {v, slot, chunks, sum, tag, token}; each `belief/<slot>/<n>` holds one piece of the packed
/// state in base64. Stateless.
#pragma once

#include <optional>

#include "core/model/learned_state.hpp"
#include "history/frames.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

struct LearnedStateSettings {
  std::optional<history::Key> key;  ///< Signs the sets; empty if they are not signed.
  core::Seconds save_interval{30};  ///< Time between two sets.
  core::Seconds max_age{3600};      ///< Older sets are rejected.
  std::size_t max_value_bytes = std::size_t{14} * 1024;  ///< Limit for the value of one key.
};

/// The writes of one set. The pieces are written first, in any number of transactions, and the head
/// last.
struct LearnedStateWrites {
  std::vector<Write> pieces;
  Write head;
};

/// Drops the least useful jobs if the set would need more than six pieces. `slot` is the part of
/// the keys that separates this set's pieces from those of the previous set.
LearnedStateWrites encode_learned_state(const core::LearnedState& learned_state,
                                        const std::string& slot, core::FencingToken token,
                                        const LearnedStateSettings& settings);

struct DecodedLearnedState {
  std::optional<core::LearnedState> learned_state;
  std::string slot;     ///< Slot of the newest set; empty if none was found.
  std::string problem;  ///< Why the set is rejected; empty if it is used or does not exist.
};

/// `items` are all keys below `kLearnedStatePrefix`; `wall` is the current time of day.
DecodedLearnedState decode_learned_state(const std::vector<Item>& items,
                                         const LearnedStateSettings& settings, core::WallTime wall);

}  // namespace violetpulley::store
