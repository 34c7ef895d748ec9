// The pure parts against small worked examples from DESIGN and the paper.
#include <gtest/gtest.h>

#include "core/autoscaling/consolidation_rules.hpp"
#include "core/controller.hpp"
#include "core/failover/leadership.hpp"

namespace violetpulley::core {
namespace {

const TimePoint kNow = TimePoint{} + std::chrono::hours(1);

JobSpec spec_of(double cpus, double memory, Seconds estimate, std::string image = "i") {
  JobSpec spec;
  spec.id = "req-1";
  spec.team = "t";
  spec.tasks = 1;
  spec.per_task = {cpus, 0, memory};
  spec.image = std::move(image);
  spec.estimate = estimate;
  spec.spot_allowed = true;
  return spec;
}

Machine& machine_with(Fleet& fleet, const MachineId& id, double cpus, Seconds remaining,
                      bool image = true) {
  auto& machine = fleet.add(id);
  machine.capacity = {cpus, 0, cpus * 8};
  machine.cache_gb = 100;
  if (image) machine.images.push_back({"i", 1, true});
  if (remaining > Seconds(0)) {
    Assignment assignment;
    assignment.resources = {1, 0, 1};
    assignment.estimate = remaining;
    assignment.running_since = kNow;
    fleet.assign(machine, {"req-9" + id, 0}, assignment);
  }
  return machine;
}

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

TEST(BinPacker, OwnBinByClosestThenGreaterThenLesserByRoom) {
  Fleet fleet;
  auto& far = machine_with(fleet, "far", 8, Seconds(15.5));  // bin of 10 s: [8, 16)
  auto& near = machine_with(fleet, "near", 8, Seconds(9));   // the same bin, closer
  auto& greater = machine_with(fleet, "greater", 8, Seconds(40));
  auto& roomy = machine_with(fleet, "roomy", 16, Seconds(50));  // greater too, more room
  auto& lesser = machine_with(fleet, "lesser", 32, Seconds(3));
  const auto spec = spec_of(1, 1, Seconds(10));
  BinPacker packer(Seconds(1), kNow);
  for (auto* machine : {&far, &near, &greater, &roomy, &lesser}) packer.offer(*machine);
  std::set<MachineId> barred;
  const auto choose = [&] {
    return packer
        .choices(spec, Seconds(10), [&](const Machine& m) { return !barred.contains(m.id); })
        .best();
  };
  for (auto* expected : {&near, &far, &roomy, &greater, &lesser}) {
    ASSERT_EQ(choose(), expected);
    barred.insert(expected->id);
  }
  EXPECT_EQ(choose(), nullptr);
}

TEST(BinPacker, PrefersAMachineThatHoldsTheImage) {
  Fleet fleet;
  auto& closest = machine_with(fleet, "closest", 8, Seconds(10), false);
  auto& holder = machine_with(fleet, "holder", 8, Seconds(40), true);
  const auto spec = spec_of(1, 1, Seconds(10));
  BinPacker packer(Seconds(1), kNow);
  packer.offer(closest);
  packer.offer(holder);
  EXPECT_EQ(packer.choices(spec, Seconds(10), [](const Machine&) { return true; }).best(), &holder);
}

TEST(Scaler, ScoreIsThePapersExample) {
  MachineType type;
  type.capacity = {8, 0, 16};
  EXPECT_DOUBLE_EQ(offering_score({4, 0, 1}, type, 1.0, {2, 0, 4}), 2.0);
  EXPECT_DOUBLE_EQ(offering_score({4, 0, 1}, type, 0.5, {2, 0, 4}), 4.0);
}

TEST(Scaler, ChoosesTypeAndGroupTogether) {
  MachineType small{"small", {8, 0, 64}, 10, 1, 1.0, 0.3, Seconds(30), {"z"}};
  MachineType large{"large", {64, 0, 512}, 10, 1, 6.0, 2.2, Seconds(30), {"z"}};
  const std::vector<InstanceOffering> options{
      {&small, "z", true, 0.3}, {&small, "z", false, 1.0}, {&large, "z", true, 2.2}};
  auto spec = spec_of(1, 1, Seconds(10));
  Scaler scaler({{&spec, Seconds(10), {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}}, options);
  auto choice = scaler.choose();
  ASSERT_TRUE(choice);
  EXPECT_EQ(scaler.option(*choice).type->name, "small");
  EXPECT_TRUE(scaler.option(*choice).spot);
  EXPECT_EQ(scaler.take(*choice).size(), 8U);
  EXPECT_FALSE(scaler.repeats(*choice)) << "two tasks are left, the group has eight";
  EXPECT_EQ(scaler.take(*scaler.choose()).size(), 2U);
  EXPECT_FALSE(scaler.choose());

  // A task of 16 CPUs fits only the large type; spot is barred, so nothing is left.
  auto big = spec_of(16, 16, Seconds(10));
  big.spot_allowed = false;
  EXPECT_FALSE(Scaler({{&big, Seconds(10), {0}}}, options).choose());
  big.spot_allowed = true;
  Scaler for_big({{&big, Seconds(10), {0}}}, options);
  choice = for_big.choose();
  ASSERT_TRUE(choice);
  EXPECT_EQ(for_big.option(*choice).type->name, "large");
}

// Found on a day with many small urgent tasks and large ones that fit the large type alone: the
// first option filled every round by itself, and no large machine was rented for two minutes.
TEST(Scaler, AFullRequestLeavesTheRoundToOthersButNotToDearerKinds) {
  MachineType small{"small", {8, 0, 64}, 10, 1, 1.0, 0.3, Seconds(30), {"y", "z"}};
  MachineType large{"large", {64, 0, 512}, 10, 1, 9.0, 3.0, Seconds(30), {"z"}};
  auto little = spec_of(1, 1, Seconds(10));
  auto big = spec_of(16, 16, Seconds(10));
  Scaler scaler({{&little, Seconds(20), std::vector<TaskIndex>(100)}, {&big, Seconds(10), {0, 1}}},
                {{&small, "z", true, 0.3},
                 {&small, "y", true, 0.3},
                 {&small, "z", false, 1.0},
                 {&large, "z", true, 3.0}});
  const auto first = scaler.choose();
  ASSERT_EQ(scaler.option(*first).type->name, "small");
  scaler.take(*first);
  scaler.exhaust(*first);
  const auto second = scaler.choose();
  EXPECT_EQ(scaler.option(*second).price, 0.3) << "the same kind in another zone";
  EXPECT_NE(scaler.option(*second).zone, scaler.option(*first).zone);
  scaler.exhaust(*second);
  const auto third = scaler.choose();
  ASSERT_TRUE(third);
  EXPECT_EQ(scaler.option(*third).type->name, "large");
  EXPECT_EQ(scaler.take(*third).size(), 2U) << "the small tasks wait for the next round";
  EXPECT_FALSE(scaler.choose());
}

TEST(Consolidation, RestartsOnlyWhatLosesLessThanItSaves) {
  Fleet fleet;
  auto& machine = machine_with(fleet, "m", 16, Seconds(100));
  EXPECT_TRUE(underused(machine, 0.5));
  EXPECT_TRUE(worth_restarting(machine, kNow, Seconds(30), Seconds(20)));
  // After 60 s, 40 s remain: less than the 60 s that would be lost.
  EXPECT_FALSE(
      worth_restarting(machine, kNow + std::chrono::seconds(60), Seconds(30), Seconds(20)));
}

TEST(Leadership, ServesOnlyAsLongAsACancellationStillEndsInTime) {
  WorkerTimes times{Seconds(3), Seconds(27), Seconds(47), Seconds(35), Seconds(4)};
  Leadership leadership(times, std::chrono::milliseconds(25));
  EXPECT_FALSE(leadership.may_serve(kNow));
  leadership.record_read_barrier(kNow);
  leadership.won(7, 1, kNow);
  EXPECT_FALSE(leadership.may_serve(kNow)) << "the key is ours; others' cancellations are unknown";
  leadership.record_read_barrier(kNow);
  const auto limit = leadership.serving_time();
  EXPECT_LT(limit + times.lease, times.cancel);
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit - Seconds(0.1))));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(0.1))));
  // Neither time alone.
  leadership.record_proof(kNow + std::chrono::seconds(5));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(0.1))));
  leadership.record_read_barrier(kNow + std::chrono::seconds(9));
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit + Seconds(4))));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(6))));
  // An answer that was overtaken takes nothing back.
  leadership.record_read_barrier(kNow + std::chrono::seconds(2));
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit + Seconds(4))));
  leadership.lost();
  EXPECT_FALSE(leadership.may_serve(kNow));
}

// From the sending of the last barrier to the end of the last lease it lets be renewed: every
// `cancel_s` that the settings' check takes leaves time to serve, and the sum holds.
TEST(Leadership, TheSmallestCancelTimeLeavesTimeToServe) {
  for (const double lease : {1.0, 24.0, 45.0})
    for (const int skew : {0, 25, 2000}) {
      WorkerTimes times;
      times.lease = Seconds(lease);
      times.cancel = Leadership::min_cancel_time(times, std::chrono::milliseconds(skew));
      const Leadership leadership(times, std::chrono::milliseconds(skew));
      EXPECT_GT(leadership.serving_time(), Seconds(1.9));
      EXPECT_LE((leadership.serving_time() + times.lease) * 1.0005 + Seconds(0.45), times.cancel);
    }
}

TEST(Progress, IsKeptInRangesAndChunks) {
  JobRecord record;
  record.spec = spec_of(1, 1, Seconds(1));
  record.spec.tasks = 2500;
  Job job(record);
  for (const TaskIndex i : {0U, 1U, 2U, 7U, 1000U}) job.set_done(i);
  const auto first = job.progress(0);
  EXPECT_EQ(first.done, (std::vector<IndexRange>{{0, 2}, {7, 7}}));
  EXPECT_EQ(job.progress(1).done, (std::vector<IndexRange>{{1000, 1000}}));
  EXPECT_TRUE(job.progress(2).done.empty());
  EXPECT_EQ(job.waiting.size(), 2495U);
}

// Found by the simulation (seed 7): work that may not use spot machines waited for ever for a
// cheap kind, because dear kinds were kept for work that had waited.
TEST(Controller, WorkThatMayNotUseSpotRentsADearKindAtOnce) {
  for (const bool spot_allowed : {false, true}) {
    MachineType type{"small", {8, 0, 64}, 10, 1, 1.0, 0.3, Seconds(30), {"z"}};
    JobRecord record;
    record.spec = spec_of(4, 4, Seconds(20));
    record.spec.spot_allowed = spot_allowed;
    record.revision = 9;
    ControllerSettings settings{
        {{"t", 0, 0, 0, 0}}, WorkerTimes{}, Tuning{}, 1.0, Seconds(10), {}, {}, {}};
    Controller controller(settings, 5, kNow, kNow, RecoveredState{});
    controller.set_catalog({type});
    controller.job_opened(record, kNow);
    controller.tick(kNow, true, kNow);
    std::vector<ScaleOut> rentals;
    for (const auto& action : controller.take_actions())
      if (const auto* rent = std::get_if<ScaleOut>(&action)) rentals.push_back(*rent);
    ASSERT_EQ(rentals.size(), 1U);
    EXPECT_EQ(rentals[0].spot, spot_allowed);
    EXPECT_EQ(rentals[0].count, 1);
  }
}

TEST(RateLimiter, HoldsItsRate) {
  RateLimiter limiter(2.0, 2.0);
  auto now = kNow;
  EXPECT_TRUE(limiter.take(now));
  EXPECT_TRUE(limiter.take(now));
  EXPECT_FALSE(limiter.take(now));
  EXPECT_GT(limiter.wait_for(now), Duration::zero());
  now += std::chrono::milliseconds(500);
  EXPECT_TRUE(limiter.take(now));
  EXPECT_FALSE(limiter.take(now));
}

}  // namespace
}  // namespace violetpulley::core
