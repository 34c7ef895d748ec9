#include "simulation/agent_runner.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

using std::chrono::milliseconds;

constexpr Seconds kImageFetchTime{2};
constexpr Seconds kServiceRunTime{1e6};
constexpr Seconds kMinRunTime{0.2};
constexpr double kMinRunTimeFactor = 0.5;  // of the job's estimate
constexpr double kMaxRunTimeFactor = 1.6;
constexpr double kFirstTaskFactor = 0.2;
constexpr double kLastTaskFactor = 3;
constexpr milliseconds kChangeReportDelay{300};
constexpr double kMinHeartbeatInterval = 2.2;  // seconds
constexpr double kMaxHeartbeatInterval = 3.7;

}  // namespace

void AgentRunner::execute(SimulatedAgent& agent, const Command& command) {
  const auto known = agent.tasks.find({command.task, command.attempt});
  const bool found = known != agent.tasks.end();
  if (command.type == CommandType::acknowledge) {
    if (found && !known->second.live()) agent.tasks.erase(known);
  } else if (command.type == CommandType::stop) {
    if (found && known->second.live()) stop(command, known->second);
  } else if (!found) {
    start(agent, command);
  }
}

void AgentRunner::start(SimulatedAgent& agent, const Command& command) {
  const auto& spec = facts_.specs.at(command.task.job);
  AgentTask task;
  for (const auto& [other, live] : agent.tasks)
    if (other.first == command.task && live.live()) task.exit(ExitCause::busy);
  if (!fleet_.has_capacity(agent, spec)) task.exit(ExitCause::no_capacity);
  const auto fetch = agent.images.contains(spec.image) ? Seconds(0) : kImageFetchTime;
  task.image_ready = environment_.now() + to_duration(fetch);
  if (task.live()) {
    EXPECT_TRUE(allowed_on(spec, agent.type, agent.zone, agent.spot))
        << "wrong_place " << command.task.job << "/" << command.task.index;
  }
  agent.tasks.emplace(std::pair{command.task, command.attempt}, task);
}

// Stops an attempt. A running task with checkpoints takes `checkpoint_time` to write one if the
// grace period allows it. A second stop without a grace period ends the checkpoint.
void AgentRunner::stop(const Command& command, AgentTask& task) {
  const auto& spec = facts_.specs.at(command.task.job);
  const bool running = task.state == TaskState::running;
  const bool checkpoints =
      running && spec.checkpoint_every > Seconds(0) && command.grace >= spec.checkpoint_time;
  if (task.state == TaskState::checkpointing && command.grace > Seconds(0)) return;
  if (spec.shape == Shape::gang && running) record_gang_stop(command, checkpoints);
  if (!checkpoints) return task.exit(ExitCause::stopped);
  task.state = TaskState::checkpointing;
  task.ends_at = environment_.now() + to_duration(spec.checkpoint_time);
  ++facts_.checkpoints_begun;
}

void AgentRunner::record_gang_stop(const Command& command, bool checkpoints) {
  const auto now = environment_.now();
  auto& run = facts_.gang_runs[{command.task.job, command.attempt}];
  if (!run.first_stop_at) {
    run.first_stop_at = now;
    facts_.gang_checkpoints[command.task.job] += Seconds(now - run.started_at);
  }
  if (checkpoints && now - *run.first_stop_at <= to_duration(kAgentTimes.gang_peer))
    ++run.checkpointing_tasks;
}

bool AgentRunner::step(SimulatedAgent& agent) {
  const auto now = environment_.now();
  if (!agent.up(now)) return false;
  if (agent.reclaimed_at && now >= *agent.reclaimed_at) {
    agent.terminate();
    return false;
  }
  enforce_lease(agent);
  if (agent.hangs(now)) return false;
  bool changed = false;
  for (auto& [key, task] : agent.tasks)
    if (update_task(agent, key, task)) changed = true;
  if (changed) agent.heartbeat_by(now + kChangeReportDelay);
  return heartbeat_due(agent);
}

void AgentRunner::enforce_lease(SimulatedAgent& agent) {
  const auto now = environment_.now();
  if (now - agent.lease_renewed <= to_duration(kAgentTimes.lease)) return;
  ++agent.epoch;
  agent.tasks.clear();
  agent.lease_renewed = now;
  agent.next_heartbeat = now;
}

bool AgentRunner::update_task(SimulatedAgent& agent, const TaskAttempt& key, AgentTask& task) {
  const auto now = environment_.now();
  const auto& spec = facts_.specs.at(key.first.job);
  const bool gang = spec.shape == Shape::gang;  // GangRunner ends the runs of gangs
  bool changed = false;
  if (task.state == TaskState::checkpointing && now >= task.ends_at) {
    finish_checkpoint(key, spec, task);
    changed = true;
  }
  if (task.state == TaskState::fetching && now >= task.image_ready) {
    begin(agent, key.first, spec, task);
    changed = true;
  }
  if (task.state == TaskState::running && agent.faulty) {
    task.exit(ExitCause::error);
    changed = true;
  } else if (!gang && task.state == TaskState::running && now >= task.ends_at) {
    task.exit(ExitCause::done);
    facts_.completed.insert(key.first);
    changed = true;
  }
  return changed;
}

void AgentRunner::finish_checkpoint(const TaskAttempt& key, const JobSpec& spec, AgentTask& task) {
  task.exit(ExitCause::stopped);
  if (spec.shape != Shape::gang) {
    task.checkpointed = true;
    facts_.checkpoints[key.first] += Seconds(environment_.now() - task.started_at);
    return;
  }
  const auto& run = facts_.gang_runs[{key.first.job, key.second}];
  task.checkpointed = run.checkpointing_tasks == spec.tasks;
  if (task.checkpointed) facts_.checkpointed_gangs.insert(key.first.job);
}

void AgentRunner::begin(SimulatedAgent& agent, const TaskKey& key, const JobSpec& spec,
                        AgentTask& task) {
  const bool gang = spec.shape == Shape::gang;
  agent.images.insert(spec.image);
  task.started_at = environment_.now();
  task.state = gang ? TaskState::waiting : TaskState::running;
  if (gang && facts_.completed.contains(key)) task.exit(ExitCause::done);
  task.ends_at = environment_.now() + to_duration(draw_run_time(key, spec));
}

Seconds AgentRunner::draw_run_time(const TaskKey& key, const JobSpec& spec) {
  if (facts_.completed.contains(key)) return Seconds(0);
  if (spec.shape == Shape::service) return kServiceRunTime;
  const auto full_run_time = spec.estimate *
                             environment_.uniform(kMinRunTimeFactor, kMaxRunTimeFactor) *
                             run_time_factor(key, spec);
  return std::max(kMinRunTime, full_run_time - facts_.checkpoints[key]);
}

double AgentRunner::run_time_factor(const TaskKey& key, const JobSpec& spec) const {
  const bool uneven =
      uneven_run_times_ && spec.shape == Shape::array && spec.tasks >= 2 && spec.tasks <= 3;
  if (!uneven) return 1;
  if (key.index == 0) return kFirstTaskFactor;
  return key.index + 1 == spec.tasks ? kLastTaskFactor : 1;
}

bool AgentRunner::heartbeat_due(SimulatedAgent& agent) {
  const auto now = environment_.now();
  if (now < agent.next_heartbeat) return false;
  agent.next_heartbeat =
      now + to_duration(environment_.uniform_seconds(kMinHeartbeatInterval, kMaxHeartbeatInterval));
  return !agent.partitioned_outbound(now);
}

}  // namespace violetpulley::core::simulated
