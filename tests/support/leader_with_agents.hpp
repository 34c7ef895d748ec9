/// @file
/// Test fixture: a controller that leads, and agents that send heartbeats, execute commands and run
/// each task for its estimated run time. Network and machine faults are switched on per agent.
#pragma once

#include <gtest/gtest.h>

#include "core/controller.hpp"

namespace violetpulley::core {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr FencingToken kToken = 40;

/// Drives the controller in steps of 100 ms. Owns the clock, the simulated agents, store and cloud,
/// and a record of the actions that the leader requested.
class LeaderWithAgents : public ::testing::Test {
 protected:
  /// A task that runs on an agent.
  struct RunningTask {
    Attempt attempt = 0;
    TimePoint ends{};
    bool fails = false;
  };
  /// A machine and its agent.
  struct Agent {
    std::uint64_t epoch = 1;
    std::uint64_t heartbeat_sequence = 0;
    FencingToken token = 0;
    bool sends_heartbeats = true;       ///< false: its heartbeats and command responses are lost
    bool outbound_partitioned = false;  ///< sends no heartbeats but answers commands
    bool receives_commands = true;      ///< false: commands and heartbeat responses are lost
    bool returned = false;              ///< to the cloud
    bool faulty = false;                ///< every task fails
    bool answers_commands = true;       ///< false: commands are executed, their responses are lost
    TimePoint lease_renewed_at{};
    std::map<TaskKey, RunningTask> tasks;
    std::map<TaskKey, TaskStatus> ended;
  };

  /// Elects the leader with registered machines m100, m101, ... and jobs req-0, req-1, ...
  void elect_leader(int machines, int jobs = 1, TaskIndex tasks = 4) {
    RecoveredState recovered;
    for (int i = 0; i < machines; ++i) {
      const auto id = machine_id(i);
      recovered.machines.push_back({id, id, "bench", "a", true, {}});
      agents_[id].lease_renewed_at = now_;
    }
    for (int i = 0; i < jobs; ++i)
      recovered.jobs.push_back(job_record("req-" + std::to_string(i), tasks));
    ControllerSettings settings;
    settings.teams = {{"t", 0, 0, 0, 0}, {"narrow", 0, 8, 0, 0}};
    settings.cloud_calls_per_s = 10;
    settings.workers.heartbeat_interval = heartbeat_interval_;
    settings.wall_at_start = wall_now();
    settings.resigns_when_isolated = resigns_when_isolated_;
    settings.tuning.idle_wait = idle_wait_;
    recovered.progress = recovered_progress_;
    controller_ =
        std::make_unique<Controller>(settings, kToken, now_, now_ + seconds(60), recovered);
    controller_->set_catalog({{"bench", {16, 0, 128}, 60, 0.5, 1.1, 0.39, Seconds(30), {"a"}}});
    if (raises_tokens_) prove_leadership();
    heartbeats_start_ = now_;
  }
  /// A write of the leader was committed.
  void prove_leadership() {
    if (raises_tokens_) controller_->leadership_proven(revision_++);
  }
  static MachineId machine_id(int i) { return std::to_string(100 + i).insert(0, 1, 'm'); }
  WallTime wall_now() const {
    return WallTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }
  JobRecord job_record(const JobId& id, TaskIndex tasks) const {
    JobRecord record;
    record.submitted = wall_now();
    record.spec.id = id;
    record.spec.team = std::string("t");
    record.spec.tasks = tasks;
    record.spec.per_task = {4, 0, 4};
    record.spec.estimate = Seconds(300);
    record.spec.spot_allowed = true;
    record.revision = kToken + 1;
    return record;
  }
  /// Builds the next heartbeat of an agent and advances its sequence number.
  Heartbeat heartbeat_of(const MachineId& id) {
    auto& agent = agents_[id];
    Heartbeat heartbeat{
        id, id, "bench", "a", true, agent.epoch, ++agent.heartbeat_sequence, agent.token, {}, {}};
    if (reclaim_notices_.contains(id)) heartbeat.notice = reclaim_notices_.at(id);
    for (const auto& [key, task] : agent.tasks)
      heartbeat.tasks.push_back({key, task.attempt, TaskState::running, ExitCause::none, false});
    for (const auto& [key, entry] : agent.ended) heartbeat.tasks.push_back(entry);
    return heartbeat;
  }
  /// Executes commands as an agent does.
  void execute(Agent& agent, const std::vector<Command>& commands) {
    for (const auto& command : commands) {
      const TaskStatus stopped{command.task, command.attempt, TaskState::exited, ExitCause::stopped,
                               false};
      if (command.type == CommandType::start && !remembers(agent, command) &&
          agent.tasks.try_emplace(command.task).second)
        start_task(agent, command);
      if (command.type == CommandType::stop && agent.tasks.erase(command.task) > 0)
        agent.ended[command.task] = stopped;
      if (command.type == CommandType::acknowledge) agent.ended.erase(command.task);
    }
  }
  /// Whether the attempt has ended on the agent and was not acknowledged: its start has no effect.
  static bool remembers(const Agent& agent, const Command& start) {
    const auto ended = agent.ended.find(start.task);
    return ended != agent.ended.end() && ended->second.attempt == start.attempt;
  }
  /// Run time of a task of the job. Unlimited for a service, and for a job that the controller no
  /// longer has: a delayed start of such a job may still arrive at an agent.
  Seconds run_time_of(const JobId& id) const {
    const auto found = controller_->jobs().find(id);
    if (found == controller_->jobs().end()) return kUnboundedRunTime;
    return found->second.service() ? kUnboundedRunTime : found->second.spec().estimate;
  }
  /// Starts a task that runs for its estimated run time, or for one second if it fails.
  void start_task(Agent& agent, const Command& command) {
    const auto run_time = run_time_of(command.task.job);
    const bool fails = agent.faulty || faulty_jobs_.contains(command.task.job);
    agent.tasks[command.task] = {command.attempt,
                                 now_ + (fails ? seconds(1) : to_duration(run_time)), fails};
    first_start_times_.try_emplace(command.task.job, now_);
  }
  /// Ends the tasks whose run time is over.
  void end_tasks(Agent& agent) {
    for (auto task = agent.tasks.begin(); task != agent.tasks.end();) {
      if (now_ < task->second.ends) {
        ++task;
        continue;
      }
      agent.ended[task->first] = {task->first, task->second.attempt, TaskState::exited,
                                  task->second.fails ? ExitCause::error : ExitCause::done, false};
      task_failures_ += task->second.fails ? 1 : 0;
      task = agent.tasks.erase(task);
    }
  }
  /// Ends the tasks that are due, sends the heartbeat of an agent, and executes the commands in the
  /// response. If the lease of the agent has expired, first clears its tasks and advances its
  /// epoch.
  void send_heartbeat(const MachineId& id) {
    auto& agent = agents_[id];
    end_tasks(agent);
    if (now_ - agent.lease_renewed_at > to_duration(agent_times_.lease)) {
      ++agent.epoch;
      agent.tasks.clear();
      agent.ended.clear();
      agent.lease_renewed_at = now_;
    }
    if (agent.outbound_partitioned) return;
    const auto heartbeat = heartbeat_of(id);
    if (!agent.sends_heartbeats) return;
    controller_->heartbeat(heartbeat, now_);
    const auto commands = controller_->response_commands(heartbeat);
    const auto token = controller_->response_token(id);
    if (!agent.receives_commands || token < agent.token) return;
    agent.token = token;
    agent.lease_renewed_at = now_;
    execute(agent, commands);
  }
  /// Advances the clock by `duration`; in each step delivers heartbeats, reports missed responses
  /// and executes the actions of the leader.
  void run_for(Seconds duration) {
    for (const auto end = now_ + to_duration(duration); now_ < end; now_ += milliseconds(100)) {
      send_due_heartbeats();
      report_missed_responses();
      controller_->tick(now_, serving_, now_);
      for (auto& action : controller_->take_actions()) execute(action);
    }
  }
  /// Sends the heartbeats that are due. The agents are spread over the heartbeat interval.
  void send_due_heartbeats() {
    std::size_t i = 0;
    for (auto& [id, agent] : agents_) {
      const auto interval = to_duration(heartbeat_interval_);
      const auto phase =
          milliseconds(100) * static_cast<int>(i++ * 7 % (interval / milliseconds(100)));
      if (!agent.returned && (now_ - heartbeats_start_ + phase) % interval == Duration::zero())
        send_heartbeat(id);
    }
  }
  /// Reports to the leader the commands whose response timeout has passed.
  void report_missed_responses() {
    while (!missed_responses_.empty() && missed_responses_.begin()->first <= now_) {
      const auto id = missed_responses_.begin()->second;
      missed_responses_.erase(missed_responses_.begin());
      controller_->commands_answered(id, nullptr, now_);
    }
  }
  /// Executes an action of the leader as the agents, the store and the cloud do.
  void execute(const Action& action) {
    if (const auto* batch = std::get_if<SendCommands>(&action)) {
      deliver(*batch);
    } else if (const auto* save = std::get_if<SaveMachine>(&action)) {
      saved_machines_.insert(save->record.id);
      if (store_answers_) prove_leadership();
      if (store_answers_ && !save->record.endpoint.empty())
        controller_->machine_saved(save->record.id, true, true);
    } else if (const auto* progress = std::get_if<SaveProgress>(&action)) {
      prove_leadership();
      controller_->progress_saved(*progress, true);
    } else if (const auto* finish = std::get_if<FinishJob>(&action)) {
      finished_jobs_.insert(finish->job);
      controller_->job_closed(finish->job, now_);
    } else if (const auto* scale_in = std::get_if<ScaleIn>(&action)) {
      return_machines(*scale_in);
    } else if (const auto* resign = std::get_if<Resign>(&action)) {
      if (!first_resignation_) first_resignation_ = {now_, resign->cause};
    } else if (std::holds_alternative<JobSuspected>(action)) {
      ++suspicions_;
    } else if (const auto* scale_out = std::get_if<ScaleOut>(&action)) {
      grant_machines(*scale_out);
    }
  }
  /// Delivers a command batch to its agent and the response to the leader, unless a fault of the
  /// agent loses either of them.
  void deliver(const SendCommands& batch) {
    for (const auto& command : batch.commands)
      ++(command.type == CommandType::start ? starts_sent_ : stops_sent_)[batch.machine];
    const auto found = agents_.find(batch.machine);
    if (found == agents_.end() || found->second.returned || !found->second.receives_commands ||
        !found->second.sends_heartbeats) {
      missed_responses_.emplace(now_ + milliseconds(700), batch.machine);
      return;
    }
    auto& agent = found->second;
    const bool carried_out = carry_out(agent, batch);
    if (!agent.answers_commands) {
      missed_responses_.emplace(now_ + milliseconds(700), batch.machine);
      return;
    }
    const bool has_start =
        std::any_of(batch.commands.begin(), batch.commands.end(),
                    [](const Command& command) { return command.type == CommandType::start; });
    if (carried_out && has_start) answered_starts_[batch.machine].push_back(batch);
    const auto heartbeat = heartbeat_of(batch.machine);
    controller_->commands_answered(batch.machine, &heartbeat, now_);
  }
  /// Carries out a batch unless the agent refuses its epoch or its fencing token; returns whether
  /// it was carried out.
  bool carry_out(Agent& agent, const SendCommands& batch) {
    const auto token = std::max(kToken, batch.raised_token);
    if (batch.epoch != agent.epoch || token < agent.token) return false;
    agent.token = token;
    execute(agent, batch.commands);
    return true;
  }
  /// Delivers a copy of every batch with a start that the agent has carried out and answered.
  void repeat_answered_starts(const MachineId& id) {
    auto& agent = agents_[id];
    if (agent.returned) return;
    for (const auto& batch : answered_starts_[id]) carry_out(agent, batch);
  }
  void return_machines(const ScaleIn& request) {
    scale_in_causes_ += request.cause + "; ";
    if (!cloud_answers_) return controller_->scale_in_answered(request.machines, false, now_);
    for (const auto& id : request.machines) {
      returned_machines_.insert(id);
      agents_[id].returned = true;
    }
    controller_->scale_in_answered(request.machines, true, now_);
  }
  void grant_machines(const ScaleOut& request) {
    ++scale_out_requests_;
    const bool is_granted = !available_machines_.empty();
    const auto kind =
        is_granted ? ScaleOutResult::Kind::granted : ScaleOutResult::Kind::no_capacity;
    controller_->scale_out_answered(request.name, {kind, std::exchange(available_machines_, {})},
                                    now_);
  }
  /// Number of tasks on machines that have not been returned to the cloud.
  std::size_t running_tasks() const {
    std::size_t count = 0;
    for (const auto& [id, agent] : agents_) count += agent.returned ? 0 : agent.tasks.size();
    return count;
  }

  AgentTimes agent_times_;
  Seconds heartbeat_interval_{3};
  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  TimePoint heartbeats_start_{};
  Seconds idle_wait_{10'000};
  std::vector<ProgressRecord> recovered_progress_;  ///< progress records that the leader recovers
  bool raises_tokens_ = false;  ///< false: as a program that does not raise fencing tokens
  Revision revision_ = kToken;  ///< of the store
  bool serving_ = true;
  bool resigns_when_isolated_ = true;
  std::unique_ptr<Controller> controller_;
  std::map<MachineId, Agent> agents_;
  std::map<MachineId, std::vector<SendCommands>> answered_starts_;
  std::map<MachineId, Seconds> reclaim_notices_;          ///< in the heartbeats of these machines
  std::multimap<TimePoint, MachineId> missed_responses_;  ///< by the time of their timeout
  std::map<MachineId, int> starts_sent_;
  std::map<MachineId, int> stops_sent_;  ///< stop and acknowledge commands
  bool cloud_answers_ = true;
  std::map<JobId, TimePoint> first_start_times_;
  std::set<JobId> finished_jobs_;
  std::set<JobId> faulty_jobs_;  ///< jobs whose every task fails
  int task_failures_ = 0;
  std::size_t suspicions_ = 0;  ///< number of JobSuspected actions
  std::size_t scale_out_requests_ = 0;
  std::vector<MachineId> available_machines_;  ///< granted to the next request; empty: no capacity
  bool store_answers_ = true;                  ///< false: no SaveMachine is answered
  std::set<MachineId> saved_machines_;
  std::set<MachineId> returned_machines_;
  std::string scale_in_causes_;  ///< causes of all ScaleIn actions, each followed by "; "
  std::optional<std::pair<TimePoint, std::string>> first_resignation_;  ///< time and cause
};

}  // namespace violetpulley::core
