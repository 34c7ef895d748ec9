/// @file
/// Tests of the reconciliation after a failover: one test for each row of the table in
/// docs/reconciliation.md, and tests of the socket shares and the in-flight window, which pace the
/// queries. Tests with a whole fleet are in tests/simulation/fleet_simulation_test.cpp.
#include "support/leader_after_failover.hpp"

namespace violetpulley::core {
namespace {

TEST(SocketBudget, HeartbeatsHavePriorityAndEveryShareKeepsAMinimum) {
  for (const std::size_t sockets : {100, 1000, 3494, 20'000})
    for (const std::size_t machines : {0, 50, 2112, 7000, 40'000}) {
      SCOPED_TRACE(std::to_string(sockets) + " sockets, " + std::to_string(machines));
      const auto shares = allocate_sockets({sockets, 5}, machines);
      EXPECT_LE(shares.internal + shares.heartbeats + shares.commands + shares.users, sockets);
      EXPECT_GE(shares.commands, 4U);
      EXPECT_GE(shares.users, 4U);
      EXPECT_GE(shares.heartbeats, std::min(machines, sockets / 3));
      EXPECT_EQ(shares.accepted(sockets), sockets - shares.internal - shares.commands);
    }
  // With half as many machines again as the largest expected fleet, a tenth of the sockets is
  // unused.
  const auto shares = allocate_sockets({3494, 5}, 2112);
  EXPECT_GE(shares.heartbeats, 2112U);
  EXPECT_LT(shares.internal + 2112 + shares.commands + shares.users, 3494U * 9 / 10);
}

TEST(InFlightWindow, GrowsOnQuickAnswersAndShrinksOnSlowAnswersAndLosses) {
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  InFlightWindow window;
  window.set_share(500);
  const auto start = window.size();
  const auto exchange = [&](std::size_t times, Seconds round_trip) {
    for (std::size_t i = 0; i < times; ++i) {
      window.sent();
      window.answered(round_trip);
    }
  };
  exchange(start, Seconds(0.01));
  EXPECT_EQ(window.size(), 2 * start) << "a quick answer for each slot doubles the window";
  exchange(2000, Seconds(0.01));
  EXPECT_EQ(window.size(), 500U) << "the share is the upper limit";
  exchange(100, Seconds(0.8));
  EXPECT_EQ(window.size(), 125U) << "the window is never smaller than a quarter of the share";
  exchange(1000, Seconds(0.01));
  const auto lose = [&](int times) {
    for (int i = 0; i < times; ++i) {
      window.sent();
      window.lost(now);
    }
  };
  // A few losses do not shrink the window, as some machines are always dead.
  now += milliseconds(600);
  exchange(20, Seconds(0.01));
  lose(1);
  const auto before = window.size();
  exchange(20, Seconds(0.01));
  now += milliseconds(600);
  lose(10);
  EXPECT_GE(window.size(), before);
  now += milliseconds(600);
  lose(10);
  EXPECT_EQ(window.size(), before / 2);
  EXPECT_EQ(window.in_flight(), 0U);
}

class Reconciliation : public LeaderAfterFailover {};

TEST_F(Reconciliation, RunningTasksAreAdoptedAndTheRestStartsWhenAllHaveAnswered) {
  start_leader({"m1", "m2"}, {job("req-1", 3)});
  heartbeat("m1", {task("req-1", 0)});
  run(Seconds(0.5));
  EXPECT_EQ(stats().adopted, 1U);
  EXPECT_EQ(count(CommandType::start), 0U) << "m2 may run the other two tasks";
  heartbeat("m2", {});
  run(Seconds(0.5));
  EXPECT_EQ(count(CommandType::start), 2U);
}

TEST_F(Reconciliation, TheOperatorsLimitBoundsTheCommandsInFlight) {
  std::vector<MachineId> machines;
  for (int i = 0; i < 60; ++i) machines.push_back(std::to_string(1000 + i));
  for (const std::size_t max_in_flight : {8, 0}) {
    tuning_.max_commands_in_flight = max_in_flight;
    queried_.clear();
    start_leader(machines, {job("req-1", 1)});
    run(Seconds(0.1));
    EXPECT_EQ(queried_.size(), max_in_flight > 0 ? max_in_flight : 32U);
  }
}

// Repeated queries to machines that do not answer must not take the window from machines that were
// not queried yet.
TEST_F(Reconciliation, SilentMachinesDoNotBlockTheQueriesToOthers) {
  std::vector<MachineId> machines;
  for (int i = 0; i < 60; ++i) machines.push_back(std::to_string(1000 + i));
  tuning_.max_commands_in_flight = 8;
  unreachable_ = true;
  start_leader(machines, {job("req-1", 1)});
  run(Seconds(3));
  EXPECT_EQ(std::set<MachineId>(queried_.begin(), queried_.end()).size(), machines.size());
}

// A new leader must not request machines for jobs submitted after its election while the existing
// machines are idle but have not sent heartbeats yet.
TEST_F(Reconciliation, NoMachinesAreRequestedForNewJobsBeforeTheFleetIsKnown) {
  start_leader({"m1", "m2"}, {});
  auto new_job = job("req-9", 4);
  new_job.revision = kToken + 1;
  controller_->job_opened(new_job, now_);
  run(Seconds(2.5));
  EXPECT_EQ(scale_outs_, 0U);
  controller_->commands_answered("m1", nullptr, now_);
  controller_->commands_answered("m2", nullptr, now_);
  run(Seconds(2.5));
  EXPECT_GT(scale_outs_, 0U) << "no machine answered, so capacity is lacking";
}

TEST_F(Reconciliation, AMachineWithAHeartbeatUnderOurTokenIsNotQueried) {
  start_leader({"m1", "m2"}, {job("req-1", 3)});
  heartbeat("m1", {});
  run(Seconds(0.3));
  EXPECT_EQ(queried_, std::vector<MachineId>{"m2"});
}

TEST_F(Reconciliation, AMachineWithAHeartbeatUnderAnOlderTokenIsQueriedAfterADelay) {
  start_leader({"m1", "m2"}, {job("req-1", 3)});
  heartbeat("m1", {}, kToken - 1);
  run(Seconds(0.9));
  EXPECT_EQ(queried_, std::vector<MachineId>{"m2"});
  run(Seconds(0.6));
  EXPECT_EQ(queried_, (std::vector<MachineId>{"m2", "m1"}));
}

TEST_F(Reconciliation, ATaskStoredAsDoneButStillRunningIsStopped) {
  start_leader({"m1"}, {job("req-1", 2)}, {{"req-1", 0, {{0, 0}}, {}}});
  heartbeat("m1", {task("req-1", 0)});
  run(Seconds(1));
  EXPECT_EQ(stats().stored_done, 1U);
  EXPECT_EQ(count(CommandType::stop), 1U);
}

TEST_F(Reconciliation, ATaskReportedDoneIsStoredBeforeItIsAcknowledged) {
  start_leader({"m1"}, {job("req-1", 2)});
  heartbeat("m1", {task("req-1", 0, 3, TaskState::exited, ExitCause::done)});
  run(Seconds(3));
  EXPECT_EQ(stats().done_unrecorded, 1U);
  EXPECT_GT(progress_saves(), 0U);
  EXPECT_EQ(count(CommandType::acknowledge), 0U);
  for (const auto& command : commands_)
    EXPECT_FALSE(command.type == CommandType::start && command.task.index == 0) << "task 0 is done";
}

TEST_F(Reconciliation, TasksOfJobsThatEndedMeanwhileAreStopped) {
  start_leader({"m1"}, {});
  heartbeat("m1", {task("req-9", 0)});
  EXPECT_EQ(stats().unknown_job, 1U);
  EXPECT_EQ(count(CommandType::stop), 1U);
}

TEST_F(Reconciliation, OfTwoCopiesTheSecondIsStopped) {
  start_leader({"m1", "m2"}, {job("req-1", 1)});
  heartbeat("m1", {task("req-1", 0, 3)});
  heartbeat("m2", {task("req-1", 0, 4)});
  run(Seconds(1));
  EXPECT_EQ(stats().duplicate_copies, 1U);
  ASSERT_EQ(count(CommandType::stop), 1U);
  EXPECT_EQ(commands_.back().attempt, 4U);
}

TEST_F(Reconciliation, AnIncompleteGangIsStoppedBeforeItIsRestarted) {
  start_leader({"m1", "m2"}, {job("req-1", 2, Shape::gang)});
  heartbeat("m1", {task("req-1", 0)});
  heartbeat("m2", {});
  run(Seconds(1));
  EXPECT_EQ(count(CommandType::stop), 1U);
  EXPECT_EQ(count(CommandType::start), 0U) << "the first task is still running";
  heartbeat("m1", {});
  run(Seconds(1));
  EXPECT_EQ(count(CommandType::start), 2U);
}

TEST_F(Reconciliation, ASurplusReplicaIsStoppedAndNotRestarted) {
  start_leader({"m1", "m2"}, {job("req-1", 1, Shape::service)});
  heartbeat("m1", {task("req-1", 0, 3)});
  heartbeat("m2", {task("req-1", 0, 4)});
  run(Seconds(1));
  EXPECT_EQ(count(CommandType::stop), 1U);
  EXPECT_EQ(count(CommandType::start), 0U);
}

TEST_F(Reconciliation, ALaterAgentEpochEndsTheTasksOfTheEarlierEpoch) {
  start_leader({"m1"}, {job("req-1", 1)});
  heartbeat("m1", {task("req-1", 0)}, kToken - 1, 1, 5);
  heartbeat("m1", {}, kToken, 2, 6);
  run(Seconds(0.5));
  EXPECT_EQ(stats().new_epochs, 1U);
  EXPECT_EQ(count(CommandType::start), 1U);
}

TEST_F(Reconciliation, AStaleHeartbeatIsIgnored) {
  start_leader({"m1", "m2"}, {job("req-1", 1)});
  heartbeat("m1", {}, kToken, 2, 6);
  heartbeat("m1", {task("req-1", 0)}, kToken - 1, 1, 9);  // delayed, of an earlier epoch
  heartbeat("m1", {task("req-1", 0)}, kToken, 2, 5);
  EXPECT_EQ(stats().stale_heartbeats, 2U);
  EXPECT_EQ(stats().adopted, 0U);
}

// A delayed heartbeat that arrives first after a failover lists an earlier attempt of a task that
// has since been started on the same machine under a later attempt. When the next heartbeat lists
// only the later attempt, the task must not count as lost, or it runs twice.
TEST_F(Reconciliation, ALaterAttemptOnTheSameMachineOutlivesTheLossOfTheEarlierAttempt) {
  start_leader({"m1", "m2"}, {job("req-1", 1)});
  heartbeat("m2", {});
  heartbeat("m1", {task("req-1", 0, 3)}, kToken - 1, 1, 27);
  heartbeat("m1", {task("req-1", 0, 4)}, kToken, 1, 49);
  run(Seconds(2));
  EXPECT_EQ(count(CommandType::start), 0U) << "the task runs on m1";
  EXPECT_EQ(count(CommandType::stop), 0U);
}

TEST_F(Reconciliation, AMachineThatIsNotStoredIsRegisteredBeforeAnythingStartsThere) {
  start_leader({}, {job("req-1", 1)});
  heartbeat("new", {});
  run(Seconds(0.5));
  EXPECT_EQ(count(CommandType::start), 0U);
  controller_->machine_saved("new", true, true);
  run(Seconds(0.5));
  EXPECT_EQ(count(CommandType::start), 1U);
}

TEST_F(Reconciliation, CommandsGoToAChangedEndpointOnceItIsStored) {
  start_leader({"m1"}, {job("req-1", 1)});
  Heartbeat moved{"m1", "10.0.0.9:9", "bench", "a", true, 1, 1, kToken, {}, {}};
  controller_->heartbeat(moved, now_);
  controller_->tick(now_, true, now_);
  std::string stored_endpoint;
  for (auto& action : controller_->take_actions())
    if (const auto* save = std::get_if<SaveMachine>(&action))
      stored_endpoint = save->record.endpoint;
  // The next leader needs the endpoint too, so nothing starts before the record is committed.
  EXPECT_EQ(stored_endpoint, "10.0.0.9:9");
  controller_->machine_saved("m1", true, true);
  controller_->tick(now_ + milliseconds(200), true, now_);
  std::string endpoint;
  for (auto& action : controller_->take_actions())
    if (const auto* batch = std::get_if<SendCommands>(&action)) endpoint = batch->endpoint;
  EXPECT_EQ(endpoint, "10.0.0.9:9");
}

TEST_F(Reconciliation, AHeartbeatWithAHigherTokenMakesTheLeaderResign) {
  start_leader({"m1"}, {job("req-1", 1)});
  heartbeat("m1", {}, kToken + 1);
  run(Seconds(0.2));
  EXPECT_TRUE(std::any_of(actions_.begin(), actions_.end(), [](const Action& action) {
    return std::holds_alternative<Resign>(action);
  }));
  EXPECT_EQ(count(CommandType::start), 0U);
}

// A leader answers no heartbeats during a scheduling round. Choosing machines for thousands of
// tasks in one round blocks it for seconds.
TEST_F(Reconciliation, ARoundStartsALimitedNumberOfTasks) {
  start_leader({}, {job("req-1", 2000)});
  for (int i = 0; i < 400; ++i) {
    const auto id = std::to_string(1000 + i);
    heartbeat(id, {});
    controller_->machine_saved(id, true, true);
  }
  const auto assigned_tasks = [&] {
    std::size_t tasks = 0;
    for (const auto& [id, machine] : controller_->fleet().all()) tasks += machine.tasks.size();
    return tasks;
  };
  std::size_t before = assigned_tasks();
  std::size_t max_started = 0;
  for (int round = 0; round < 60; ++round) {
    run(Seconds(0.1));
    max_started = std::max(max_started, assigned_tasks() - before);
    before = assigned_tasks();
    if (before < 1600) {
      EXPECT_EQ(scale_outs_, 0U) << "the remaining tasks still fit on the fleet";
    }
  }
  EXPECT_EQ(before, 1600U);
  EXPECT_GT(max_started, 0U);
  EXPECT_LT(max_started, 1000U);
}

// The answer to a heartbeat under an older token renews the lease of the machine, and a delayed
// command of a former leader may have arrived after that heartbeat. So the machine's tasks may run
// until that lease has expired.
TEST_F(Reconciliation, AMachineThatWasAnsweredIsWaitedForUntilItsLeaseHasRunOut) {
  start_leader({"m1", "m2"}, {job("req-1", 1), job("req-2", 3)});
  for (int second = 0; second < 50; ++second) {
    heartbeat("m2", partial_load());
    run(Seconds(1));
  }
  heartbeat("m1", {}, kToken - 1);
  last_heartbeats_.erase("m1");
  const auto lease = AgentTimes{}.lease;
  for (int second = 0; second < 60; ++second) {
    heartbeat("m2", partial_load());
    run(Seconds(1));
    if (Seconds(second) < lease) {
      ASSERT_EQ(count(CommandType::start), 0U) << "after " << second << " s";
    }
  }
  EXPECT_EQ(count(CommandType::start), 1U);
}

// The answer to a machine's first heartbeat renews its lease. If the stop of a task that was
// cancelled under a former leader does not come with that answer and the machine is then
// partitioned, the task outlives the cancel time.
TEST_F(Reconciliation, TheAnswerThatRenewsALeaseStopsTasksOfEndedJobs) {
  start_leader({"m1"}, {job("req-1", 1)});
  heartbeat("m1", {task("req-1", 0), task("req-9", 0, 4)}, kToken - 1);
  ASSERT_EQ(commands_.size(), 1U) << "the answer itself carries the stop";
  EXPECT_EQ(commands_[0].type, CommandType::stop);
  EXPECT_EQ(commands_[0].task.job, "req-9");
}

// A job that was cancelled under the former leader has no record any more, so its task may be on
// any silent machine. A machine that hangs does not end its tasks when its lease expires.
TEST_F(Reconciliation, AMachineThatMayRunCancelledTasksIsReturnedInTimeHoweverManyAreSilent) {
  const std::vector<MachineId> all{"m1", "m2", "m3", "m4", "m5", "m6"};
  start_leader(all, {job("req-2", 3)});
  unreachable_ = true;
  const auto wait = [&](int seconds, int responding) {
    for (int second = 0; second < seconds; ++second) {
      for (int i = 0; i < responding; ++i)
        heartbeat(all[static_cast<std::size_t>(i)],
                  i == 0 ? partial_load() : std::vector<TaskStatus>{});
      run(Seconds(1));
    }
  };
  wait(12, 2);
  EXPECT_TRUE(returned_.empty())
      << "most machines are silent: this leader may be cut off from them";
  wait(5, 2);
  EXPECT_EQ(std::set<MachineId>(returned_.begin(), returned_.end()),
            std::set<MachineId>(all.begin() + 2, all.end()));
  // A leader without any heartbeats is partitioned itself and returns nothing.
  last_heartbeats_.clear();
  returned_.clear();
  start_leader(all, {job("req-2", 3)});
  wait(40, 0);
  EXPECT_TRUE(returned_.empty());
}

// The machine listed a task of a job that has ended, was sent the stop, and has been silent since.
TEST_F(Reconciliation, ASilentMachineThatListedEndedTasksIsReturnedInTimeHoweverManyAreSilent) {
  start_leader({"m1", "m2", "m3", "m4"}, {job("req-2", 3)});
  heartbeat("m1", {task("req-9", 0)});
  heartbeat("m2", partial_load());
  for (const auto* id : {"m3", "m4"}) heartbeat(id, {});
  last_heartbeats_.clear();
  unreachable_ = true;
  const auto lease = AgentTimes{}.lease;
  for (int second = 0; Seconds(second) < lease / 2 + Seconds(2); ++second) {
    heartbeat("m2", partial_load());
    run(Seconds(1));
  }
  EXPECT_EQ(std::set<MachineId>(returned_.begin(), returned_.end()), (std::set<MachineId>{"m1"}));
}

// Once every other controller has reported that it does not lead, no lease is renewed by a former
// leader any more.
TEST_F(Reconciliation, FormerLeadersThatAreKnownToBeGoneShortenTheWait) {
  for (const bool leaders_gone : {false, true}) {
    commands_.clear();
    last_heartbeats_.clear();
    start_leader({"m1", "m2"}, {job("req-1", 1), job("req-2", 3)});
    const auto start = now_;
    std::optional<Seconds> started;
    heartbeat("m2", partial_load());
    run(Seconds(1));
    if (leaders_gone) controller_->former_leaders_gone(now_);
    for (int second = 0; second < 70 && !started; ++second) {
      heartbeat("m2", partial_load());
      run(Seconds(1));
      if (count(CommandType::start) > 0) started = now_ - start;
    }
    ASSERT_TRUE(started);
    EXPECT_EQ(*started < Seconds(32), leaders_gone) << started->count();
    EXPECT_GT(*started, Seconds(1) + AgentTimes{}.lease);
  }
}

// A machine that was not queried is not silent: a leader that is short of processor time queries
// late and must not return healthy machines for that.
TEST_F(Reconciliation, AMachineThatWasNotQueriedTwiceIsNotReturned) {
  start_leader({"m1", "m2", "m3"}, {job("req-1", 30)});
  heartbeat("m1", {});
  heartbeat("m2", {});
  run(Seconds(7));  // m3 was queried once, and its response is pending
  EXPECT_TRUE(returned_.empty());
  controller_->commands_answered("m3", nullptr, now_);
  heartbeat("m1", {});
  heartbeat("m2", {});
  run(Seconds(0.5));
  EXPECT_TRUE(returned_.empty());
  controller_->commands_answered("m3", nullptr, now_);
  heartbeat("m1", {});
  heartbeat("m2", {});
  run(Seconds(0.5));
  EXPECT_EQ(returned_, std::vector<MachineId>{"m3"});
}

}  // namespace
}  // namespace violetpulley::core
