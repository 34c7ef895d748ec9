/// @file
/// Tests that a copy of a command batch that was carried out and answered runs no task that is or
/// may be elsewhere, that was cancelled, or whose gang has a newer attempt (docs/safety.md, "An
/// answered start can come again").
#include "support/leader_with_agents.hpp"

namespace violetpulley::core {
namespace {

class LateStartCopiesTest : public LeaderWithAgents {
 protected:
  static constexpr Seconds kSettlingTime{4};

  /// Elects a leader of `machines` machines and runs the job until its tasks have started.
  void start_job(int machines, const JobRecord& record) {
    elect_leader(machines, 0);
    run_for(Seconds(2));
    controller_->job_opened(record, now_);
    run_for(kSettlingTime);
    ASSERT_EQ(running_tasks(), record.spec.tasks);
  }
  MachineId machine_of(const TaskKey& task) const {
    for (const auto& [id, agent] : agents_)
      if (!agent.returned && agent.tasks.contains(task)) return id;
    return "";
  }
  std::size_t copies_of(const TaskKey& task) const {
    return static_cast<std::size_t>(
        std::count_if(agents_.begin(), agents_.end(), [&](const auto& entry) {
          return !entry.second.returned && entry.second.tasks.contains(task);
        }));
  }
  /// Lets the machine run what it has and take nothing new.
  void refuse_new_tasks(const MachineId& id) { reclaim_notices_[id] = Seconds(600); }
  void fail_task(const MachineId& id, const TaskKey& task) {
    auto& running = agents_[id].tasks.at(task);
    running.ends = now_;
    running.fails = true;
  }
  /// The machine is back without its tasks in the same epoch.
  void lose_tasks(const MachineId& id) {
    agents_[id].tasks.clear();
    agents_[id].ended.clear();
  }
  /// Repeats the copies with each heartbeat interval for a while.
  void expect_copies(const MachineId& id, const TaskKey& task, std::size_t expected) {
    for (int i = 0; i < 3; ++i) {
      repeat_answered_starts(id);
      EXPECT_LE(copies_of(task), expected) << "a copy of an answered start ran the task again";
      run_for(Seconds(1));
    }
  }

  const TaskKey task_{"req-1", 0};
};

TEST_F(LateStartCopiesTest, AFailedTaskThatMovedIsNotRunAgainOnItsFirstMachine) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  refuse_new_tasks(first);
  fail_task(first, task_);
  run_for(kSettlingTime);
  ASSERT_NE(machine_of(task_), first);
  ASSERT_EQ(copies_of(task_), 1U);
  expect_copies(first, task_, 1);
}

TEST_F(LateStartCopiesTest, ATaskThatItsMachineLostIsNotRunThereOnceItRunsElsewhere) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  refuse_new_tasks(first);
  run_for(Seconds(3));
  lose_tasks(first);
  run_for(Seconds(12));
  ASSERT_EQ(copies_of(task_), 1U);
  if (machine_of(task_) != first) expect_copies(first, task_, 1);
}

TEST_F(LateStartCopiesTest, ACopyBeforeTheMachineHasReportedItsLossRunsTheTaskAtMostOnce) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  refuse_new_tasks(first);
  run_for(Seconds(3));
  lose_tasks(first);
  for (int i = 0; i < 120; ++i) {
    run_for(Seconds(0.1));
    repeat_answered_starts(first);
    ASSERT_LE(copies_of(task_), 1U) << "ran_twice";
  }
}

TEST_F(LateStartCopiesTest, ACancelledTaskIsNotRunAgain) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  controller_->job_closed("req-1", now_);
  run_for(kSettlingTime);
  ASSERT_EQ(copies_of(task_), 0U);
  expect_copies(first, task_, 0);
}

TEST_F(LateStartCopiesTest, ADoneTaskDoesNotTakeCapacityThatItsTeamsLimitNoLongerCovers) {
  auto record = job_record("req-1", 2);
  record.spec.team = "narrow";  // its limit is 8 CPUs, and each task takes 4
  record.spec.estimate = Seconds(6);
  start_job(3, record);
  const auto first = machine_of(task_);
  run_for(Seconds(12));
  ASSERT_EQ(running_tasks(), 0U);
  auto second = job_record("req-2", 2);
  second.spec.team = "narrow";
  controller_->job_opened(second, now_);
  run_for(kSettlingTime);
  ASSERT_EQ(running_tasks(), 2U);
  expect_copies(first, task_, 0);
  EXPECT_LE(running_tasks(), 2U) << "quota: 8 CPUs at most";
}

TEST_F(LateStartCopiesTest, AGangTaskOfAnEarlierAttemptIsNotRunBesideTheNewAttempt) {
  auto gang = job_record("req-1", 2);
  gang.spec.shape = Shape::gang;
  gang.spec.per_task = {16, 0, 16};
  start_job(5, gang);
  const auto first = machine_of(task_);
  refuse_new_tasks(first);
  fail_task(first, task_);
  run_for(Seconds(12));
  ASSERT_EQ(copies_of(task_), 1U);
  ASSERT_NE(machine_of(task_), first);
  expect_copies(first, task_, 1);
}

TEST_F(LateStartCopiesTest, AReplicaThatMovedIsNotRunAgainOnItsFirstMachine) {
  auto service = job_record("req-1", 1);
  service.spec.shape = Shape::service;
  start_job(3, service);
  const auto first = machine_of(task_);
  refuse_new_tasks(first);
  fail_task(first, task_);
  run_for(Seconds(12));
  ASSERT_EQ(copies_of(task_), 1U);
  ASSERT_NE(machine_of(task_), first);
  expect_copies(first, task_, 1);
}

}  // namespace
}  // namespace violetpulley::core
