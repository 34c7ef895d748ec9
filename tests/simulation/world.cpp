#include "simulation/world.hpp"

#include <gtest/gtest.h>

#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {
namespace {

constexpr int kInitialMachines = 3;

// Executes a leader's actions by type.
struct ActionExecutor {
  LeaderProcess& leader;
  FencingToken token;
  Leaders& leaders;
  Network& network;
  Cloud& cloud;
  StoreWriter& writer;

  void operator()(const SendCommands& batch) const { network.send_commands(leader, batch); }
  void operator()(const ScaleOut& request) const { cloud.execute(token, request); }
  void operator()(const ScaleIn& request) const { cloud.execute(leader, request); }
  void operator()(const Resign& resign) const { leaders.resign(token, resign.isolated); }
  void operator()(const JobSuspected&) const {}
  void operator()(const TaskHeld&) const {}
  void operator()(const MachineLostTasks&) const {}
  template <class Write>
  void operator()(const Write& write) const {
    writer.execute(token, write);
  }
};

}  // namespace

World::World(std::uint64_t seed) : environment_(seed) {
  leaders_.set_action_handler([this](LeaderProcess& leader, FencingToken token, Action& action) {
    execute(leader, token, action);
  });
  for (int i = 0; i < kInitialMachines; ++i)
    fleet_.boot("small", i % 2 == 0 ? "a" : "b", false, environment_.now());
  leaders_.elect();
}

void World::run(Seconds length) {
  const auto end = environment_.now() + to_duration(length);
  while (environment_.now() < end && !::testing::Test::HasFailure()) step();
}

void World::enable_production_faults(std::uint64_t seed) {
  environment_.enable_optional_faults(seed);
}

void World::enable_combined_faults(std::uint64_t seed) {
  enable_production_faults(seed);
  combined_faults_enabled_ = true;
  writer_.enable_late_writes();
  agents_.enable_uneven_run_times();
}

void World::enable_correlated_faults(std::uint64_t seed) {
  enable_combined_faults(seed);
  correlated_faults_enabled_ = true;
}

void World::step() {
  environment_.advance();
  if (environment_.faults_active()) inject_faults();
  users_.step();
  step_agents();
  gangs_.step();
  leaders_.step();
  network_.deliver_copies_after_restarts();
  check();
}

void World::inject_faults() {
  process_faults_.step();
  if (combined_faults_enabled_) store_faults_.step();
  if (environment_.optional_faults_enabled()) production_faults_.step();
  if (correlated_faults_enabled_) correlated_faults_.step();
}

void World::step_agents() {
  for (auto& [id, agent] : fleet_.all())
    if (agents_.step(agent)) network_.send_heartbeat(agent);
}

void World::check() {
  const auto live = collect_live_tasks(fleet_, facts_);
  rules_.check(live);
  if (correlated_faults_enabled_ && environment_.faults_ended()) liveness_.check(live);
}

void World::execute(LeaderProcess& leader, FencingToken token, Action& action) {
  std::visit(ActionExecutor{leader, token, leaders_, network_, cloud_, writer_}, action);
}

void World::expect_all_jobs_known() const {
  ASSERT_NE(leaders_.current(), nullptr);
  for (const auto& [id, record] : store_.jobs)
    EXPECT_TRUE(leaders_.current()->controller->jobs().contains(id))
        << "the leader does not know the accepted job " << id;
}

std::size_t World::missing_replicas() const {
  std::size_t missing = 0;
  for (const auto& [id, record] : store_.jobs)
    if (record.spec.shape == Shape::service) missing += record.spec.tasks;
  for (const auto& [id, agent] : fleet_.all())
    for (const auto& [key, task] : agent.tasks)
      if (task.state == TaskState::running && store_.jobs.contains(key.first.job) &&
          facts_.specs.at(key.first.job).shape == Shape::service)
        --missing;
  return missing;
}

}  // namespace violetpulley::core::simulated
