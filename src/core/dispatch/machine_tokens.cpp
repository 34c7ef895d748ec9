/// @file
/// Choice of the tokens, and what the tokens of heartbeats prove.
#include "core/dispatch/machine_tokens.hpp"

#include <algorithm>

namespace violetpulley::core {

const MachineToken* MachineTokens::find(const MachineId& machine) const {
  const auto found = machines_.find(machine);
  return found == machines_.end() ? nullptr : &found->second;
}

FencingToken MachineTokens::of(const MachineId& machine) const {
  const auto* known = find(machine);
  return known == nullptr ? leader_token_ : std::max(known->sent, leader_token_);
}

bool MachineTokens::raise(const MachineId& machine) {
  if (is_exhausted(machine)) return false;
  machines_[machine].sent = of(machine) + 1;
  return true;
}

void MachineTokens::start_sent(const MachineId& machine, Attempt attempt) {
  if (!enabled()) return;
  const auto token = of(machine);
  machines_[machine].starts[attempt] = token;
}

ShownToken MachineTokens::record_heartbeat(const MachineId& machine, FencingToken token) {
  if (!enabled()) return ShownToken::expected;
  auto& known = machines_[machine];
  const bool is_lower = token < known.shown;
  const bool is_chosen = token <= std::max(known.sent, leader_token_);
  known.shown = token;
  // The agent obeys no lower token, so the messages to it need at least this one.
  if (!is_chosen) known.sent = token;
  std::erase_if(known.starts, [&](const auto& start) { return start.second < token; });
  if (known.request && token > known.request->above) known.request.reset();
  if (is_lower) return ShownToken::lower;
  return is_chosen ? ShownToken::expected : ShownToken::not_chosen;
}

bool MachineTokens::may_run_again(const MachineId& machine, Attempt attempt) const {
  const auto* known = find(machine);
  return known != nullptr && known->starts.contains(attempt);
}

bool MachineTokens::is_fenced_by_next_message(const MachineId& machine, Attempt attempt) const {
  const auto* known = find(machine);
  if (known == nullptr) return true;
  const auto start = known->starts.find(attempt);
  return start == known->starts.end() || start->second < of(machine);
}

const std::map<Attempt, FencingToken>* MachineTokens::unfenced(const MachineId& machine) const {
  const auto* known = find(machine);
  return known == nullptr || known->starts.empty() ? nullptr : &known->starts;
}

void MachineTokens::request_fence(const MachineId& machine, Attempt attempt, TimePoint now) {
  if (!may_run_again(machine, attempt)) return;
  auto& known = machines_.at(machine);
  if (!known.request) known.request = FenceRequest{0, now};
  known.request->above = std::max(known.request->above, known.starts.at(attempt));
}

const FenceRequest* MachineTokens::fence_request(const MachineId& machine) const {
  const auto* known = find(machine);
  return known == nullptr || !known->request ? nullptr : &*known->request;
}

bool MachineTokens::needs_raise(const MachineId& machine) const {
  const auto* request = fence_request(machine);
  return request != nullptr && of(machine) <= request->above;
}

std::vector<MachineId> MachineTokens::machines_to_raise() const {
  std::vector<MachineId> machines;
  for (const auto& [id, known] : machines_)
    if (needs_raise(id)) machines.push_back(id);
  // The order must not depend on the hash table: replays compare actions.
  std::sort(machines.begin(), machines.end());
  return machines;
}

void MachineTokens::epoch_grown(const MachineId& machine) {
  const auto found = machines_.find(machine);
  if (found == machines_.end()) return;
  found->second.starts.clear();
  found->second.request.reset();
}

}  // namespace violetpulley::core
