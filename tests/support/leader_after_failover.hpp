/// @file
/// Test fixture: a leader right after its election, and the task lists that machines report to it.
#pragma once

#include <gtest/gtest.h>

#include "core/controller.hpp"

namespace violetpulley::core {

using std::chrono::milliseconds;

/// A leader that starts from a given recovered state and receives single heartbeats.
class LeaderAfterFailover : public ::testing::Test {
 public:
  static constexpr FencingToken kToken = 7;

 protected:
  static JobRecord job(const JobId& id, TaskIndex tasks, Shape shape = Shape::array) {
    JobRecord record;
    record.spec.id = id;
    record.spec.team = "t";
    record.spec.shape = shape;
    record.spec.tasks = tasks;
    record.spec.per_task = {4, 0, 4};
    record.spec.image = "i";
    record.spec.estimate = Seconds(30);
    record.spec.spot_allowed = true;
    record.revision = 2;
    return record;
  }
  void start_leader(const std::vector<MachineId>& machines, std::vector<JobRecord> jobs,
                    std::vector<ProgressRecord> progress = {}) {
    RecoveredState recovered;
    for (const auto& id : machines)
      recovered.machines.push_back({id, "10.0.0.1:1", "bench", zone_of(id), true, {}});
    recovered.jobs = std::move(jobs);
    recovered.progress = std::move(progress);
    ControllerSettings settings;
    settings.teams = {{"t", 0, 0, 0, 0}};
    settings.cloud_calls_per_s = 10;
    settings.tuning = tuning_;
    controller_ = std::make_unique<Controller>(std::move(settings), kToken, now_,
                                               now_ + std::chrono::seconds(60), recovered);
    controller_->set_catalog(
        {{"bench", {16, 0, 128}, 60, 0.5, 1.1, 0.39, Seconds(30), {"a", "b"}}});
  }
  std::string zone_of(const MachineId& id) const {
    const auto found = zones_.find(id);
    return found == zones_.end() ? "a" : found->second;
  }
  static TaskStatus task(const JobId& job, TaskIndex index, Attempt attempt = 3,
                         TaskState state = TaskState::running, ExitCause cause = ExitCause::none) {
    return {{job, index}, attempt, state, cause, false};
  }
  void heartbeat(const MachineId& id, std::vector<TaskStatus> tasks, FencingToken token = kToken,
                 std::uint64_t epoch = 1, std::uint64_t heartbeat_sequence = 0) {
    Heartbeat heartbeat{id, "10.0.0.1:1", "bench", zone_of(id), true, epoch, 0, token, {}, {}};
    heartbeat.heartbeat_sequence = heartbeat_sequence != 0 ? heartbeat_sequence : ++sequence_;
    heartbeat.tasks = std::move(tasks);
    controller_->heartbeat(heartbeat, now_);
    for (const auto& command : controller_->response_commands(heartbeat))
      commands_.push_back(command);
    if (token <= kToken) last_heartbeats_[id] = std::move(heartbeat);
  }
  /// Task statuses of a machine that is partly used, so that it is neither idle nor full.
  static std::vector<TaskStatus> partial_load() {
    return {task("req-2", 0, 3), task("req-2", 1, 4), task("req-2", 2, 5)};
  }
  /// Answers a command batch with the task list of the machine's last heartbeat, under the leader's
  /// token. Without a heartbeat the batch stays unanswered, or fails if `unreachable_` is set.
  void answer_commands(const MachineId& id) {
    const auto found = last_heartbeats_.find(id);
    if (found == last_heartbeats_.end()) {
      if (unreachable_) controller_->commands_answered(id, nullptr, now_);
      return;
    }
    auto& heartbeat = found->second;
    heartbeat.heartbeat_sequence = ++sequence_;
    heartbeat.token = kToken;
    controller_->commands_answered(id, &heartbeat, now_);
  }
  /// Advances the time in steps of 100 ms and handles the actions of the leader.
  void run(Seconds length) {
    for (const auto end = now_ + to_duration(length); now_ < end; now_ += milliseconds(100)) {
      controller_->tick(now_, true, now_);
      for (auto& action : controller_->take_actions()) {
        if (auto* batch = std::get_if<SendCommands>(&action)) {
          queried_.push_back(batch->machine);
          for (const auto& command : batch->commands) commands_.push_back(command);
          answer_commands(batch->machine);
        } else if (const auto* request = std::get_if<ScaleOut>(&action)) {
          ++scale_outs_;
          controller_->scale_out_answered(request->name, {ScaleOutResult::Kind::no_capacity, {}},
                                          now_);
        } else if (auto* scale_in = std::get_if<ScaleIn>(&action)) {
          returned_.insert(returned_.end(), scale_in->machines.begin(), scale_in->machines.end());
        } else {
          actions_.push_back(std::move(action));
        }
      }
    }
  }
  /// Number of attempts for which a command of this type was sent; repetitions count once.
  std::size_t count(CommandType type) const {
    std::set<std::pair<TaskKey, Attempt>> attempts;
    for (const auto& command : commands_)
      if (command.type == type) attempts.emplace(command.task, command.attempt);
    return attempts.size();
  }
  std::size_t progress_saves() const {
    return static_cast<std::size_t>(
        std::count_if(actions_.begin(), actions_.end(), [](const Action& action) {
          return std::holds_alternative<SaveProgress>(action) ||
                 std::holds_alternative<FinishJob>(action);
        }));
  }
  const ReconciliationStats& stats() const { return controller_->reconciler().stats(); }

  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  std::unique_ptr<Controller> controller_;
  std::uint64_t sequence_ = 0;
  std::map<MachineId, std::string> zones_;  ///< of the machines that are not in zone a
  Tuning tuning_;
  bool unreachable_ = false;  ///< batches to machines without a heartbeat fail at once
  std::map<MachineId, Heartbeat> last_heartbeats_;
  std::vector<MachineId> queried_;
  std::vector<MachineId> returned_;
  std::vector<Command> commands_;
  std::vector<Action> actions_;
  std::size_t scale_outs_ = 0;
};

}  // namespace violetpulley::core
