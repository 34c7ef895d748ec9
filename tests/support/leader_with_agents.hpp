// A leader of machines that report, answer orders unless they cannot be reached, and run what they
// are told for as long as their job estimates.
#pragma once

#include <gtest/gtest.h>

#include "core/controller.hpp"

namespace violetpulley::core {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr FencingToken kToken = 40;

class LeaderWithAgents : public ::testing::Test {
 protected:
  struct Running {
    Attempt attempt = 0;
    TimePoint ends{};
    bool fails = false;
  };
  struct Worker {
    std::uint64_t epoch = 1;
    std::uint64_t heartbeat_sequence = 0;
    FencingToken token = 0;
    bool sends_heartbeats = true;       // its reports arrive
    bool outbound_partitioned = false;  // it reports to nobody, and answers what it is told
    bool gets = true;                   // what it is told arrives
    bool gone = false;                  // returned
    bool sick = false;                  // every task fails there
    bool answers = true;                // off: orders are carried out and the answer is lost
    TimePoint renewed{};
    std::map<TaskKey, Running> tasks;
    std::map<TaskKey, TaskStatus> ended;
  };

  void begin(int machines, int jobs = 1, TaskIndex tasks = 4) {
    RecoveredState recovered;
    for (int i = 0; i < machines; ++i) {
      const auto id = name(i);
      recovered.machines.push_back({id, id, "bench", "a", true, {}});
      workers_[id].renewed = now_;
    }
    for (int i = 0; i < jobs; ++i) recovered.jobs.push_back(job("req-" + std::to_string(i), tasks));
    ControllerSettings settings;
    settings.teams = {{"t", 0, 0, 0, 0}, {"narrow", 0, 8, 0, 0}};
    settings.cloud_calls_per_s = 10;
    settings.workers.heartbeat_interval = heartbeat_interval_;
    settings.wall_at_start = wall_now();
    settings.resigns_when_isolated = resigns_when_deaf_;
    settings.tuning.idle_wait = idle_wait_;
    recovered.progress = progress_;
    controller_ =
        std::make_unique<Controller>(settings, kToken, now_, now_ + seconds(60), recovered);
    controller_->set_catalog({{"bench", {16, 0, 128}, 60, 0.5, 1.1, 0.39, Seconds(30), {"a"}}});
    next_ = now_;
  }
  static std::string name(int i) { return std::to_string(100 + i).insert(0, 1, 'm'); }
  WallTime wall_now() const {
    return WallTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()));
  }
  JobRecord job(const JobId& id, TaskIndex tasks) const {
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
  Heartbeat heartbeat_of(const MachineId& id) {
    auto& worker = workers_[id];
    Heartbeat heartbeat{
        id,           id, "bench", "a", true, worker.epoch, ++worker.heartbeat_sequence,
        worker.token, {}, {}};
    for (const auto& [key, task] : worker.tasks)
      heartbeat.tasks.push_back({key, task.attempt, TaskState::running, ExitCause::none, false});
    for (const auto& [key, entry] : worker.ended) heartbeat.tasks.push_back(entry);
    return heartbeat;
  }
  void execute(Worker& worker, const std::vector<Command>& commands) {
    for (const auto& command : commands) {
      const TaskStatus stopped{command.task, command.attempt, TaskState::exited, ExitCause::stopped,
                               false};
      if (command.type == CommandType::start && worker.tasks.try_emplace(command.task).second)
        started(worker, command);
      if (command.type == CommandType::stop && worker.tasks.erase(command.task) > 0)
        worker.ended[command.task] = stopped;
      if (command.type == CommandType::acknowledge) worker.ended.erase(command.task);
    }
  }
  void started(Worker& worker, const Command& command) {
    const auto& job = controller_->jobs().at(command.task.job);
    const auto run_time = job.service() ? kEndless : job.spec().estimate;
    const bool fails = worker.sick || failing_.contains(command.task.job);
    worker.tasks[command.task] = {command.attempt,
                                  now_ + (fails ? seconds(1) : to_duration(run_time)), fails};
    began_.try_emplace(command.task.job, now_);
  }
  void end_tasks(Worker& worker) {
    for (auto task = worker.tasks.begin(); task != worker.tasks.end();) {
      if (now_ < task->second.ends) {
        ++task;
        continue;
      }
      worker.ended[task->first] = {task->first, task->second.attempt, TaskState::exited,
                                   task->second.fails ? ExitCause::error : ExitCause::done, false};
      failures_ += task->second.fails ? 1 : 0;
      task = worker.tasks.erase(task);
    }
  }
  void send_report(const MachineId& id) {
    auto& worker = workers_[id];
    end_tasks(worker);
    if (now_ - worker.renewed > to_duration(times_.lease)) {
      ++worker.epoch;
      worker.tasks.clear();
      worker.ended.clear();
      worker.renewed = now_;
    }
    if (worker.outbound_partitioned) return;
    const auto heartbeat = heartbeat_of(id);
    if (!worker.sends_heartbeats) return;
    controller_->heartbeat(heartbeat, now_);
    const auto commands = controller_->response_commands(heartbeat);
    if (!worker.gets) return;
    worker.token = kToken;
    worker.renewed = now_;
    execute(worker, commands);
  }
  void run(Seconds length) {
    for (const auto end = now_ + to_duration(length); now_ < end; now_ += milliseconds(100)) {
      std::size_t i = 0;
      for (auto& [id, worker] : workers_) {
        const auto every = to_duration(heartbeat_interval_);
        const auto phase =
            milliseconds(100) * static_cast<int>(i++ * 7 % (every / milliseconds(100)));
        if (!worker.gone && (now_ - next_ + phase) % every == Duration::zero()) send_report(id);
      }
      while (!answers_.empty() && answers_.begin()->first <= now_) {
        const auto id = answers_.begin()->second;
        answers_.erase(answers_.begin());
        controller_->commands_answered(id, nullptr, now_);
      }
      controller_->tick(now_, serving_, now_);
      for (auto& action : controller_->take_actions()) execute(action);
    }
  }
  void execute(const Action& action) {
    if (const auto* batch = std::get_if<SendCommands>(&action)) {
      for (const auto& command : batch->commands)
        ++(command.type == CommandType::start ? starts_sent_ : stops_sent_)[batch->machine];
      const auto found = workers_.find(batch->machine);
      if (found == workers_.end() || found->second.gone || !found->second.gets ||
          !found->second.sends_heartbeats) {
        answers_.emplace(now_ + milliseconds(700), batch->machine);
        return;
      }
      auto& worker = found->second;
      if (batch->epoch == worker.epoch) {
        worker.token = kToken;
        execute(worker, batch->commands);
      }
      if (!worker.answers) {
        answers_.emplace(now_ + milliseconds(700), batch->machine);
        return;
      }
      const auto heartbeat = heartbeat_of(batch->machine);
      controller_->commands_answered(batch->machine, &heartbeat, now_);
    } else if (const auto* save = std::get_if<SaveMachine>(&action)) {
      saved_.insert(save->record.id);
      if (store_answers_ && !save->record.endpoint.empty())
        controller_->machine_saved(save->record.id, true, true);
    } else if (const auto* progress = std::get_if<SaveProgress>(&action)) {
      controller_->progress_saved(*progress, true);
    } else if (const auto* finish = std::get_if<FinishJob>(&action)) {
      done_.insert(finish->job);
      controller_->job_closed(finish->job, now_);
    } else if (const auto* release = std::get_if<ScaleIn>(&action)) {
      causes_ += release->cause + "; ";
      if (!cloud_answers_) return controller_->scale_in_answered(release->machines, false, now_);
      for (const auto& id : release->machines) {
        returned_.insert(id);
        workers_[id].gone = true;
      }
      controller_->scale_in_answered(release->machines, true, now_);
    } else if (const auto* resign = std::get_if<Resign>(&action)) {
      if (!resigned_) resigned_ = {now_, resign->cause};
    } else if (std::holds_alternative<JobSuspected>(action)) {
      ++suspected_;
    } else if (const auto* rent = std::get_if<ScaleOut>(&action)) {
      ++rents_;
      const bool any = !for_rent_.empty();
      const auto kind = any ? ScaleOutResult::Kind::granted : ScaleOutResult::Kind::no_capacity;
      controller_->scale_out_answered(rent->name, {kind, std::exchange(for_rent_, {})}, now_);
    }
  }
  std::size_t running() const {
    std::size_t tasks = 0;
    for (const auto& [id, worker] : workers_) tasks += worker.gone ? 0 : worker.tasks.size();
    return tasks;
  }

  WorkerTimes times_;
  Seconds heartbeat_interval_{3};
  TimePoint now_ = TimePoint{} + std::chrono::hours(1);
  TimePoint next_{};
  Seconds idle_wait_{10'000};
  std::vector<ProgressRecord> progress_;  // inherited
  bool serving_ = true;
  bool resigns_when_deaf_ = true;
  std::unique_ptr<Controller> controller_;
  std::map<MachineId, Worker> workers_;
  std::multimap<TimePoint, MachineId> answers_;  // that do not come
  std::map<MachineId, int> starts_sent_;
  std::map<MachineId, int> stops_sent_;  // and forgets
  bool cloud_answers_ = true;
  std::map<JobId, TimePoint> began_;
  std::set<JobId> done_;
  std::set<JobId> failing_;  // submitted with a mistake
  int failures_ = 0;
  std::size_t suspected_ = 0;
  std::size_t rents_ = 0;
  std::vector<MachineId> for_rent_;  // what the next rental brings; none: sold out
  bool store_answers_ = true;        // when machines are registered
  std::set<MachineId> saved_;
  std::set<MachineId> returned_;
  std::string causes_;
  std::optional<std::pair<TimePoint, std::string>> resigned_;
};

}  // namespace violetpulley::core
