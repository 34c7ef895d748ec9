/// @file
/// A controller during one term of leadership: recovers the stored state, creates the core from it,
/// feeds events to the core and executes the core's actions. Exists only while this node leads.
/// Owns the core and all other state of the term.
#pragma once

#include "async/lifetime.hpp"
#include "config/history_settings.hpp"
#include "config/settings.hpp"
#include "failover/recovered_state_reader.hpp"
#include "history/recorder.hpp"
#include "leader/action_executor.hpp"
#include "leader/attempt_log.hpp"
#include "leader/failover_log.hpp"
#include "leader/job_verifier.hpp"
#include "leader/summary_log.hpp"
#include "net/http_server.hpp"
#include "store/learned_state_store.hpp"

namespace violetpulley {

class Leader {
 public:
  /// The parts of the node that the leader uses; all must outlive the leader.
  struct Services {
    asio::io_context& io;
    const config::Settings& settings;
    const core::Tuning& tuning;
    core::Leadership& leadership;
    store::Election& election;
    store::StoreClient& store;
    store::JobReplica& job_replica;
    cloud::CloudClient& cloud;
    const config::HistorySettings& history;
    history::Recorder* recorder;  ///< Null: the history is not kept in a directory.
    /// When a leader of this process last resigned because it was isolated; null: never.
    std::optional<core::TimePoint>& isolated_at;
  };

  explicit Leader(const Services& services);
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  /// Whether the stored state was recovered and the core exists.
  bool ready() const { return controller_ != nullptr; }
  /// The core; null until `ready()`.
  const core::Controller* controller() const { return controller_.get(); }

  /// Answers one heartbeat of an agent: 200 with commands, 400 if the heartbeat is malformed, 503
  /// if this node may not renew leases now or the agent knows a newer leader.
  void handle_heartbeat(const net::Request& request, const net::Responder& respond);
  /// A peer has reported that it does not lead. `followed_token`: fencing token of the newest
  /// leader key that the peer has seen.
  void handle_follower_status(const std::string& member, core::FencingToken followed_token);
  /// A peer has reported that agents send heartbeats to it.
  void handle_peer_receives_heartbeats(core::TimePoint now);
  /// The job replica has received a new job.
  void job_opened(const core::JobRecord& record);
  /// The job replica has removed a job that has ended.
  void job_closed(const core::JobId& id);
  /// Sets the machine types. Called first with the known types, then after each read of the prices.
  void set_catalog(const std::vector<core::MachineType>& types);

 private:
  using JobIds = std::set<core::JobId>;

  // Construction.
  ActionExecutor::Events executor_events();
  JobVerifier::Events verifier_events();
  std::unique_ptr<store::LearnedStateStore> make_learned_state_store();
  std::unique_ptr<failover::RecoveredStateReader> make_recovered_state_reader();
  void load_learned_state();

  // From the recovered state to the first decision.
  void start_leading(core::RecoveredState recovered);
  core::ControllerSettings controller_settings() const;
  void erase_placements_of_closed_jobs(const core::RecoveredState& recovered, const JobIds& open,
                                       core::TimePoint now);
  void adopt_learned_state(core::RecoveredState& recovered, core::WallTime wall);
  void make_core(core::ControllerSettings settings, core::RecoveredState recovered,
                 core::TimePoint now);
  void catch_up_with_replica(const JobIds& recovered, core::TimePoint now);

  /// Records an event in the history and hands it to the core. Every event takes this path, so the
  /// history is complete.
  void feed(const core::Event& event, core::TimePoint now);
  void feed(const core::Event& event) { feed(event, core::Clock::now()); }
  /// Feeds the machine types to the core if they have changed and no snapshot is in progress.
  void feed_catalog();
  void commands_answered(const core::MachineId& machine, const core::Heartbeat* heartbeat);

  /// Schedules one run of the core, which handles all events fed until then.
  void schedule_core_run();
  /// Runs the core once and dispatches its actions.
  void run_core();
  void schedule_tick();
  void tick();
  /// Writes the history and the learned state when they are due. May only be called after the
  /// actions of all earlier events were taken from the core.
  void save_history(core::TimePoint now);
  void list_machines();

  // First member, because it guards callbacks of the members below. Ended by the destructor.
  async::Lifetime lifetime_;
  Services services_;
  core::FencingToken token_;
  FailoverLog failover_log_;
  store::LeaderWriter writer_;
  store::ReadBarrierLoop read_barriers_;
  /// Null: learned state is not kept in the state service.
  std::unique_ptr<store::LearnedStateStore> learned_state_store_;
  agent::CommandSender command_sender_;
  ActionExecutor executor_;
  JobVerifier job_verifier_;
  asio::steady_timer tick_timer_;
  std::unique_ptr<failover::RecoveredStateReader> reader_;
  std::unique_ptr<core::Controller> controller_;
  std::vector<core::MachineType> types_;
  core::LearnedState learned_state_;  ///< From the former leader; moved into the core.
  bool core_run_posted_ = false;
  bool catalog_due_ = false;  ///< `types_` has changed since it was last fed to the core.
  bool listing_ = false;      ///< A listing of the machines is in progress.
  core::TimePoint last_list_{};
  std::set<std::string> followers_;  ///< Peers that follow this leader's key and do not lead.
  SummaryLog summary_log_;
  AttemptLog attempt_log_;
};

}  // namespace violetpulley
