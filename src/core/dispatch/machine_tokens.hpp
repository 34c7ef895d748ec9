/// @file
/// The fencing token of the messages to each machine. A command batch can be carried out again as
/// long as its token and its epoch match, also after it was answered. An agent that has seen a
/// token above those of all batches with the start of an attempt refuses every copy of that start,
/// so the attempt is *fenced* there, whether the agent remembers it or not (docs/safety.md, "An
/// answered start can come again"). Owns the highest token that this leader may use, the token of
/// each machine, and the attempts that are not fenced yet.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/model/identifiers.hpp"

namespace violetpulley::core {

/// An attempt that a copy may run again has ended: its agent must see a token above `above`.
struct FenceRequest {
  FencingToken above = 0;
  TimePoint since{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.above, s.since);
  }
};

/// Token and attempts of one machine.
struct MachineToken {
  FencingToken sent = 0;   ///< of the newest message to the machine; 0: the leader's own
  FencingToken shown = 0;  ///< in the newest heartbeat
  /// Attempts that are not fenced, and the token of the newest batch with their start.
  std::map<Attempt, FencingToken> starts;
  std::optional<FenceRequest> request;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.sent, s.shown, s.starts, s.request);
  }
};

/// What the token of a heartbeat says.
enum class ShownToken {
  expected,
  lower,      ///< below that of an earlier heartbeat: the agent has forgotten it
  not_chosen  ///< above that of every message to the machine
};

/// Chooses the token of each message so that attempts are fenced when their agent may forget them.
class MachineTokens {
 public:
  /// An empty table is left out of snapshots, so that these equal the snapshots of older versions.
  static constexpr bool kOmittedWhenEmpty = true;

  /// `leader_token`: the revision of the leader key.
  explicit MachineTokens(FencingToken leader_token) : leader_token_(leader_token) {}

  /// The leader key was unchanged at this revision of the store. The token of the next leader is a
  /// later revision, so this leader may use every token up to `revision`.
  void record_proof(Revision revision) { limit_ = std::max(limit_, revision); }
  /// Whether tokens are raised. False only in the replay of a history of a program that did not
  /// raise them.
  bool enabled() const { return limit_ != 0; }
  /// Whether this leader or an earlier one has used the token. A higher one is of a later leader.
  bool is_known(FencingToken token) const { return token <= std::max(limit_, leader_token_); }

  /// Token of the next message to the machine.
  FencingToken of(const MachineId& machine) const;
  /// As `of`; 0 if it is the leader's own.
  FencingToken raised_token(const MachineId& machine) const {
    const auto token = of(machine);
    return token == leader_token_ ? 0 : token;
  }
  /// Raises the token of the machine. Returns false if the limit is reached.
  bool raise(const MachineId& machine);
  /// A batch with the start of this attempt is sent under the machine's present token.
  void start_sent(const MachineId& machine, Attempt attempt);
  /// The newest heartbeat of the machine shows this token.
  ShownToken record_heartbeat(const MachineId& machine, FencingToken token);

  /// Whether a copy of the attempt's start may still be carried out if the agent has forgotten the
  /// attempt.
  bool may_run_again(const MachineId& machine, Attempt attempt) const;
  /// Whether the attempt is fenced once the next message has reached the agent.
  bool is_fenced_by_next_message(const MachineId& machine, Attempt attempt) const;
  /// The attempts of the machine that are not fenced; null if there are none.
  const std::map<Attempt, FencingToken>* unfenced(const MachineId& machine) const;

  /// Requests that the agent sees a token above that of the attempt's starts. Does nothing if the
  /// attempt is fenced.
  void request_fence(const MachineId& machine, Attempt attempt, TimePoint now);
  /// The request of the machine that is not fulfilled; null if there is none.
  const FenceRequest* fence_request(const MachineId& machine) const;
  /// Whether the next message to the machine has to carry a raised token.
  bool needs_raise(const MachineId& machine) const;
  /// The machines whose tokens have to be raised before their next message.
  std::vector<MachineId> machines_to_raise() const;
  /// Whether no token above the machine's is available until the store has a newer revision.
  bool is_exhausted(const MachineId& machine) const { return of(machine) >= limit_; }

  /// The agent has a new epoch: it refuses all starts that were sent before.
  void epoch_grown(const MachineId& machine);
  /// The machine is gone.
  void erase(const MachineId& machine) { machines_.erase(machine); }

  /// Removes everything, before a snapshot is restored.
  void clear() {
    limit_ = 0;
    machines_.clear();
  }
  bool empty() const { return limit_ == 0 && machines_.empty(); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.limit_, s.machines_);
  }

 private:
  const MachineToken* find(const MachineId& machine) const;

  FencingToken leader_token_;
  FencingToken limit_ = 0;  ///< highest revision at which the leader key was proven unchanged
  std::unordered_map<MachineId, MachineToken> machines_;
};

}  // namespace violetpulley::core
