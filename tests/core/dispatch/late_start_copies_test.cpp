/// @file
/// Tests that a copy of a command batch that was carried out and answered runs no task that is or
/// may be elsewhere, that was cancelled, or whose gang has a newer attempt (docs/safety.md, "An
/// answered start can come again").
#include "support/leader_with_agents.hpp"

namespace violetpulley::core {
namespace {

class LateStartCopiesTest : public LeaderWithAgents {
 protected:
  LateStartCopiesTest() { raises_tokens_ = true; }
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

TEST_F(LateStartCopiesTest, ADoneTaskCountsAgainstItsTeamsLimitUntilACopyOfItsStartIsRefused) {
  auto record = job_record("req-1", 2);
  record.spec.team = "narrow";  // its limit is 8 CPUs, and each task takes 4
  elect_leader(3, 0);
  run_for(Seconds(2));
  controller_->job_opened(record, now_);
  run_for(Seconds(0.3));
  ASSERT_EQ(running_tasks(), 2U);
  const auto first = machine_of(task_);
  agents_[first].receives_commands = false;
  for (auto& [task, running] : agents_[first].tasks) running.ends = now_;
  run_for(Seconds(4));
  auto second = job_record("req-2", 2);
  second.spec.team = "narrow";
  controller_->job_opened(second, now_);
  run_for(Seconds(2));
  lose_tasks(first);
  repeat_answered_starts(first);
  EXPECT_LE(running_tasks(), 2U) << "quota: 8 CPUs at most";
}

TEST_F(LateStartCopiesTest, AnAttemptIsFencedWhileItRuns) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  prove_leadership();
  run_for(Seconds(7));
  EXPECT_EQ(controller_->tokens().unfenced(first), nullptr);
}

TEST_F(LateStartCopiesTest, AFailedTaskRestartsAtOnceAndNoMachineIsReturnedOnALosslessNetwork) {
  start_job(3, job_record("req-1", 1));
  fail_task(machine_of(task_), task_);
  run_for(Seconds(4));  // the heartbeat that lists the failure is at most 3 s away
  EXPECT_EQ(copies_of(task_), 1U);
  EXPECT_TRUE(controller_->ended_attempts().empty());
  run_for(Seconds(60));
  EXPECT_EQ(scale_in_causes_.find("delayed start"), std::string::npos) << scale_in_causes_;
}

TEST_F(LateStartCopiesTest, AFailedTaskIsHeldWhileTheStoreProvesNoRevisionAndItsMachineIsKept) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  ASSERT_TRUE(controller_->tokens().is_exhausted(first));
  store_answers_ = false;
  fail_task(first, task_);
  run_for(Seconds(20));
  EXPECT_EQ(copies_of(task_), 0U) << "a copy of its start may still run it";
  EXPECT_FALSE(returned_machines_.contains(first)) << scale_in_causes_;
  EXPECT_TRUE(agents_[first].ended.contains(task_)) << "the agent must not forget the attempt yet";
  prove_leadership();
  run_for(Seconds(1));
  EXPECT_EQ(copies_of(task_), 1U);
}

TEST_F(LateStartCopiesTest, AHeldTaskOnAMachineThatIsNotReachedRestartsElsewhereAfterItsReturn) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  agents_[first].receives_commands = false;
  fail_task(first, task_);
  run_for(agent_times_.lease * 0.2);
  EXPECT_EQ(copies_of(task_), 0U) << "a copy of its start may still run it";
  run_for(agent_times_.lease * 0.5);
  EXPECT_EQ(copies_of(task_), 1U);
  EXPECT_TRUE(returned_machines_.contains(first));
}

TEST_F(LateStartCopiesTest, ATokenThatNobodyChoseIsNoReasonToResignAndItsAgentIsStillCommanded) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  for (int i = 0; i < 3; ++i) prove_leadership();
  agents_[first].token = revision_ - 1;
  ASSERT_GT(agents_[first].token, controller_->tokens().of(first));
  run_for(kSettlingTime);
  EXPECT_FALSE(first_resignation_);
  controller_->job_closed("req-1", now_);
  run_for(kSettlingTime);
  EXPECT_EQ(copies_of(task_), 0U);
}

TEST_F(LateStartCopiesTest, ATokenAboveEveryProvenRevisionIsOfALaterLeader) {
  start_job(3, job_record("req-1", 1));
  agents_[machine_of(task_)].token = revision_;
  run_for(kSettlingTime);
  EXPECT_TRUE(first_resignation_);
}

TEST_F(LateStartCopiesTest, AnAgentThatHasForgottenItsTokenIsShownItAgain) {
  start_job(3, job_record("req-1", 1));
  const auto first = machine_of(task_);
  fail_task(first, task_);
  run_for(kSettlingTime);
  const auto token = agents_[first].token;
  ASSERT_GT(token, kToken);
  agents_[first].token = 0;
  run_for(kSettlingTime);
  EXPECT_GE(agents_[first].token, token);
  EXPECT_FALSE(first_resignation_);
}

}  // namespace
}  // namespace violetpulley::core
