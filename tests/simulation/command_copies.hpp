/// @file
/// Copies of command batches that an agent has carried out: each may reach the agent once more, any
/// time later. Owns the batches that each agent carried out recently.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "core/model/actions.hpp"
#include "simulation/environment.hpp"

namespace violetpulley::core::simulated {

/// A command batch of a leader.
struct SentBatch {
  FencingToken leader = 0;  ///< revision of the leader's key
  SendCommands batch;

  /// The fencing token that the batch carries.
  FencingToken token() const { return std::max(leader, batch.raised_token); }
};

/// Decides which batches arrive again, and when.
class CommandCopies {
 public:
  /// Delivers a copy to its agent; nobody waits for the answer.
  using Deliver = std::function<void(const SentBatch&)>;

  CommandCopies(Environment& environment, Deliver deliver)
      : environment_(environment), deliver_(std::move(deliver)) {}

  /// The agent has carried out the batch.
  void carried_out(const SentBatch& sent);
  /// A machine or the leader is back within a second: late copies may arrive in a burst.
  void restarted(const MachineId& machine);

  /// Number of copies that have arrived.
  std::size_t delivered() const { return delivered_; }

 private:
  void deliver_after(Seconds delay, const SentBatch& sent);

  Environment& environment_;
  Deliver deliver_;
  std::map<MachineId, std::deque<SentBatch>> recent_;  ///< oldest first
  std::size_t delivered_ = 0;
};

}  // namespace violetpulley::core::simulated
