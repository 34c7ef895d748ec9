/// @file
/// What a new leader does to a fleet of thousands: connections, commands, and what is lost by it.
#include "simulation/fleet_simulation.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace violetpulley::core::fleet_simulation {
namespace {

std::ostream& operator<<(std::ostream& out, const Outcome& outcome) {
  return out << "started " << outcome.started << " done " << outcome.done << " killed by lease "
             << outcome.killed_by_lease << " most sockets " << outcome.peak_sockets << " refused "
             << outcome.refused_connections << " most command batches a second "
             << outcome.max_commands_per_second << " requested machines "
             << outcome.requested_machines << " returned " << outcome.returned_machines
             << " recovered after " << outcome.recovered.count() << " s, blocked on reconciliation "
             << outcome.reconciliation_cost.total().count() << " task-s, adopted "
             << outcome.stats.adopted << ", longest wait for the processor "
             << outcome.max_event_delay.count() << " s\n";
}

// A fleet that runs, then failovers every eight seconds.
Outcome run_failovers(const Plan& plan, int times, EndedNodes ended = EndedNodes::leader) {
  FleetSimulation fleet(plan);
  fleet.run(Seconds(20));
  for (int i = 0; i < times; ++i) {
    fleet.end_leader(ended);
    fleet.run(Seconds(8));
  }
  fleet.run(Seconds(30));
  const auto outcome = fleet.outcome();
  std::cout << plan.machines << " machines, " << plan.sockets << " sockets: " << outcome;
  return outcome;
}

TEST(FleetSimulation, FailoversLeaveEveryMachineItsConnection) {
  Plan plan;
  const auto outcome = run_failovers(plan, 3);
  EXPECT_EQ(outcome.killed_by_lease, 0U);
  EXPECT_EQ(outcome.refused_connections, 0U);
  EXPECT_LT(outcome.peak_sockets, plan.sockets * 9 / 10);
  EXPECT_GT(outcome.done, plan.machines * plan.tasks_per_machine);
}

// As it was before: the connections that a failover's burst opens stay open, and the sockets are
// not shared out. Shows that this fleet would reveal the fault.
TEST(FleetSimulation, WithoutBoundsTheBurstTakesTheAgentsConnections) {
  Plan plan;
  plan.configures_sockets = false;
  plan.closes_command_connections = false;
  plan.run = Seconds(80);  // long enough to be caught by the lease
  const auto outcome = run_failovers(plan, 3);
  EXPECT_GT(outcome.killed_by_lease, plan.machines);
  EXPECT_GE(outcome.peak_sockets, plan.sockets);
}

// All controllers end, again and again.
TEST(FleetSimulation, StartsAfterAllControllersEndedDoTheSame) {
  Plan plan;
  const auto outcome = run_failovers(plan, 3, EndedNodes::all);
  EXPECT_EQ(outcome.killed_by_lease, 0U);
  EXPECT_LT(outcome.peak_sockets, plan.sockets * 9 / 10);
}

// Twice as many machines as sockets: slower, but no machine is shut out for a lease.
TEST(FleetSimulation, MoreMachinesThanSocketsTakeTurns) {
  Plan plan;
  plan.sockets = plan.machines / 2;
  const auto outcome = run_failovers(plan, 2);
  EXPECT_EQ(outcome.killed_by_lease, 0U);
  EXPECT_LE(outcome.peak_sockets, plan.sockets);
  EXPECT_GT(outcome.done, plan.machines * plan.tasks_per_machine);
}

// A leader that needs most of a second to handle a heartbeat of every machine probes more slowly.
TEST(FleetSimulation, ASlowProcessorSlowsTheProbesDown) {
  Plan plan;
  plan.per_event = std::chrono::milliseconds(1);
  plan.waiting = 2;  // the fleet stays full
  const auto outcome = run_failovers(plan, 3);
  EXPECT_EQ(outcome.killed_by_lease, 0U);
  EXPECT_EQ(outcome.returned_machines, 0U) << "all of them are alive";
  EXPECT_LT(outcome.max_event_delay, Seconds(4)) << "an agent's timeout";
}

enum class CloudState { up, down };

// All controllers end and so many machines are dead when the next leader is elected.
Outcome run_with_dead_machines(std::size_t dead, CloudState cloud) {
  const bool down = cloud == CloudState::down;
  Plan plan;
  plan.waiting = 2;
  plan.run = Seconds(12);
  FleetSimulation fleet(plan);
  fleet.run(Seconds(15));
  fleet.kill_machines(dead);
  if (down) fleet.take_cloud_down();
  fleet.end_leader(EndedNodes::all);
  fleet.run(Seconds(60));
  const auto outcome = fleet.outcome();
  std::cout << dead << " dead, cloud " << (down ? "down: " : "up: ") << outcome;
  EXPECT_EQ(outcome.killed_by_lease, 0U);
  return outcome;
}

// Thousands of tasks wait for a few silent machines: these are returned after a second or two, not
// after five.
TEST(FleetSimulation, SilentMachinesAreReturnedOnceTheWaitCostsMore) {
  const auto outcome = run_with_dead_machines(20, CloudState::up);
  EXPECT_GE(outcome.stats.declared_dead, 20U);
  EXPECT_LT(outcome.recovered, Seconds(3));
}

TEST(FleetSimulation, WithTheCloudDownTheLeasesAreWaitedFor) {
  const auto outcome = run_with_dead_machines(120, CloudState::down);
  EXPECT_GT(outcome.recovered, Seconds(30));
}

// Found on the bench: right after such a start 200 machines were requested while the whole fleet
// was idle.
TEST(FleetSimulation, NothingIsRequestedBeforeItIsKnownWhatTheFleetHas) {
  Plan plan;
  plan.waiting = -0.5;  // tasks for half of the fleet's capacity
  FleetSimulation fleet(plan);
  fleet.run(Seconds(4));
  fleet.end_leader(EndedNodes::all);
  fleet.run(Seconds(12));
  const auto outcome = fleet.outcome();
  std::cout << outcome;
  EXPECT_EQ(outcome.requested_machines, 0U);
  EXPECT_EQ(outcome.started, plan.machines * plan.tasks_per_machine / 2);
}

// For docs/reconciliation.md, by hand: VIOLETPULLEY_STORM_SIZES=1.
TEST(FleetSimulation, Sizes) {
  if (std::getenv("VIOLETPULLEY_STORM_SIZES") == nullptr) GTEST_SKIP() << "a long run by hand";
  for (const std::size_t machines : {100, 1000, 2000, 5000}) {
    Plan plan;
    plan.machines = machines;
    plan.sockets = machines * 17 / 10;
    run_failovers(plan, 2);
    run_failovers(plan, 2, EndedNodes::all);
  }
}

}  // namespace
}  // namespace violetpulley::core::fleet_simulation
