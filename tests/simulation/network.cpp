#include "simulation/network.hpp"

#include <algorithm>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr Seconds kAnswerTimeout{2};
constexpr double kLateCommandsChance = 0.5;            // lost batches that arrive much later
constexpr double kCommandsAfterPartitionChance = 0.7;  // of blocked batches
constexpr double kLateCopyChance = 0.03;
constexpr double kMinLateCommandDelay = 2;  // seconds
constexpr double kMinLateHeartbeatDelay = 5;
constexpr double kMaxLateDelay = 40;
constexpr double kMinLatency = 0.001;  // seconds
constexpr double kMaxLatency = 0.1;
constexpr double kMaxCommandLatency = 0.2;
constexpr Seconds kResponseLatency{0.02};
constexpr Seconds kDelayAfterRecovery{0.01};
constexpr std::chrono::seconds kNextControllerDelay{1};

}  // namespace

void Network::send_commands(const LeaderProcess& leader, const SendCommands& batch) {
  const SentBatch sent{leader.token, batch};
  if (leaders_.reaches(leader, batch.machine) && !environment_.chance(environment_.message_loss()))
    return deliver_after(environment_.uniform_seconds(kMinLatency, kMaxCommandLatency), sent, true);
  report_unanswered_later(sent.leader, batch.machine);
  if (environment_.chance(kLateCommandsChance))
    deliver_after(environment_.uniform_seconds(kMinLateCommandDelay, kMaxLateDelay), sent, false);
}

void Network::report_unanswered(FencingToken leader_token, const MachineId& id) {
  if (auto* leader = leaders_.find(leader_token))
    leaders_.feed(*leader, CommandsAnswered{id, std::nullopt});
}

void Network::report_unanswered_later(FencingToken leader_token, const MachineId& id) {
  environment_.after(kAnswerTimeout,
                     [this, leader_token, id] { report_unanswered(leader_token, id); });
}

void Network::deliver_after(Seconds delay, const SentBatch& sent, bool awaits_answer) {
  environment_.after(delay, [this, sent, awaits_answer] { deliver(sent, awaits_answer); });
}

void Network::deliver(const SentBatch& sent, bool awaits_answer) {
  const auto now = environment_.now();
  const auto& batch = sent.batch;
  auto* agent = fleet_.find(batch.machine);
  if (agent == nullptr || !agent->up(now)) {
    if (awaits_answer) report_unanswered(sent.leader, batch.machine);
    return;
  }
  if (agent->partitioned_inbound(now)) return deliver_after_partition(sent, awaits_answer);
  if (agent->hangs(now)) return deliver_after_hang(sent, awaits_answer);
  if (sent.token() >= agent->token && batch.epoch == agent->epoch) {
    agent->token = sent.token();
    for (const auto& command : batch.commands) runner_.execute(*agent, command);
    if (awaits_answer) copies_.carried_out(sent);
  }
  if (awaits_answer) answer_commands(sent.leader, *agent);
}

void Network::deliver_copies_after_restarts() {
  const bool elected = leaders_.elections() != elections_seen_;
  elections_seen_ = leaders_.elections();
  for (const auto& [id, agent] : fleet_.all()) {
    auto& seen = restarts_seen_[id];
    if (elected || agent.restarts != seen) copies_.restarted(id);
    seen = agent.restarts;
  }
}

void Network::deliver_after_partition(const SentBatch& sent, bool awaits_answer) {
  ++blocked_batches_;
  const auto& machine = sent.batch.machine;
  if (awaits_answer) report_unanswered_later(sent.leader, machine);
  const Seconds rest = fleet_.find(machine)->inbound_partition_until - environment_.now();
  if (environment_.optional_fault_chance(kCommandsAfterPartitionChance))
    deliver_after(rest + kDelayAfterRecovery, sent, false);
}

void Network::deliver_after_hang(const SentBatch& sent, bool awaits_answer) {
  const auto& machine = sent.batch.machine;
  const Seconds rest = fleet_.find(machine)->hangs_until - environment_.now();
  deliver_after(rest + kDelayAfterRecovery, sent, false);
  if (awaits_answer) report_unanswered_later(sent.leader, machine);
}

void Network::answer_commands(FencingToken leader_token, SimulatedAgent& agent) {
  const auto heartbeat = agent.make_heartbeat(environment_.now());
  if (environment_.chance(environment_.message_loss()))
    return report_unanswered_later(leader_token, agent.id);
  environment_.after(environment_.uniform_seconds(kMinLatency, kMaxLatency),
                     [this, leader_token, heartbeat] {
                       if (auto* leader = leaders_.find(leader_token))
                         leaders_.feed(*leader, CommandsAnswered{heartbeat.machine, heartbeat});
                     });
}

void Network::send_heartbeat(SimulatedAgent& agent) {
  const auto sent = environment_.now();
  const auto heartbeat = agent.make_heartbeat(sent);
  if (environment_.optional_fault_chance(kLateCopyChance)) deliver_late_copy(heartbeat);
  if (environment_.chance(environment_.message_loss())) return deliver_late(heartbeat);
  environment_.after(environment_.uniform_seconds(kMinLatency, kMaxLatency),
                     [this, heartbeat, sent] { receive(heartbeat, sent); });
}

// Delivers a duplicate after a delay of 1 s up to three leases. Meanwhile the machine may have
// ended and another controller may have become the leader.
void Network::deliver_late_copy(const Heartbeat& heartbeat) {
  const auto delay = environment_.optional_fault_seconds(1, 3 * kAgentTimes.lease.count());
  environment_.after(delay, [this, heartbeat] {
    ++late_copies_;
    for (auto* leader : leaders_.processes())
      if (leader != nullptr && leader->leadership.may_serve(environment_.now()))
        leaders_.feed(*leader, HeartbeatReceived{heartbeat});
  });
}

// Delivers the heartbeat late and drops the answer.
void Network::deliver_late(const Heartbeat& heartbeat) {
  environment_.after(environment_.uniform_seconds(kMinLateHeartbeatDelay, kMaxLateDelay),
                     [this, heartbeat] {
                       if (leaders_.current() != nullptr)
                         leaders_.feed(*leaders_.current(), HeartbeatReceived{heartbeat});
                     });
}

void Network::receive(const Heartbeat& heartbeat, TimePoint sent) {
  const auto now = environment_.now();
  const auto& id = heartbeat.machine;
  auto* leader = leaders_.receiver_of(id);
  if (leader == nullptr || !leader->leadership.may_serve(now)) return follow_next_controller(id);
  leaders_.feed(*leader, HeartbeatReceived{heartbeat});
  if (!leader->controller->is_known_token(heartbeat.token)) return follow_next_controller(id);
  const auto token = leader->controller->response_token(id);
  const auto commands = leader->controller->response_commands(heartbeat);
  const auto* agent = fleet_.find(id);
  if (agent != nullptr && agent->partitioned_inbound(now)) return;
  if (environment_.chance(environment_.message_loss())) return;
  environment_.after(kResponseLatency, [this, heartbeat, sent, token, commands] {
    receive_response(heartbeat, sent, token, commands);
  });
}

void Network::receive_response(const Heartbeat& heartbeat, TimePoint sent, FencingToken token,
                               const std::vector<Command>& commands) {
  const auto now = environment_.now();
  auto* agent = fleet_.find(heartbeat.machine);
  if (agent == nullptr || agent->terminated || agent->hangs(now)) return;
  if (agent->epoch != heartbeat.epoch || token < agent->token) return;
  if (token > agent->token) agent->heartbeat_by(now);
  agent->token = token;
  agent->lease_renewed = std::max(agent->lease_renewed, sent);
  for (const auto& command : commands) runner_.execute(*agent, command);
}

void Network::follow_next_controller(const MachineId& id) {
  auto* agent = fleet_.find(id);
  if (agent == nullptr || !agent->follows_former_leader) return;
  agent->follows_former_leader = false;
  agent->heartbeat_by(environment_.now() + kNextControllerDelay);
}

}  // namespace violetpulley::core::simulated
