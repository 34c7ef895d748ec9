/// @file
/// Tests of copies of tasks that machines list without an assignment (docs/safety.md, "A copy
/// without an assignment"; docs/incidents/forgotten-copy.md). In each test a delayed heartbeat that
/// was sent before the failover is the first thing the new leader hears of machine `moved_from`:
/// the leader adopts the task there, although its later attempt is on machine `runs_on`.
#include "support/leader_after_failover.hpp"

namespace violetpulley::core {
namespace {

constexpr Attempt kEarlierAttempt = 3;
constexpr Attempt kLaterAttempt = 4;
const MachineId kMovedFrom = "moved_from";
const MachineId kRunsOn = "runs_on";
const MachineId kFree = "free";

class UnassignedCopiesTest : public LeaderAfterFailover {
 protected:
  static TaskStatus earlier(TaskIndex index) { return task("req-1", index, kEarlierAttempt); }
  static TaskStatus later(TaskIndex index) { return task("req-1", index, kLaterAttempt); }
  static TaskStatus later_exited(TaskIndex index, ExitCause cause) {
    return task("req-1", index, kLaterAttempt, TaskState::exited, cause);
  }
  /// A failover in which the delayed heartbeat lists the earlier attempts of the tasks 0 to
  /// `moved` - 1 on `kMovedFrom`; then `kRunsOn` and at last `kMovedFrom` report their present task
  /// lists.
  void fail_over(JobRecord record, TaskIndex moved, const std::vector<TaskStatus>& on_runs_on) {
    start_leader({kFree, kMovedFrom, kRunsOn}, {std::move(record)});
    heartbeat(kFree, {});
    std::vector<TaskStatus> delayed;
    for (TaskIndex index = 0; index < moved; ++index) delayed.push_back(earlier(index));
    heartbeat(kMovedFrom, delayed, kToken - 1);
    heartbeat(kRunsOn, on_runs_on);
    heartbeat(kMovedFrom, {});
  }
  /// Ticks without any answer of `kRunsOn`.
  void run_while_runs_on_is_silent(Seconds length) {
    last_heartbeats_.erase(kRunsOn);
    run(length);
    EXPECT_FALSE(controller_->recovering()) << "every machine has answered";
  }
  /// `kRunsOn` answers again, and reports this task list.
  void runs_on_reports(const std::vector<TaskStatus>& statuses) {
    heartbeat(kRunsOn, statuses);
    answer_commands(kRunsOn);
  }
  std::size_t starts() const { return count(CommandType::start); }
  /// The machine that the task is assigned to; empty: none.
  MachineId machine_of(TaskIndex index) const {
    return controller_->jobs().at("req-1").tasks[index].machine;
  }
};

// Guards against the fault of review/1: the task started again while its later attempt was running.
TEST_F(UnassignedCopiesTest, ATaskDoesNotStartWhileItsLaterAttemptIsListed) {
  fail_over(job("req-1", 1), 1, {later(0)});
  run_while_runs_on_is_silent(Seconds(3));
  EXPECT_EQ(starts(), 0U) << "ran_twice: the task is on runs_on";
  runs_on_reports({later_exited(0, ExitCause::stopped)});
  run(Seconds(1));
  EXPECT_EQ(starts(), 1U) << "the later attempt has ended";
}

TEST_F(UnassignedCopiesTest, ATaskIsAdoptedOnceOnlyItsLaterAttemptIsListed) {
  fail_over(job("req-1", 1), 1, {later(0)});
  runs_on_reports({later(0)});
  run(Seconds(3));
  EXPECT_EQ(starts(), 0U);
  EXPECT_EQ(machine_of(0), kRunsOn);
  runs_on_reports({later_exited(0, ExitCause::stopped)});
  run(Seconds(1));
  EXPECT_EQ(starts(), 1U);
}

TEST_F(UnassignedCopiesTest, AGangDoesNotStartWhileALaterAttemptOfAnyOfItsTasksIsListed) {
  fail_over(job("req-1", 2, Shape::gang), 2, {later(1)});
  run_while_runs_on_is_silent(Seconds(3));
  EXPECT_EQ(starts(), 0U) << "ran_twice: task 1 of the gang is on runs_on";
  for (const auto& [id, machine] : controller_->fleet().all())
    EXPECT_TRUE(machine.reserved_for.empty()) << id << " is kept from other jobs in vain";
  runs_on_reports({later_exited(1, ExitCause::stopped)});
  run(Seconds(1));
  EXPECT_EQ(starts(), 2U);
}

TEST_F(UnassignedCopiesTest, AReplicaDoesNotStartWhileItsLaterAttemptIsListed) {
  fail_over(job("req-1", 2, Shape::service), 1, {later(0)});
  run_while_runs_on_is_silent(Seconds(3));
  EXPECT_EQ(starts(), 1U) << "ran_twice: replica 0 is on runs_on, and replica 1 nowhere";
  runs_on_reports({later_exited(0, ExitCause::stopped)});
  run(Seconds(1));
  EXPECT_EQ(starts(), 2U);
}

// The zone of the later attempt counts: the other tasks must start there, or wait.
TEST_F(UnassignedCopiesTest, ATaskOfAJobInOneZoneDoesNotStartInAnotherZoneThanAListedCopy) {
  zones_[kRunsOn] = "b";
  auto record = job("req-1", 2);
  record.spec.same_zone = true;
  fail_over(record, 1, {later(0)});
  run_while_runs_on_is_silent(Seconds(2));
  for (const TaskIndex index : {0U, 1U})
    EXPECT_TRUE(machine_of(index).empty() || machine_of(index) == kRunsOn)
        << "wrong_place: task 0 is in zone b, and task " << index << " in zone a";
  runs_on_reports({later_exited(0, ExitCause::stopped)});
  run(Seconds(2));
  EXPECT_EQ(starts(), 2U);
}

TEST_F(UnassignedCopiesTest, ASpreadJobCountsTheZoneOfAListedCopy) {
  zones_[kRunsOn] = zones_[kFree] = zones_[kMovedFrom] = "b";
  auto record = job("req-1", 2);
  record.spec.spread = true;
  fail_over(record, 1, {later(0)});
  run_while_runs_on_is_silent(Seconds(2));
  EXPECT_EQ(starts(), 0U) << "wrong_place: one of the two tasks at most may be in zone b";
}

// A completion that is reported while the task is assigned elsewhere is not lost.
TEST_F(UnassignedCopiesTest, ATaskWhoseLaterAttemptIsDoneDoesNotStartAgain) {
  fail_over(job("req-1", 2), 1, {later_exited(0, ExitCause::done)});
  run_while_runs_on_is_silent(Seconds(2));
  EXPECT_EQ(starts(), 1U) << "task 0 is done, and task 1 is nowhere";
  runs_on_reports({later_exited(0, ExitCause::done)});
  run(Seconds(3));
  EXPECT_EQ(starts(), 1U);
  EXPECT_GT(progress_saves(), 0U);
}

TEST_F(UnassignedCopiesTest, AGangWhoseLaterAttemptIsDoneDoesNotStartAgain) {
  fail_over(job("req-1", 2, Shape::gang), 2, {later_exited(0, ExitCause::done)});
  run_while_runs_on_is_silent(Seconds(2));
  EXPECT_EQ(starts(), 0U);
  runs_on_reports({later_exited(0, ExitCause::done)});
  run(Seconds(3));
  EXPECT_EQ(starts(), 0U);
  EXPECT_GT(progress_saves(), 0U);
}

TEST_F(UnassignedCopiesTest, AnUnrecordedCompletionCountsInNoZone) {
  zones_[kRunsOn] = zones_[kFree] = zones_[kMovedFrom] = "b";
  auto record = job("req-1", 2);
  record.spec.spread = true;
  fail_over(record, 1, {later_exited(0, ExitCause::done)});
  run_while_runs_on_is_silent(Seconds(2));
  EXPECT_EQ(starts(), 1U) << "task 0 has left zone b";
}

// The task stays assigned to a silent machine, so its completion is not recorded meanwhile.
TEST_F(UnassignedCopiesTest, AnUnrecordedCompletionReturnsNoMachine) {
  tuning_.idle_wait = Seconds(1000);
  start_leader({kFree, kMovedFrom, kRunsOn}, {job("req-1", 1)});
  heartbeat(kMovedFrom, {earlier(0)}, kToken - 1);
  last_heartbeats_.erase(kMovedFrom);
  const auto most_of_a_lease = static_cast<int>(AgentTimes{}.lease.count() * 0.8);
  for (int second = 0; second < most_of_a_lease; ++second) {
    heartbeat(kFree, {});
    heartbeat(kRunsOn, {later_exited(0, ExitCause::done)});
    run(Seconds(1));
  }
  EXPECT_EQ(std::count(returned_.begin(), returned_.end(), kRunsOn), 0);
  EXPECT_EQ(starts(), 0U);
}

// What ends the wait: a new epoch, the return of the machine, or the end of its lease.
TEST_F(UnassignedCopiesTest, ANewAgentEpochEndsTheListedCopy) {
  fail_over(job("req-1", 1), 1, {later(0)});
  heartbeat(kRunsOn, {}, kToken, 2);
  run(Seconds(1));
  EXPECT_EQ(starts(), 1U);
}

TEST_F(UnassignedCopiesTest, AMachineThatDoesNotEndAListedCopyIsReturnedAndTheTaskStarts) {
  fail_over(job("req-1", 1), 1, {later(0)});
  run_while_runs_on_is_silent(AgentTimes{}.lease / 2 + Seconds(2));
  EXPECT_EQ(starts(), 0U);
  ASSERT_EQ(std::set<MachineId>(returned_.begin(), returned_.end()), std::set<MachineId>{kRunsOn});
  controller_->scale_in_answered({kRunsOn}, true, now_);
  heartbeat(kFree, {});
  run(Seconds(1));
  EXPECT_EQ(starts(), 1U);
}

// The delayed heartbeat arrives last, and its machine is silent from then on. The cloud does not
// return it.
TEST_F(UnassignedCopiesTest, ACopyInADelayedHeartbeatOfASilentMachineEndsWithItsLease) {
  tuning_.idle_wait = Seconds(1000);  // the free machine is kept
  start_leader({kFree, kMovedFrom, kRunsOn}, {job("req-1", 1)});
  heartbeat(kRunsOn, {later(0)});
  heartbeat(kMovedFrom, {earlier(0)}, kToken - 1);
  last_heartbeats_.erase(kMovedFrom);
  heartbeat(kRunsOn, {later_exited(0, ExitCause::error)});
  const auto run_with_heartbeats = [&](int seconds) {
    for (int second = 0; second < seconds; ++second) {
      heartbeat(kFree, {});
      run(Seconds(1));
    }
  };
  run_with_heartbeats(25);
  EXPECT_EQ(starts(), 0U) << "the lease of moved_from may have been renewed by a former leader";
  run_with_heartbeats(75);
  EXPECT_EQ(starts(), 1U);
}

}  // namespace
}  // namespace violetpulley::core
