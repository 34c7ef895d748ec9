// What a leader has learned, kept in the state service for controllers without a disk: written now
// and then in what the write budget leaves over, read by the next leader. Two slots take turns; one
// transaction on the head makes a slot the newest, so a set of beliefs is complete or absent. Every
// write is conditioned on leadership, like all of a leader's.
//
// Keys: `belief/head` {v, slot, chunks, sum, tag, token}, `belief/<slot>/<n>` pieces in base64.
#pragma once

#include <optional>

#include "core/beliefs.hpp"
#include "history/frames.hpp"
#include "store/leader_writer.hpp"

namespace violetpulley::store {

struct BeliefSettings {
  std::optional<history::Key> key;
  core::Seconds every{30};
  core::Seconds most_age{3600};
  std::size_t value_bytes = 14 * 1024;  // of one key's value
};

inline const std::string kBeliefPrefix = "belief/";

// The writes of one set: pieces first, in any number of transactions, then the head.
struct BeliefWrites {
  std::vector<Write> pieces;
  Write head;
};
// Leaves out what is least worth if it would take more than `kMostPieces` values.
BeliefWrites encode_beliefs(const core::Beliefs& beliefs, const std::string& slot,
                            core::Token token, const BeliefSettings& settings);

struct DecodedBeliefs {
  std::optional<core::Beliefs> beliefs;
  std::string slot;     // of the newest set
  std::string problem;  // why there are none, although something is there
};
// `items`: all below `belief/`. `wall`: the time of day now.
DecodedBeliefs decode_beliefs(const std::vector<Item>& items, const BeliefSettings& settings,
                              core::WallTime wall);

class BeliefStore {
 public:
  BeliefStore(StoreClient& store, LeaderWriter& writer, core::Token token, BeliefSettings settings)
      : store_(store), writer_(writer), token_(token), settings_(std::move(settings)) {}
  ~BeliefStore() { *alive_ = false; }
  BeliefStore(const BeliefStore&) = delete;
  BeliefStore& operator=(const BeliefStore&) = delete;

  // Reads what the last leader left; `done` is called with nothing too.
  void load(core::WallTime wall, std::function<void(std::optional<core::Beliefs>)> done);

  // Whether a set should be written now: it is time and nothing else waits for the store.
  bool due(core::TimePoint now) const;
  void save(const core::Beliefs& beliefs, core::TimePoint now);

 private:
  void send(std::shared_ptr<BeliefWrites> writes, std::size_t from);

  StoreClient& store_;
  LeaderWriter& writer_;
  core::Token token_;
  BeliefSettings settings_;
  std::string slot_ = "b";
  bool in_flight_ = false;
  std::optional<core::TimePoint> last_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace violetpulley::store
