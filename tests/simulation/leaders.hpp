/// @file
/// The leader of a simulated world and the former leader that still runs behind a partition. Owns
/// their cores and the learned state that is handed over.
#pragma once

#include <array>
#include <memory>

#include "core/events.hpp"
#include "core/failover/leadership.hpp"
#include "history/digest.hpp"
#include "simulation/agent_fleet.hpp"
#include "simulation/store.hpp"

namespace violetpulley::core::simulated {

/// The process of a leader, and which parts of the system the process can reach.
struct LeaderProcess {
  std::unique_ptr<Controller> controller;
  Leadership leadership;
  FencingToken token = 0;
  bool partitioned = false;         ///< from the store and all but `reachable_agents`
  bool reaches_all_agents = false;  ///< partitioned only from the store and its peers
  std::set<MachineId> reachable_agents;
};

/// Receives the events and the actions of the current leader, as a history records them.
struct Observer {
  std::function<void(FencingToken, TimePoint, const Event&)> event;
  std::function<void(FencingToken, TimePoint, const std::vector<Action>&, Controller&)> actions;
};

/// Which leaders store the placements of gangs and services before they send the start commands.
enum class CommitPolicy { no_leader, two_of_three_leaders, all_leaders };

/// Elects leaders, feeds them events and passes their actions to the action handler.
class Leaders {
 public:
  using ActionHandler = std::function<void(LeaderProcess&, FencingToken, Action&)>;

  Leaders(Environment& environment, Store& store, const AgentFleet& fleet)
      : environment_(environment), store_(store), fleet_(fleet) {}

  /// Sets the handler that executes the leaders' actions. Must be called before the first step.
  void set_action_handler(ActionHandler handler) { handle_action_ = std::move(handler); }
  void set_commit_policy(CommitPolicy policy) { commit_policy_ = policy; }
  /// Makes each leader hand its learned state over to the next one.
  void enable_learned_state_handover() { learned_state_handover_enabled_ = true; }
  /// Ends the leader and elects another one, which is observed from its election on.
  void observe(Observer observer);

  /// Elects a new leader. Does nothing while the store is down.
  void elect();
  /// Advances the leaders by one step, and elects one if an election is due.
  void step();
  /// Ends the leader, as when its process crashes or loses the leader key. The next election
  /// follows within seconds.
  void end_leader();
  /// Sets the next election to `delay` from now.
  void schedule_election(Seconds delay);
  /// Makes the leader resign once its other actions have been handled.
  void resign(FencingToken token, bool isolated);
  /// Saves the learned state of the leader if the handover is enabled.
  void save_learned_state();
  /// Partitions the leader from the store. The leader becomes the former leader and keeps running.
  LeaderProcess& partition_leader();
  /// Ends the former leader.
  void end_former() { former_.reset(); }

  /// Returns the leader, or null before the next election.
  LeaderProcess* current() { return current_.get(); }
  const LeaderProcess* current() const { return current_.get(); }
  /// Returns the partitioned leader that still runs, or null if there is none.
  LeaderProcess* former() { return former_.get(); }
  const LeaderProcess* former() const { return former_.get(); }
  std::array<LeaderProcess*, 2> processes() { return {current_.get(), former_.get()}; }
  /// Returns the leader with that token, or null once the leader has ended.
  LeaderProcess* find(FencingToken token);
  void feed(LeaderProcess& leader, const Event& event);
  /// Tells the leader with that token, if it still exists, that a write conditioned on its key was
  /// committed, and advances the store's revision by that write.
  void write_committed(FencingToken token);
  /// Whether messages from the leader reach the machine.
  bool reaches(const LeaderProcess& leader, const MachineId& id) const;
  /// Returns the leader that receives the machine's heartbeats; may be null.
  LeaderProcess* receiver_of(const MachineId& id);

  /// Whether a leader exists and no former leader still runs.
  bool has_single_leader() const { return current_ && !former_; }
  TimePoint elected_at() const { return elected_at_; }
  std::size_t elections() const { return elections_; }
  std::uint64_t actions_digest() const { return actions_digest_.value(); }

 private:
  ControllerSettings make_settings(const Tuning& tuning) const;
  RecoveredState read_recovered_state() const;
  void report_former_leaders_gone();
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
  std::optional<TimePoint> isolated_at_;  // latest resignation of an isolated leader
  std::size_t elections_ = 0;
  CommitPolicy commit_policy_ = CommitPolicy::no_leader;
  bool learned_state_handover_enabled_ = false;
  LearnedState learned_state_;
  history::Digest actions_digest_;
};

}  // namespace violetpulley::core::simulated
