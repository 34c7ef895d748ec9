/// @file
/// Messages between the leaders and the agents of a simulated world, with losses, delays,
/// duplicates and partitions. Owns only counts of faults and the copies of command batches.
#pragma once

#include "simulation/agent_runner.hpp"
#include "simulation/command_copies.hpp"
#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Delivers commands to agents and heartbeats to leaders.
class Network {
 public:
  Network(Environment& environment, Leaders& leaders, AgentFleet& fleet, AgentRunner& runner)
      : environment_(environment),
        leaders_(leaders),
        fleet_(fleet),
        runner_(runner),
        copies_(environment, [this](const SentBatch& sent) { deliver(sent, false); }) {}

  /// Sends a command batch of the leader.
  void send_commands(const LeaderProcess& leader, const SendCommands& batch);
  /// Sends the agent's periodic heartbeat to the leader that the agent reports to.
  void send_heartbeat(SimulatedAgent& agent);

  /// Lets late copies of command batches arrive at machines that have restarted, and at all
  /// machines after an election.
  void deliver_copies_after_restarts();

  /// Number of copies of command batches that arrived after the batch was carried out.
  std::size_t command_copies() const { return copies_.delivered(); }
  /// Number of duplicates of heartbeats that arrived late.
  std::size_t late_copies() const { return late_copies_; }
  /// Number of deliveries of command batches that an inbound partition blocked.
  std::size_t blocked_batches() const { return blocked_batches_; }

 private:
  void report_unanswered(FencingToken leader_token, const MachineId& id);
  void report_unanswered_later(FencingToken leader_token, const MachineId& id);
  /// `awaits_answer`: the sender still waits for the answer.
  void deliver(const SentBatch& sent, bool awaits_answer);
  void deliver_after(Seconds delay, const SentBatch& sent, bool awaits_answer);
  void deliver_after_partition(const SentBatch& sent, bool awaits_answer);
  void deliver_after_hang(const SentBatch& sent, bool awaits_answer);
  void answer_commands(FencingToken leader_token, SimulatedAgent& agent);
  void deliver_late_copy(const Heartbeat& heartbeat);
  void deliver_late(const Heartbeat& heartbeat);
  void receive(const Heartbeat& heartbeat, TimePoint sent);
  void receive_response(const Heartbeat& heartbeat, TimePoint sent, FencingToken token,
                        const std::vector<Command>& commands);
  /// Without a valid answer, an agent of the former leader tries the next controller after
  /// `kNextControllerDelay`.
  void follow_next_controller(const MachineId& id);

  Environment& environment_;
  Leaders& leaders_;
  AgentFleet& fleet_;
  AgentRunner& runner_;
  CommandCopies copies_;
  std::map<MachineId, int> restarts_seen_;
  std::size_t elections_seen_ = 0;
  std::size_t late_copies_ = 0;
  std::size_t blocked_batches_ = 0;
};

}  // namespace violetpulley::core::simulated
