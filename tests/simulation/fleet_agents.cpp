#include "simulation/fleet_agents.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace violetpulley::core::fleet_simulation {
namespace {

constexpr std::size_t kFirstMachineNumber = 100000;
constexpr std::chrono::milliseconds kExitReportDelay{500};
constexpr std::chrono::seconds kNextNodeDelay{1};
constexpr double kMinRunTimeFactor = 0.7;  // of the configured run time
constexpr double kMaxRunTimeFactor = 1.3;

}  // namespace

Heartbeat FleetAgent::make_heartbeat() {
  Heartbeat heartbeat{id, id, kMachineType, zone, true, epoch, ++heartbeat_sequence, token, {}, {}};
  for (const auto& [key, task] : tasks)
    heartbeat.tasks.push_back({key, task.attempt,
                               task.exited ? TaskState::exited : TaskState::running,
                               task.exited ? ExitCause::done : ExitCause::none});
  return heartbeat;
}

FleetAgents::FleetAgents(FleetEnvironment& environment, FleetNodes& nodes,
                         const FleetConfig& config, FleetResult& result)
    : environment_(environment), nodes_(nodes), config_(config), result_(result) {
  for (std::size_t i = 0; i < config.machines; ++i) {
    auto& agent = agents_.emplace_back();
    agent.id = "m-" + std::to_string(kFirstMachineNumber + i);
    agent.zone = zones()[i % zones().size()];
    const auto interval = kAgentTimes.heartbeat_interval.count();
    agent.next_heartbeat =
        environment_.now() + to_duration(environment_.uniform_seconds(0, interval));
    agent.lease_renewed = environment_.now();
    index_[agent.id] = i;
  }
}

const std::vector<std::string>& FleetAgents::zones() {
  static const std::vector<std::string> all{"a", "b", "c", "d"};
  return all;
}

bool FleetAgents::step(FleetAgent& agent) {
  const auto now = environment_.now();
  if (agent.dead) return false;
  enforce_lease(agent);
  if (now < agent.hangs_until) return false;
  for (auto& [key, task] : agent.tasks) {
    if (task.exited || now < task.ends_at) continue;
    task.exited = true;
    ++result_.completed;
    agent.next_heartbeat = std::min(agent.next_heartbeat, now + kExitReportDelay);
  }
  return agent.heartbeat_in_flight == 0 && now >= agent.next_heartbeat;
}

void FleetAgents::enforce_lease(FleetAgent& agent) {
  const auto now = environment_.now();
  if (now - agent.lease_renewed <= to_duration(kAgentTimes.lease)) return;
  for (const auto& [key, task] : agent.tasks)
    result_.attempts_ended_by_lease += task.exited ? 0 : 1;
  agent.tasks.clear();
  ++agent.epoch;
  agent.lease_renewed = now;
}

void FleetAgents::execute(FleetAgent& agent, const Command& command) {
  const auto found = agent.tasks.find(command.task);
  const bool present = found != agent.tasks.end();
  const bool known = present && found->second.attempt == command.attempt;
  if (command.type == CommandType::start && !present) start(agent, command);
  if (command.type == CommandType::stop && known) found->second.exited = true;
  if (command.type == CommandType::acknowledge && known) agent.tasks.erase(found);
}

void FleetAgents::start(FleetAgent& agent, const Command& command) {
  expect_not_live_elsewhere(agent, command.task);
  if (::testing::Test::HasFatalFailure()) return;
  started_on_[command.task] = agent.id;
  ++result_.started_attempts;
  const auto run_time =
      config_.run_time * environment_.uniform(kMinRunTimeFactor, kMaxRunTimeFactor);
  agent.tasks[command.task] = {command.attempt, environment_.now() + to_duration(run_time), false};
}

void FleetAgents::expect_not_live_elsewhere(const FleetAgent& agent, const TaskKey& key) {
  const auto last = started_on_.find(key);
  if (last == started_on_.end() || last->second == agent.id) return;
  const auto& other = at(last->second);
  const auto task = other.tasks.find(key);
  ASSERT_TRUE(task == other.tasks.end() || task->second.exited)
      << "ran_twice " << key.job << "/" << key.index;
}

void FleetAgents::record_list(std::size_t tasks) {
  result_.max_listed_tasks = std::max(result_.max_listed_tasks, tasks);
}

void FleetAgents::kill(FleetAgent& agent) {
  agent.dead = true;
  agent.tasks.clear();
  disconnect(agent);
}

void FleetAgents::disconnect(FleetAgent& agent) {
  if (agent.connected) --nodes_.at(agent.node).heartbeat_connections;
  agent.connected = false;
  agent.heartbeat_in_flight = 0;
}

void FleetAgents::move_to_next_node(FleetAgent& agent) {
  agent.node = nodes_.next(agent.node);
  agent.next_heartbeat = environment_.now() + kNextNodeDelay;
}

void FleetAgents::disconnect_agents_of(std::size_t node) {
  for (auto& agent : agents_) {
    if (agent.node != node || !agent.connected) continue;
    agent.connected = false;
    agent.heartbeat_in_flight = 0;
    move_to_next_node(agent);
  }
}

}  // namespace violetpulley::core::fleet_simulation
