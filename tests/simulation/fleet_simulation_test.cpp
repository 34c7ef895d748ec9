/// @file
/// Tests of failovers in a fleet of thousands of machines: connections, commands, lost work and
/// recovery time.
#include "simulation/fleet_simulation.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace violetpulley::core::fleet_simulation {
namespace {

std::ostream& operator<<(std::ostream& out, const FleetResult& result) {
  return out << "started " << result.started_attempts << " done " << result.completed
             << " ended by lease " << result.attempts_ended_by_lease << " peak sockets "
             << result.peak_sockets << " refused " << result.refused_connections
             << " peak command batches per second " << result.max_commands_per_second
             << " requested machines " << result.requested_machines << " returned "
             << result.returned_machines << " recovered after " << result.recovery_time.count()
             << " s, blocked on reconciliation " << result.reconciliation_cost.total().count()
             << " task-s, adopted " << result.stats.adopted << ", longest task list "
             << result.max_listed_tasks << ", longest wait of an event for the processor "
             << result.max_event_delay.count() << " s\n";
}

// Runs a fleet and ends its leader, or all controllers, `times` times, every 8 s.
FleetResult run_with_failovers(const FleetConfig& config, int times,
                               EndedNodes ended = EndedNodes::leader) {
  FleetSimulation fleet(config);
  fleet.run(Seconds(20));
  for (int i = 0; i < times; ++i) {
    fleet.end_leader(ended);
    fleet.run(Seconds(8));
  }
  fleet.run(Seconds(30));
  const auto result = fleet.result();
  std::cout << config.machines << " machines, " << config.sockets_per_node
            << " sockets: " << result;
  return result;
}

TEST(FleetSimulation, NoConnectionIsRefusedAndNoLeaseExpiresAfterFailovers) {
  FleetConfig config;
  const auto result = run_with_failovers(config, 3);
  EXPECT_EQ(result.attempts_ended_by_lease, 0U);
  EXPECT_EQ(result.refused_connections, 0U);
  EXPECT_LT(result.peak_sockets, config.sockets_per_node * 9 / 10);
  EXPECT_GT(result.completed, config.machines * config.tasks_per_machine);
}

// Negative control for the other tests: if command connections stay open and the core does not know
// the number of sockets, the burst of connections after a failover takes the sockets that the
// agents need for heartbeats, and leases expire.
TEST(FleetSimulation, LeasesExpireAfterFailoversWithoutConnectionLimits) {
  FleetConfig config;
  config.configures_sockets = false;
  config.closes_command_connections = false;
  config.run_time = Seconds(80);  // long enough for attempts to be live when a lease expires
  const auto result = run_with_failovers(config, 3);
  EXPECT_GT(result.attempts_ended_by_lease, config.machines);
  EXPECT_GE(result.peak_sockets, config.sockets_per_node);
}

// All controllers end three times in a row.
TEST(FleetSimulation, NoLeaseExpiresAfterRestartsOfAllControllers) {
  FleetConfig config;
  const auto result = run_with_failovers(config, 3, EndedNodes::all);
  EXPECT_EQ(result.attempts_ended_by_lease, 0U);
  EXPECT_LT(result.peak_sockets, config.sockets_per_node * 9 / 10);
}

// With half as many sockets as machines, heartbeats are slower, but every machine gets a connection
// before its lease expires.
TEST(FleetSimulation, NoLeaseExpiresWithTwiceAsManyMachinesAsSockets) {
  FleetConfig config;
  config.sockets_per_node = config.machines / 2;
  const auto result = run_with_failovers(config, 2);
  EXPECT_EQ(result.attempts_ended_by_lease, 0U);
  EXPECT_LE(result.peak_sockets, config.sockets_per_node);
  EXPECT_GT(result.completed, config.machines * config.tasks_per_machine);
}

// With 1 ms of processor time per event, a leader needs 2 s for one heartbeat of each of the 2000
// machines and must send its queries more slowly.
TEST(FleetSimulation, NoLeaseExpiresAndNoMachineIsReturnedUnderASlowLeader) {
  FleetConfig config;
  config.event_processing_time = std::chrono::milliseconds(1);
  config.backlog_share = 2;  // the fleet stays full
  const auto result = run_with_failovers(config, 3);
  EXPECT_EQ(result.attempts_ended_by_lease, 0U);
  EXPECT_EQ(result.returned_machines, 0U) << "all machines are alive";
  EXPECT_LT(result.max_event_delay, Seconds(4)) << "timeout of a heartbeat";
}

enum class CloudState { up, down };

// Kills `dead` machines and ends all controllers, so that the next leader finds the machines
// silent.
FleetResult run_with_dead_machines(std::size_t dead, CloudState cloud) {
  const bool down = cloud == CloudState::down;
  FleetConfig config;
  config.backlog_share = 2;
  config.run_time = Seconds(12);
  FleetSimulation fleet(config);
  fleet.run(Seconds(15));
  fleet.kill_machines(dead);
  if (down) fleet.take_cloud_down();
  fleet.end_leader(EndedNodes::all);
  fleet.run(Seconds(60));
  const auto result = fleet.result();
  std::cout << dead << " dead, cloud " << (down ? "down: " : "up: ") << result;
  EXPECT_EQ(result.attempts_ended_by_lease, 0U);
  return result;
}

// Thousands of tasks wait for a few silent machines. Waiting longer costs more than the machines
// are worth, so the leader declares these machines dead and recovers within 3 s of its election.
TEST(FleetSimulation, SilentMachinesAreDeclaredDeadWhenWaitingCostsMore) {
  const auto result = run_with_dead_machines(20, CloudState::up);
  EXPECT_GE(result.stats.declared_dead, 20U);
  EXPECT_LT(result.recovery_time, Seconds(3));
}

TEST(FleetSimulation, RecoveryWaitsForLeasesWhileTheCloudIsDown) {
  const auto result = run_with_dead_machines(120, CloudState::down);
  EXPECT_GT(result.recovery_time, Seconds(30));
}

// Guards against a fault where a leader requested machines right after its election although the
// whole fleet was idle, because the fleet had not sent heartbeats yet.
TEST(FleetSimulation, NoMachineIsRequestedBeforeTheFleetIsKnown) {
  FleetConfig config;
  config.backlog_share = -0.5;  // tasks for half of the fleet's capacity
  FleetSimulation fleet(config);
  fleet.run(Seconds(4));
  fleet.end_leader(EndedNodes::all);
  fleet.run(Seconds(12));
  const auto result = fleet.result();
  std::cout << result;
  EXPECT_EQ(result.requested_machines, 0U);
  EXPECT_EQ(result.started_attempts, config.machines * config.tasks_per_machine / 2);
}

/// Many short tasks on each machine.
FleetConfig short_tasks(std::size_t machines) {
  FleetConfig config;
  config.machines = machines;
  config.tasks_per_machine = 64;
  config.run_time = Seconds(35);
  config.backlog_share = 4;
  return config;
}

// An exited attempt is listed until it is acknowledged, and a heartbeat holds 64 KiB at most.
TEST(FleetSimulation, AgentsListNoMoreEndedAttemptsThanTheyRunShortTasks) {
  const auto config = short_tasks(50);
  FleetSimulation fleet(config);
  fleet.run(Seconds(100));
  const auto result = fleet.result();
  std::cout << result;
  EXPECT_GT(result.completed, 2 * config.machines * config.tasks_per_machine);
  EXPECT_LE(result.max_listed_tasks, 2 * config.tasks_per_machine);
}

// Prints the figures for docs/reconciliation.md. Runs only with VIOLETPULLEY_STORM_SIZES=1.
TEST(FleetSimulation, PrintsFailoverFiguresOfSeveralFleetSizes) {
  if (std::getenv("VIOLETPULLEY_STORM_SIZES") == nullptr)
    GTEST_SKIP() << "long run that CI skips; set VIOLETPULLEY_STORM_SIZES=1 to run it";
  for (const std::size_t machines : {100, 1000, 2000, 5000}) {
    FleetConfig config;
    config.machines = machines;
    config.sockets_per_node = machines * 17 / 10;
    run_with_failovers(config, 2);
    run_with_failovers(config, 2, EndedNodes::all);
  }
}

}  // namespace
}  // namespace violetpulley::core::fleet_simulation
