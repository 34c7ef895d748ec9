// The leading controller's shell: reads what it inherits, feeds the core and carries out what the
// core asks for. It exists only while this node leads.
#pragma once

#include "agent/command_sender.hpp"
#include "cloud/cloud_client.hpp"
#include "config/history_settings.hpp"
#include "config/settings.hpp"
#include "core/events.hpp"
#include "diagnostics/cost_breakdown.hpp"
#include "failover/recovered_state_reader.hpp"
#include "history/recorder.hpp"
#include "net/http_server.hpp"
#include "store/election.hpp"
#include "store/job_replica.hpp"
#include "store/leader_writer.hpp"
#include "store/learned_state_store.hpp"

namespace violetpulley {

class Leader {
 public:
  Leader(asio::io_context& io, const config::Settings& settings, const core::Tuning& tuning,
         core::Leadership& leadership, store::Election& election, store::StoreClient& store,
         store::JobReplica& job_replica, cloud::CloudClient& cloud,
         const config::HistorySettings& history, history::Recorder* recorder,
         std::optional<core::TimePoint>& isolated_at);
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  bool ready() const { return controller_ != nullptr; }
  void handle_heartbeat(const net::Request& request, const net::Responder& respond);
  // A sibling says that it does not lead and which leader key it has seen.
  void note_follower(const std::string& member, core::FencingToken follows);
  // Workers come to a sibling.
  void note_peer_receives_heartbeats(core::TimePoint now);
  void job_opened(const core::JobRecord& record);
  void job_closed(const core::JobId& id);
  void set_catalog(const std::vector<core::MachineType>& types);
  const core::Controller* controller() const { return controller_.get(); }

 private:
  // Everything that enters the core comes through here, so that the history holds all of it.
  void feed(core::Event event, core::TimePoint now);
  void feed(core::Event event) { feed(std::move(event), core::Clock::now()); }
  void keep_history(core::TimePoint now);
  void feed_catalog();
  void save_placements(const core::SavePlacements& action);
  void mark_placements();
  void start_leading(core::RecoveredState recovered);
  void schedule_pump();
  void pump();
  void log_reconciliation(core::TimePoint now);
  void note_commands(const core::SendCommands& batch);
  void log_timeline(core::TimePoint now);
  void schedule_tick();
  void execute(core::Action& action);
  void verify_jobs();
  void list_machines();
  void finish(const core::FinishJob& action);
  void forget_progress(const core::JobId& job, const std::vector<core::TaskIndex>& chunks);
  void save_machine(const core::SaveMachine& action);

  // First: the callbacks of the members below hold it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  asio::io_context& io_;
  const config::Settings& settings_;
  const core::Tuning& tuning_;
  core::Leadership& leadership_;
  store::Election& election_;
  store::StoreClient& store_;
  store::JobReplica& job_replica_;
  cloud::CloudClient& cloud_;
  core::FencingToken token_;
  core::TimePoint elected_at_;
  failover::FailoverTimeline steps_;

  std::optional<core::TimePoint>&
      isolated_at_;              // when a leader of this process last gave up as deaf
  history::Recorder* recorder_;  // null: no directory keeps the history
  store::LeaderWriter writer_;
  store::ReadBarrierLoop read_barriers_;
  std::unique_ptr<store::LearnedStateStore>
      learned_state_store_;  // null: the state service keeps none
  agent::CommandSender command_sender_;
  asio::steady_timer tick_timer_;
  asio::steady_timer verify_timer_;
  asio::steady_timer mark_timer_;
  std::unique_ptr<failover::RecoveredStateReader> reader_;
  std::unique_ptr<core::Controller> controller_;
  std::vector<core::MachineType> types_;
  core::LearnedState learned_state_;
  std::map<core::JobId, core::JobRecord> unverified_;
  bool verifying_ = false;
  bool pump_posted_ = false;
  bool catalog_due_ = false;
  bool recovered_ = false;  // and said so
  core::TimePoint recovered_at_{};
  bool timeline_logged_ = false;
  std::set<std::string> followers_;  // that have seen our key and do not lead
  core::TimePoint last_list_{};
  core::TimePoint last_summary_{};
  diagnostics::CostBreakdown cost_breakdown_;
  std::uint64_t summaries_ = 0;
  bool listing_ = false;
};

}  // namespace violetpulley
