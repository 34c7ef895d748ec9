// What a leader has learned, kept in the state service for controllers without a disk: written now
// and then in what the write budget leaves over, read by the next leader. Two slots take turns; one
// transaction on the head makes a slot the newest, so a set of beliefs is complete or absent. Every
// write is conditioned on leadership, like all of a leader's.
//
// Keys: `belief/head` {v, slot, chunks, sum, tag, token}, `belief/<slot>/<n>` pieces in base64.
#pragma once

#include <optional>

#include "core/model/learned_state.hpp"
#include "history/frames.hpp"
#include "store/leader_writer.hpp"

namespace violetpulley::store {

struct LearnedStateSettings {
  std::optional<history::Key> key;
  core::Seconds every{30};
  core::Seconds max_age{3600};
  std::size_t value_bytes = 14 * 1024;  // of one key's value
};

inline const std::string kLearnedStatePrefix = "belief/";

// The writes of one set: pieces first, in any number of transactions, then the head.
struct LearnedStateWrites {
  std::vector<Write> pieces;
  Write head;
};
// Leaves out what is least worth if it would take more than `kMostPieces` values.
LearnedStateWrites encode_learned_state(const core::LearnedState& learned_state,
                                        const std::string& slot, core::FencingToken token,
                                        const LearnedStateSettings& settings);

struct DecodedLearnedState {
  std::optional<core::LearnedState> learned_state;
  std::string slot;     // of the newest set
  std::string problem;  // why there are none, although something is there
};
// `items`: all below `belief/`. `wall`: the time of day now.
DecodedLearnedState decode_learned_state(const std::vector<Item>& items,
                                         const LearnedStateSettings& settings, core::WallTime wall);

class LearnedStateStore {
 public:
  LearnedStateStore(StoreClient& store, LeaderWriter& writer, core::FencingToken token,
                    LearnedStateSettings settings)
      : store_(store), writer_(writer), token_(token), settings_(std::move(settings)) {}
  ~LearnedStateStore() { *alive_ = false; }
  LearnedStateStore(const LearnedStateStore&) = delete;
  LearnedStateStore& operator=(const LearnedStateStore&) = delete;

  // Reads what the last leader left; `done` is called with nothing too.
  void load(core::WallTime wall, std::function<void(std::optional<core::LearnedState>)> done);

  // Whether a set should be written now: it is time and nothing else waits for the store.
  bool due(core::TimePoint now) const;
  void save(const core::LearnedState& learned_state, core::TimePoint now);

 private:
  void send(std::shared_ptr<LearnedStateWrites> writes, std::size_t from);

  StoreClient& store_;
  LeaderWriter& writer_;
  core::FencingToken token_;
  LearnedStateSettings settings_;
  std::string slot_ = "b";
  bool in_flight_ = false;
  std::optional<core::TimePoint> last_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
