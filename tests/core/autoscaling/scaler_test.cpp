/// @file
/// Tests of the choice of instance offerings and of the machines to consolidate, on small examples
/// from DESIGN and the paper.
#include <gtest/gtest.h>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/controller.hpp"
#include "support/sample_jobs.hpp"

namespace violetpulley::core {
namespace {

TEST(Scaler, ScoreIsTheUseOfTheConstrainingResourceOverThePrice) {
  MachineType type;
  type.capacity = {8, 0, 16};
  EXPECT_DOUBLE_EQ(offering_score({4, 0, 1}, type, 1.0, {2, 0, 4}), 2.0);
  EXPECT_DOUBLE_EQ(offering_score({4, 0, 1}, type, 0.5, {2, 0, 4}), 4.0);
}

TEST(Scaler, ChoosesTypeAndGroupTogether) {
  MachineType small{"small", {8, 0, 64}, 10, 1, 1.0, 0.3, Seconds(30), {"z"}};
  MachineType large{"large", {64, 0, 512}, 10, 1, 6.0, 2.2, Seconds(30), {"z"}};
  const std::vector<InstanceOffering> offerings{
      {&small, "z", true, 0.3}, {&small, "z", false, 1.0}, {&large, "z", true, 2.2}};
  auto spec = make_spec(1, 1, Seconds(10));
  Scaler scaler({{&spec, Seconds(10), {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}}, offerings);
  auto choice = scaler.choose();
  ASSERT_TRUE(choice);
  EXPECT_EQ(scaler.offering_of(*choice).type->name, "small");
  EXPECT_TRUE(scaler.offering_of(*choice).spot);
  EXPECT_EQ(scaler.take(*choice).size(), 8U);
  EXPECT_FALSE(scaler.can_repeat(*choice)) << "two tasks are left, but the group has eight";
  EXPECT_EQ(scaler.take(*scaler.choose()).size(), 2U);
  EXPECT_FALSE(scaler.choose());

  // A task of 16 CPUs fits only the large type, which is offered only as spot here.
  auto large_job = make_spec(16, 16, Seconds(10));
  large_job.spot_allowed = false;
  EXPECT_FALSE(Scaler({{&large_job, Seconds(10), {0}}}, offerings).choose());
  large_job.spot_allowed = true;
  Scaler large_job_scaler({{&large_job, Seconds(10), {0}}}, offerings);
  choice = large_job_scaler.choose();
  ASSERT_TRUE(choice);
  EXPECT_EQ(large_job_scaler.offering_of(*choice).type->name, "large");
}

// Many small urgent tasks wait beside large tasks that fit only the large type. Guards against a
// first offering that uses every round for itself: no large machine was requested for two minutes.
TEST(Scaler, TasksOfAnExhaustedOfferingWaitUnlessAnotherOneIsAsCheap) {
  MachineType small{"small", {8, 0, 64}, 10, 1, 1.0, 0.3, Seconds(30), {"y", "z"}};
  MachineType large{"large", {64, 0, 512}, 10, 1, 9.0, 3.0, Seconds(30), {"z"}};
  auto small_job = make_spec(1, 1, Seconds(10));
  auto large_job = make_spec(16, 16, Seconds(10));
  Scaler scaler(
      {{&small_job, Seconds(20), std::vector<TaskIndex>(100)}, {&large_job, Seconds(10), {0, 1}}},
      {{&small, "z", true, 0.3},
       {&small, "y", true, 0.3},
       {&small, "z", false, 1.0},
       {&large, "z", true, 3.0}});
  const auto first = scaler.choose();
  ASSERT_EQ(scaler.offering_of(*first).type->name, "small");
  scaler.take(*first);
  scaler.exhaust(*first);
  const auto second = scaler.choose();
  EXPECT_EQ(scaler.offering_of(*second).price, 0.3) << "expected the same type in another zone";
  EXPECT_NE(scaler.offering_of(*second).zone, scaler.offering_of(*first).zone);
  scaler.exhaust(*second);
  const auto third = scaler.choose();
  ASSERT_TRUE(third);
  EXPECT_EQ(scaler.offering_of(*third).type->name, "large");
  EXPECT_EQ(scaler.take(*third).size(), 2U) << "the small tasks wait for the next round";
  EXPECT_FALSE(scaler.choose());
}

TEST(Consolidation, RestartsTasksOnlyIfTheirRemainingTimeExceedsTheCostOfTheRestart) {
  Fleet fleet;
  auto& machine = add_machine(fleet, "m", 16, Seconds(100));
  EXPECT_TRUE(underused(machine, 0.5));
  EXPECT_TRUE(worth_restarting(machine, kNow, Seconds(30), Seconds(20)));
  // After 60 s the remaining 40 s are less than the 60 s of run time that a restart would lose.
  EXPECT_FALSE(
      worth_restarting(machine, kNow + std::chrono::seconds(60), Seconds(30), Seconds(20)));
}

// Expensive offerings are requested only for jobs that have waited for some time. Guards against
// applying this rule to jobs that may not use spot machines: they would wait although no cheaper
// offering can ever serve them.
TEST(Controller, JobsThatMayNotUseSpotRequestOnDemandMachinesAtOnce) {
  for (const bool spot_allowed : {false, true}) {
    MachineType type{"small", {8, 0, 64}, 10, 1, 1.0, 0.3, Seconds(30), {"z"}};
    JobRecord record;
    record.spec = make_spec(4, 4, Seconds(20));
    record.spec.spot_allowed = spot_allowed;
    record.revision = 9;
    ControllerSettings settings{{{"t", 0, 0, 0, 0}}, AgentTimes{}, Tuning{}, 1.0,
                                Seconds(10),         {},           {},       {}};
    Controller controller(settings, 5, kNow, kNow, RecoveredState{});
    controller.set_catalog({type});
    controller.job_opened(record, kNow);
    controller.tick(kNow, true, kNow);
    std::vector<ScaleOut> requests;
    for (const auto& action : controller.take_actions())
      if (const auto* scale_out = std::get_if<ScaleOut>(&action)) requests.push_back(*scale_out);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests[0].spot, spot_allowed);
    EXPECT_EQ(requests[0].count, 1);
  }
}

}  // namespace
}  // namespace violetpulley::core
