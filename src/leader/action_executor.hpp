/// @file
/// Executes the actions that the leader's core decides on: commands to agents, writes to the state
/// service and requests to the cloud. Reports each result to the core as an event. Owns only the
/// timer that delays a repeated write.
#pragma once

#include "agent/command_sender.hpp"
#include "async/lifetime.hpp"
#include "cloud/cloud_client.hpp"
#include "core/events.hpp"
#include "store/election.hpp"
#include "store/job_replica.hpp"
#include "store/leader_writer.hpp"

namespace violetpulley {

class ActionExecutor {
 public:
  /// The objects that execute the actions; all must outlive the executor.
  struct Services {
    asio::io_context& io;
    store::Election& election;
    store::JobReplica& job_replica;
    store::LeaderWriter& writer;
    agent::CommandSender& command_sender;
    cloud::CloudClient& cloud;
  };
  struct Events {
    /// Hands the result of an action to the core.
    std::function<void(core::Event)> result;
    /// Requests a run of the core, since a result may allow new decisions.
    std::function<void()> schedule_core_run;
    /// Called before commands are sent.
    std::function<void(const core::SendCommands&)> sending_commands;
    /// Called before the leader resigns because no machine sends heartbeats to this controller.
    std::function<void()> resigning_isolated;
  };

  /// `max_page_bytes`: size limit of a page in the state service. A placement record above the
  /// limit is stored without machines, marked as unknown.
  ActionExecutor(const Services& services, core::FencingToken token, std::size_t page_bytes,
                 Events events);
  ActionExecutor(const ActionExecutor&) = delete;
  ActionExecutor& operator=(const ActionExecutor&) = delete;

  /// Starts one action and returns without waiting for its result.
  void dispatch(const core::Action& action);

 private:
  void execute(const core::SendCommands& action);
  void execute(const core::SaveMachine& action);
  void execute(const core::DeleteMachine& action);
  void execute(const core::SaveProgress& action);
  void execute(const core::FinishJob& action);
  void execute(const core::DeleteProgress& action);
  void execute(const core::ScaleOut& action);
  void execute(const core::ScaleIn& action);
  void execute(const core::Resign& action);
  void execute(const core::SavePlacements& action);
  void execute(const core::MarkPlacements& action);
  void execute(const core::JobSuspected& action);
  void execute(const core::TaskHeld& action);
  void execute(const core::MachineLostTasks& action);

  void finish_answered(const core::FinishJob& action, const store::TransactionResult& result);
  void erase_progress(const core::JobId& job, const std::vector<core::TaskIndex>& chunks);
  void write_placements_mark();

  Services services_;
  core::FencingToken token_;
  std::size_t page_bytes_;
  Events events_;
  asio::steady_timer placements_mark_timer_;
  async::Lifetime lifetime_;
};

}  // namespace violetpulley
