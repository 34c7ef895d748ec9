/// @file
/// Seeded runs of the simulated world (world.hpp): every rule is checked after each step. The six
/// kinds of worlds differ in their faults and in what the leaders record.
#include "simulation/world.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "simulation/catalog.hpp"

namespace violetpulley::core {
namespace {

using simulated::CommitPolicy;
using simulated::kAgentTimes;
using simulated::World;

/// A world is made from the seed that is the parameter.
class SeededWorld : public ::testing::TestWithParam<int> {
 protected:
  std::uint64_t seed() const { return static_cast<std::uint64_t>(GetParam()); }
};

class ProcessFaults : public SeededWorld {};
class LearnedStateHandover : public SeededWorld {};
class CommittedStarts : public SeededWorld {};
class ProductionFaults : public SeededWorld {};
class CombinedFaults : public SeededWorld {};
class CorrelatedFaults : public SeededWorld {};

// More seeds than CI plays: VIOLETPULLEY_EXTRA_SEEDS=2000 for a long run by hand.
auto seeds(int first, int usual) {
  const char* extra = std::getenv("VIOLETPULLEY_EXTRA_SEEDS");
  const int count = usual + (extra == nullptr ? 0 : std::atoi(extra));
  return ::testing::Range(first, first + count);
}

constexpr Seconds kFaultTime{400};
// A job that no answer is about for so long after the last fault is forgotten.
constexpr Seconds kTimeToLearnAllJobs{75};
constexpr Seconds kTimeToRunAllJobs{475};
// A replica that is being moved at this moment runs again soon (seed 1124 of ProductionFaults).
constexpr int kReplicaInspections = 5;
constexpr Seconds kReplicaInspectionInterval{3};
// A gang of the size of its team's limit waits for the team's replicas to go, and such gangs run
// one after the other: within 50 s that was not enough for three of them (seed 625 of
// ProductionFaults).
constexpr Seconds kTimeToRunGangs{250};

void expect_all_replicas_run(World& world) {
  for (int i = 0; i < kReplicaInspections && world.missing_replicas() > 0; ++i)
    world.run(kReplicaInspectionInterval);
  EXPECT_EQ(world.missing_replicas(), 0U) << world.describe_jobs();
}

// The faults go on for so long and end; then all that was accepted must run, services until they
// are cancelled.
void expect_all_jobs_run(World& world, Seconds fault_time) {
  world.run(fault_time);
  world.end_faults();
  world.stop_submitting();
  while (world.store_fault_active() && !::testing::Test::HasFailure()) world.run(Seconds(1));
  world.run(kTimeToLearnAllJobs);
  world.expect_all_jobs_known();
  world.run(kTimeToRunAllJobs);
  expect_all_replicas_run(world);
  world.cancel_services();
  world.run(kTimeToRunGangs);
  EXPECT_EQ(world.open_jobs(), 0U) << "accepted jobs must run: " << world.describe_jobs();
}

void print_digest(const World& world, std::uint64_t seed) {
  std::cout << "digest of actions, seed " << seed << ": " << history::hex(world.actions_digest())
            << "\n";
}

void print_longest_cancellation(const World& world) {
  std::cout << "longest from a cancellation to gone: "
            << world.rules().longest_cancellation().count() << " of " << kAgentTimes.cancel.count()
            << " s";
}

// Crashes, partitioned leaders, hangs, vanished and faulty machines, spot notices.
TEST_P(ProcessFaults, KeepEveryRuleAndFinish) {
  SCOPED_TRACE("seed " + std::to_string(seed()));
  World world(seed());
  expect_all_jobs_run(world, kFaultTime);
  EXPECT_GT(world.finished_jobs(), 20U);
  EXPECT_GT(world.gang_starts(), 3U);
  print_digest(world, seed());
}

// With learned state handed from leader to leader the rules hold as they do without.
TEST_P(LearnedStateHandover, KeepsEveryRuleAndFinishes) {
  SCOPED_TRACE("seed " + std::to_string(seed()));
  World world(seed());
  world.enable_learned_state_handover();
  expect_all_jobs_run(world, Seconds(300));
  print_digest(world, seed());
}

// Starts of gangs and services that are committed first, by all leaders or by two of three.
TEST_P(CommittedStarts, KeepEveryRuleAndFinish) {
  SCOPED_TRACE("seed " + std::to_string(seed()));
  World world(seed());
  world.set_commit_policy(seed() % 2 == 0 ? CommitPolicy::all_leaders
                                          : CommitPolicy::two_of_three_leaders);
  expect_all_jobs_run(world, kFaultTime);
  EXPECT_GT(world.gang_starts(), 3U);
  EXPECT_GT(world.placement_marks(), 0U);
  print_digest(world, seed());
}

// With what operators met later: inbound partitions, late copies of heartbeats, a leader that keeps
// its agents alone, processes and machines that are back within a fraction of a second.
TEST_P(ProductionFaults, KeepEveryRuleAndFinish) {
  SCOPED_TRACE("seed " + std::to_string(seed()));
  World world(seed());
  world.enable_production_faults(seed());
  if (seed() % 4 == 0) world.set_commit_policy(CommitPolicy::all_leaders);
  expect_all_jobs_run(world, kFaultTime);
  EXPECT_GT(world.network().late_copies(), 10U);
  EXPECT_GT(world.network().blocked_batches() + world.production_faults().machine_restarts() +
                world.production_faults().store_and_peer_partitions(),
            0U);
  print_digest(world, seed());
}

// Faults that meet, beside all of the others (docs/combined-failures.md).
TEST_P(CombinedFaults, KeepEveryRuleAndFinish) {
  SCOPED_TRACE("seed " + std::to_string(seed()));
  World world(seed());
  world.enable_combined_faults(seed());
  if (seed() % 4 == 0) world.set_commit_policy(CommitPolicy::all_leaders);
  expect_all_jobs_run(world, kFaultTime);
  EXPECT_GT(world.store_faults().disruptions(), 0U);
  print_longest_cancellation(world);
  std::cout << ", " << world.store_faults().disruptions() << " gaps\n";
  print_digest(world, seed());
}

// Correlated faults, beside all of the others: outbound partitions, a zone that is cut off, no
// controller for longer than a lease, leaders that change one after the other, jobs cancelled at
// once whose machines hang. Afterwards nothing is left waiting beside free capacity.
TEST_P(CorrelatedFaults, KeepEveryRuleAndLeaveNothingWaiting) {
  SCOPED_TRACE("seed " + std::to_string(seed()));
  World world(seed());
  world.enable_correlated_faults(seed());
  if (seed() % 4 == 0) world.set_commit_policy(CommitPolicy::all_leaders);
  expect_all_jobs_run(world, kFaultTime);
  const auto& counts = world.correlated_faults();
  EXPECT_GT(counts.outbound_partitions, 0U);
  EXPECT_LT(world.liveness().longest_wait(), Seconds(90)) << world.liveness().wait_report();
  print_longest_cancellation(world);
  std::cout << "; waiting beside free capacity " << world.liveness().longest_wait().count()
            << " s; " << counts.outbound_partitions << " outbound partitions, "
            << counts.zone_partitions << " zone partitions, " << counts.controller_absences
            << " absences of all controllers, " << counts.failover_chains << " failover chains, "
            << counts.mass_cancellations << " mass cancellations\n";
  print_digest(world, seed());
}

INSTANTIATE_TEST_SUITE_P(Seeds, ProcessFaults, seeds(1, 24));
INSTANTIATE_TEST_SUITE_P(Seeds, LearnedStateHandover, seeds(101, 8));
INSTANTIATE_TEST_SUITE_P(Seeds, CommittedStarts, seeds(201, 48));
INSTANTIATE_TEST_SUITE_P(Seeds, ProductionFaults, seeds(501, 32));
INSTANTIATE_TEST_SUITE_P(Seeds, CombinedFaults, seeds(701, 32));
INSTANTIATE_TEST_SUITE_P(Seeds, CorrelatedFaults, seeds(901, 32));

// Worlds that show faults which are not mended yet (KNOWN-RED.txt). Once a fault is mended its
// world stays here.
INSTANTIATE_TEST_SUITE_P(OpenFaults, CommittedStarts, ::testing::Values(1917));
INSTANTIATE_TEST_SUITE_P(OpenFaults, CorrelatedFaults, ::testing::Values(2588, 5707));

}  // namespace
}  // namespace violetpulley::core
