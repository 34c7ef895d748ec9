/// @file
/// The controllers of a simulated world that lead, or that still do behind a partition. Owns their
/// cores.
#pragma once

#include <array>
#include <memory>

#include "core/events.hpp"
#include "core/failover/leadership.hpp"
#include "history/digest.hpp"
#include "simulation/agent_fleet.hpp"
#include "simulation/store.hpp"

namespace violetpulley::core::simulated {

/// The process of a leader and whom a partition lets the process reach.
struct LeaderProcess {
  std::unique_ptr<Controller> controller;
  Leadership leadership;
  FencingToken token = 0;
  bool partitioned = false;         ///< from the store, and from all agents but `reachable_agents`
  bool reaches_all_agents = false;  ///< partitioned from store and peers, and from no agent
  std::set<MachineId> reachable_agents;
};

/// Receives what enters the current leader and what the leader asks for, as a history does.
struct Observer {
  std::function<void(FencingToken, TimePoint, const Event&)> event;
  std::function<void(FencingToken, TimePoint, const std::vector<Action>&, Controller&)> actions;
};

/// Which leaders commit starts of gangs and services before they send them.
enum class CommitPolicy { no_leader, two_of_three_leaders, all_leaders };

/// Elects leaders, hands them events and collects their actions.
class Leaders {
 public:
  using ActionHandler = std::function<void(LeaderProcess&, FencingToken, Action&)>;

  Leaders(Environment& environment, Store& store, const AgentFleet& fleet)
      : environment_(environment), store_(store), fleet_(fleet) {}

  /// Sets what carries the leaders' actions out. Must be called before the first step.
  void set_action_handler(ActionHandler handler) { handle_action_ = std::move(handler); }
  void set_commit_policy(CommitPolicy policy) { commit_policy_ = policy; }
  /// From here on leaders hand their learned state on.
  void enable_learned_state_handover() { learned_state_handover_enabled_ = true; }
  /// Ends the leader; the next one is observed from its election on.
  void observe(Observer observer);

  /// Makes a controller the leader, unless the store is down.
  void elect();
  /// One step of the leaders.
  void step();
  /// The leader's process ends or loses the key; the next election comes within seconds.
  void end_leader();
  /// No leader is elected for that long.
  void delay_election(Seconds delay);
  /// The leader resigns once its actions have been handled.
  void resign(FencingToken token, bool isolated);
  /// Saves the learned state of the leader, if leaders hand it on.
  void save_learned_state();
  /// Cuts the leader off from the store: it becomes the former leader and may go on for a while.
  LeaderProcess& partition_leader();
  /// The former leader ends.
  void end_former() { former_.reset(); }

  /// The leader; null between two.
  LeaderProcess* current() { return current_.get(); }
  const LeaderProcess* current() const { return current_.get(); }
  /// The partitioned leader that goes on; null if there is none.
  LeaderProcess* former() { return former_.get(); }
  const LeaderProcess* former() const { return former_.get(); }
  std::array<LeaderProcess*, 2> processes() { return {current_.get(), former_.get()}; }
  /// The leader with that token; null once it has ended.
  LeaderProcess* find(FencingToken token);
  void feed(LeaderProcess& leader, const Event& event);
  /// Whether packets of the leader reach the machine.
  bool reaches(const LeaderProcess& leader, const MachineId& id) const;
  /// The leader that the machine's heartbeats reach; may be null.
  LeaderProcess* receiver_of(const MachineId& id);

  bool has_single_leader() const { return current_ && !former_; }
  TimePoint elected_at() const { return elected_at_; }
  std::size_t elections() const { return elections_; }
  std::uint64_t actions_digest() const { return actions_digest_.value(); }

 private:
  ControllerSettings make_settings(const Tuning& tuning) const;
  RecoveredState read_recovered_state() const;
  void announce_former_leaders_gone();
  void step_leader(LeaderProcess& leader);
  void renew_leadership(LeaderProcess& leader);

  Environment& environment_;
  Store& store_;
  const AgentFleet& fleet_;
  ActionHandler handle_action_;
  Observer observer_;
  std::unique_ptr<LeaderProcess> current_;
  std::unique_ptr<LeaderProcess> former_;
  TimePoint next_election_{};
  TimePoint elected_at_{};
  FencingToken resigning_ = 0;            // 0: no leader resigns
  std::optional<TimePoint> isolated_at_;  // when a leader resigned because it was isolated
  std::size_t elections_ = 0;
  CommitPolicy commit_policy_ = CommitPolicy::no_leader;
  bool learned_state_handover_enabled_ = false;
  LearnedState learned_state_;
  history::Digest actions_digest_;
};

}  // namespace violetpulley::core::simulated
