/// @file
/// A leading controller: recovers the stored state, makes the core from it, feeds events into the
/// core and has its actions carried out. Exists only while this node leads. Owns the core and what
/// belongs to one term of leadership.
#pragma once

#include "async/lifetime.hpp"
#include "config/history_settings.hpp"
#include "config/settings.hpp"
#include "failover/recovered_state_reader.hpp"
#include "history/recorder.hpp"
#include "leader/action_executor.hpp"
#include "leader/failover_log.hpp"
#include "leader/job_verifier.hpp"
#include "leader/summary_log.hpp"
#include "net/http_server.hpp"
#include "store/learned_state_store.hpp"

namespace violetpulley {

class Leader {
 public:
  /// What a leader uses of its node; everything must outlive the leader.
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
    history::Recorder* recorder;  ///< Null: no directory keeps the history.
    /// When a leader of this process last resigned as isolated; null: none has.
    std::optional<core::TimePoint>& isolated_at;
  };

  explicit Leader(const Services& services);
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  /// Whether the stored state was recovered, so that the core exists.
  bool ready() const { return controller_ != nullptr; }
  /// The core; null until `ready`.
  const core::Controller* controller() const { return controller_.get(); }

  /// Answers one heartbeat of an agent: 200 with commands, 400 if malformed, 503 if this node may
  /// not renew leases now.
  void handle_heartbeat(const net::Request& request, const net::Responder& respond);
  /// A peer has sent that it does not lead, and `followed_token`: the fencing token of the leader
  /// key that the peer has seen.
  void note_follower(const std::string& member, core::FencingToken followed_token);
  /// Agents send heartbeats to a peer.
  void note_peer_receives_heartbeats(core::TimePoint now);
  /// The job replica holds a new job.
  void job_opened(const core::JobRecord& record);
  /// The job replica has dropped a job that has ended.
  void job_closed(const core::JobId& id);
  /// The machine types, at first and whenever prices were read again.
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

  /// Hands an event to the core. All events pass through here, so that the history holds each.
  void feed(const core::Event& event, core::TimePoint now);
  void feed(const core::Event& event) { feed(event, core::Clock::now()); }
  void feed_catalog();
  void commands_answered(const core::MachineId& machine, const core::Heartbeat* heartbeat);

  void schedule_core_run();
  /// Runs the core once and carries out its actions.
  void run_core();
  void schedule_tick();
  void tick();
  /// Writes history and learned state that are due. Call it between events, when the actions of
  /// all earlier events were taken.
  void save_history(core::TimePoint now);
  void list_machines();

  // First: callbacks of the members below are guarded by it. Ended by the destructor.
  async::Lifetime lifetime_;
  Services services_;
  core::FencingToken token_;
  FailoverLog failover_log_;
  store::LeaderWriter writer_;
  store::ReadBarrierLoop read_barriers_;
  /// Null: the state service keeps no learned state.
  std::unique_ptr<store::LearnedStateStore> learned_state_store_;
  agent::CommandSender command_sender_;
  ActionExecutor executor_;
  JobVerifier job_verifier_;
  asio::steady_timer tick_timer_;
  std::unique_ptr<failover::RecoveredStateReader> reader_;
  std::unique_ptr<core::Controller> controller_;
  std::vector<core::MachineType> types_;
  core::LearnedState learned_state_;  ///< Of the former leader, until the core is made.
  bool core_run_posted_ = false;
  bool catalog_due_ = false;  ///< `types_` has changed and the core does not know yet.
  bool listing_ = false;      ///< A list of the machines is under way.
  core::TimePoint last_list_{};
  std::set<std::string> followers_;  ///< Peers that have seen our leader key and do not lead.
  SummaryLog summary_log_;
};

}  // namespace violetpulley
