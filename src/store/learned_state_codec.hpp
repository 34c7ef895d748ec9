/// @file
/// The stored form of the learned state: one set of values, made of pieces and a head. Keys:
/// `belief/head` with {v, slot, chunks, sum, tag, token}, and `belief/<slot>/<n>`, which are pieces
/// of the packed state in base64. Stateless.
#pragma once

#include <optional>

#include "core/model/learned_state.hpp"
#include "history/frames.hpp"
#include "store/store_types.hpp"

namespace violetpulley::store {

struct LearnedStateSettings {
  std::optional<history::Key> key;  ///< signs the sets; empty: they are not signed
  core::Seconds save_interval{30};  ///< from one set to the next
  core::Seconds max_age{3600};      ///< an older set is not used
  std::size_t max_value_bytes = std::size_t{14} * 1024;  ///< of one key's value
};

/// The writes of one set: the pieces first, in any number of transactions, then the head.
struct LearnedStateWrites {
  std::vector<Write> pieces;
  Write head;
};

/// Leaves out what is worth least if the set would need more than six pieces. `slot`: the pieces'
/// keys; two slots take turns.
LearnedStateWrites encode_learned_state(const core::LearnedState& learned_state,
                                        const std::string& slot, core::FencingToken token,
                                        const LearnedStateSettings& settings);

struct DecodedLearnedState {
  std::optional<core::LearnedState> learned_state;
  std::string slot;     ///< of the newest set; empty: none was found
  std::string problem;  ///< why the set is not used; empty: it is used, or there is none
};

/// `items`: all below `kLearnedStatePrefix`. `wall`: the time of day now.
DecodedLearnedState decode_learned_state(const std::vector<Item>& items,
                                         const LearnedStateSettings& settings, core::WallTime wall);

}  // namespace violetpulley::store
