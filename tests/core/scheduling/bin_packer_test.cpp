/// @file
/// Tests of run-time bins and the bin packer with small examples from DESIGN and the paper.
#include "core/scheduling/bin_packer.hpp"

#include <gtest/gtest.h>

#include "support/sample_jobs.hpp"

namespace violetpulley::core {
namespace {

TEST(Bins, SpanPowersOfTwo) {
  const Seconds unit{1};
  EXPECT_EQ(bin_of(Seconds(0.9), unit), 0);
  EXPECT_EQ(bin_of(Seconds(1), unit), 1);
  EXPECT_EQ(bin_of(Seconds(1.99), unit), 1);
  EXPECT_EQ(bin_of(Seconds(2), unit), 2);
  EXPECT_EQ(bin_of(Seconds(8), unit), 4);
  EXPECT_EQ(bin_of(Seconds(8), Seconds(4)), 2);
}

TEST(Bins, ATaskPastItsEstimateIsHalfwayDone) {
  EXPECT_EQ(remaining_run_time(Seconds(10), Seconds(4)), Seconds(6));
  EXPECT_EQ(remaining_run_time(Seconds(10), Seconds(25)), Seconds(25));
}

TEST(BinPacker, PrefersOwnBinByClosestTimeThenGreaterThenLesserBinsByFreeCapacity) {
  Fleet fleet;
  auto& far = add_machine(fleet, "far", 8, Seconds(15.5));  // the bin of the 10 s task: [8, 16)
  auto& near = add_machine(fleet, "near", 8, Seconds(9));   // the same bin, closer to 10 s
  auto& greater = add_machine(fleet, "greater", 8, Seconds(40));
  auto& large = add_machine(fleet, "large", 16, Seconds(50));  // greater bin, more free CPUs
  auto& lesser = add_machine(fleet, "lesser", 32, Seconds(3));
  const auto spec = make_spec(1, 1, Seconds(10));
  BinPacker packer(Seconds(1), kNow);
  for (auto* machine : {&far, &near, &greater, &large, &lesser}) packer.add_machine(*machine);
  std::set<MachineId> excluded;
  const auto best_machine = [&] {
    return packer
        .choices(spec, Seconds(10), [&](const Machine& m) { return !excluded.contains(m.id); })
        .best();
  };
  for (auto* expected : {&near, &far, &large, &greater, &lesser}) {
    ASSERT_EQ(best_machine(), expected);
    excluded.insert(expected->id);
  }
  EXPECT_EQ(best_machine(), nullptr);
}

TEST(BinPacker, PrefersAMachineThatHoldsTheImage) {
  Fleet fleet;
  auto& closest = add_machine(fleet, "closest", 8, Seconds(10), false);
  auto& holder = add_machine(fleet, "holder", 8, Seconds(40), true);
  const auto spec = make_spec(1, 1, Seconds(10));
  BinPacker packer(Seconds(1), kNow);
  packer.add_machine(closest);
  packer.add_machine(holder);
  EXPECT_EQ(packer.choices(spec, Seconds(10), [](const Machine&) { return true; }).best(), &holder);
}

}  // namespace
}  // namespace violetpulley::core
