// Seeded runs of the simulated world (world.hpp): every rule is checked after each step.
#include "world.hpp"

namespace violetpulley::core::simulated {
namespace {

class Simulation : public ::testing::TestWithParam<int> {};

TEST_P(Simulation, KeepsEveryRuleAndFinishes) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  SCOPED_TRACE("seed " + std::to_string(seed));
  World world(seed);
  world.run(Seconds(400));
  world.quiet();
  world.stop_submitting();
  world.run(Seconds(550));
  EXPECT_EQ(world.missing_replicas(), 0U) << world.state();
  world.cancel_services();
  world.run(Seconds(50));
  EXPECT_GT(world.finished_jobs(), 20U);
  EXPECT_GT(world.gang_starts(), 3U);
  EXPECT_EQ(world.open_jobs(), 0U) << "accepted jobs must run: " << world.state();
  std::cout << "digest of actions, seed " << seed << ": " << history::hex(world.actions_digest())
            << "\n";
}

// With beliefs handed from leader to leader the rules hold as they do without.
class Believing : public ::testing::TestWithParam<int> {};

TEST_P(Believing, KeepsEveryRuleAndFinishes) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  SCOPED_TRACE("seed " + std::to_string(seed));
  World world(seed);
  world.believe();
  world.run(Seconds(300));
  world.quiet();
  world.stop_submitting();
  world.run(Seconds(550));
  world.cancel_services();
  world.run(Seconds(50));
  EXPECT_EQ(world.open_jobs(), 0U) << "accepted jobs must run: " << world.state();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Believing, ::testing::Range(101, 109));
INSTANTIATE_TEST_SUITE_P(Seeds, Simulation, ::testing::Range(1, 25));

}  // namespace
}  // namespace violetpulley::core::simulated
