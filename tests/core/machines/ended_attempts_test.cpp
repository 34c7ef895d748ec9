/// @file
/// Tests of attempts that have ended on a machine although their start was never answered: a
/// delayed copy of the start may run them there again once the agent has lost its tasks
/// (docs/safety.md, "An attempt that has ended in doubt"; docs/incidents/seed-3130.md).
#include "support/leader_with_agents.hpp"

namespace violetpulley::core {
namespace {

/// Agents carry out starts without answering them. Then a task ends, its agent loses its tasks
/// within the same epoch, and a copy of the start arrives.
class EndedAttemptsTest : public LeaderWithAgents {
 protected:
  /// The machine with the task; fails the test if there is none.
  std::map<MachineId, Agent>::iterator machine_of(const TaskKey& task) {
    const auto found = std::find_if(agents_.begin(), agents_.end(), [&](const auto& entry) {
      return !entry.second.returned && entry.second.tasks.contains(task);
    });
    EXPECT_NE(found, agents_.end()) << task.job << "/" << task.index << " runs nowhere";
    return found;
  }
  /// Opens a job whose starts are carried out without a response.
  void start_without_responses(const JobRecord& record) {
    answer_commands(false);
    controller_->job_opened(record, now_);
    run_for(Seconds(4));
    answer_commands(true);
    run_for(Seconds(4));
  }
  void answer_commands(bool answers) {
    for (auto& [id, agent] : agents_) agent.answers_commands = answers;
  }
  /// Ends a task now and returns its start command.
  Command end_task(Agent& agent, const TaskKey& key, bool fails = false) {
    auto& task = agent.tasks.at(key);
    task.ends = now_;
    task.fails = fails;
    return {CommandType::start, key, task.attempt, Seconds(0)};
  }
  /// The agent forgets its ended tasks within the same epoch, then the delayed starts arrive.
  void restart_agent_and_deliver(Agent& agent, const std::vector<Command>& delayed) {
    agent.ended.clear();
    if (!agent.returned) execute(agent, delayed);
  }
  /// Number of machines with the task that are not returned.
  std::size_t copies_of(const TaskKey& task) const {
    return static_cast<std::size_t>(
        std::count_if(agents_.begin(), agents_.end(), [&](const auto& entry) {
          return !entry.second.returned && entry.second.tasks.contains(task);
        }));
  }
  JobRecord job_of_limited_team(const JobId& id, TaskIndex tasks) const {
    auto record = job_record(id, tasks);
    record.spec.team = "narrow";  // its limit is 8 CPUs, and each task takes 4
    return record;
  }
};

TEST_F(EndedAttemptsTest, ADoneTaskThatMayBeStartedAgainCountsAgainstItsTeamsLimit) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_of_limited_team("req-1", 2));
  ASSERT_EQ(running_tasks(), 2U);
  auto& agent = machine_of({"req-1", 0})->second;
  const auto delayed = end_task(agent, {"req-1", 0});
  run_for(Seconds(4));
  controller_->job_opened(job_of_limited_team("req-2", 2), now_);
  run_for(Seconds(4));
  restart_agent_and_deliver(agent, {delayed});
  EXPECT_LE(running_tasks(), 2U) << "quota: 8 CPUs at most, and each task takes 4";
}

TEST_F(EndedAttemptsTest, ATeamAtItsLimitStartsNewTasksOnceMachinesWithEndedAttemptsAreReturned) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_of_limited_team("req-1", 2));
  ASSERT_EQ(running_tasks(), 2U);
  for (const TaskIndex index : {0U, 1U})
    end_task(machine_of({"req-1", index})->second, {"req-1", index});
  run_for(Seconds(4));
  ASSERT_TRUE(finished_jobs_.contains("req-1"));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  controller_->job_opened(job_of_limited_team("req-2", 2), now_);
  run_for(Seconds(40));
  EXPECT_EQ(running_tasks(), 2U) << "no task may wait for 90 s while there is free capacity";
}

TEST_F(EndedAttemptsTest, DoneTasksTakeNoCapacityAndReturnNoMachineBelowTheTeamLimit) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 8));
  ASSERT_EQ(running_tasks(), 8U);
  for (TaskIndex index = 0; index < 8; ++index)
    end_task(machine_of({"req-1", index})->second, {"req-1", index});
  run_for(Seconds(4));
  ASSERT_EQ(running_tasks(), 0U);
  controller_->job_opened(job_record("req-2", 12), now_);
  run_for(Seconds(60));
  EXPECT_EQ(running_tasks(), 12U) << "ended attempts take no capacity";
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

TEST_F(EndedAttemptsTest, ACancelledTaskThatHasEndedIsNotRunAgainByADelayedStart) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 1));
  auto& agent = machine_of({"req-1", 0})->second;
  const Command delayed{
      CommandType::start, {"req-1", 0}, agent.tasks.begin()->second.attempt, Seconds(0)};
  controller_->job_closed("req-1", now_);
  // The cancellation may have been confirmed up to cancel - lease before this leader learned of it.
  run_for(agent_times_.lease * 0.6);
  restart_agent_and_deliver(agent, {delayed});
  EXPECT_EQ(copies_of({"req-1", 0}), 0U) << "ran_cancelled";
}

TEST_F(EndedAttemptsTest, ADoneTaskOfAJobThatIsCancelledLaterIsNotRunAgain) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 2));
  auto& agent = machine_of({"req-1", 0})->second;
  const auto delayed = end_task(agent, {"req-1", 0});
  run_for(Seconds(30));
  controller_->job_closed("req-1", now_);
  run_for(agent_times_.lease * 0.6);
  restart_agent_and_deliver(agent, {delayed});
  EXPECT_EQ(copies_of({"req-1", 0}), 0U) << "ran_cancelled";
}

// The finish of the job was requested, but refused because the job was cancelled before.
TEST_F(EndedAttemptsTest, ADoneTaskOfAJobWhoseFinishWasRefusedIsNotRunAgain) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 1));
  auto& agent = machine_of({"req-1", 0})->second;
  const auto delayed = end_task(agent, {"req-1", 0});
  run_for(Seconds(4));
  ASSERT_TRUE(finished_jobs_.contains("req-1"));
  controller_->finish_answered("req-1", now_ + seconds(2), now_);
  run_for(agent_times_.lease * 0.6);
  restart_agent_and_deliver(agent, {delayed});
  EXPECT_EQ(copies_of({"req-1", 0}), 0U) << "ran_cancelled";
}

TEST_F(EndedAttemptsTest, AGangRestartsOnlyWhenNoEarlierAttemptCanRunAgain) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  auto gang = job_record("req-1", 2);
  gang.spec.shape = Shape::gang;
  gang.spec.per_task = {16, 0, 16};
  start_without_responses(gang);
  ASSERT_EQ(running_tasks(), 2U);
  const auto first = machine_of({"req-1", 0})->first;
  const auto second = machine_of({"req-1", 1})->first;
  const std::vector<Command> delayed{end_task(agents_[first], {"req-1", 0}, true)};
  const std::vector<Command> other{end_task(agents_[second], {"req-1", 1}, true)};
  run_for(Seconds(3));  // both ends are reported
  for (int step = 0; step < 30; ++step) {
    run_for(Seconds(1));
    const auto before = agents_;
    restart_agent_and_deliver(agents_[first], delayed);
    restart_agent_and_deliver(agents_[second], other);
    ASSERT_LE(copies_of({"req-1", 0}), 1U) << "ran_twice after " << step << " s";
    ASSERT_LE(copies_of({"req-1", 1}), 1U) << "ran_twice after " << step << " s";
    agents_ = before;
  }
  EXPECT_EQ(running_tasks(), 2U) << "the gang runs on other machines";
}

TEST_F(EndedAttemptsTest, AReplicaIsReplacedOnlyWhenItsEarlierAttemptCannotRunAgain) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  auto service = job_record("req-1", 1);
  service.spec.shape = Shape::service;
  start_without_responses(service);
  const auto first = machine_of({"req-1", 0})->first;
  const std::vector<Command> delayed{end_task(agents_[first], {"req-1", 0})};
  run_for(Seconds(3));  // the end is reported
  for (int step = 0; step < 30; ++step) {
    run_for(Seconds(1));
    const auto before = agents_;
    restart_agent_and_deliver(agents_[first], delayed);
    ASSERT_LE(copies_of({"req-1", 0}), 1U) << "ran_twice after " << step << " s";
    agents_ = before;
  }
  EXPECT_EQ(running_tasks(), 1U);
}

// The machine reports no tasks before the delayed start arrives. This does not prove that the start
// has no effect, so the task stays held.
TEST_F(EndedAttemptsTest, AHeldTaskStaysHeldWhenItsMachineReportsNoTasks) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 8));
  const auto first = machine_of({"req-1", 0});
  const std::vector<Command> delayed{end_task(first->second, {"req-1", 0}, true)};
  run_for(Seconds(3));
  first->second.ended.clear();
  run_for(Seconds(5));
  restart_agent_and_deliver(first->second, delayed);
  EXPECT_LE(copies_of({"req-1", 0}), 1U) << "ran_twice";
  run_for(Seconds(15));
  EXPECT_EQ(running_tasks(), 8U);
}

// The machine also runs long tasks. It is returned before they end, so that the held task does not
// wait for them; they lose at most the run time since their last checkpoint.
TEST_F(EndedAttemptsTest, AHeldTaskRestartsWithinHalfALeaseDespiteLongTasksOnItsMachine) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 8));
  ASSERT_EQ(running_tasks(), 8U);
  end_task(machine_of({"req-1", 0})->second, {"req-1", 0}, true);
  run_for(heartbeat_interval_ + agent_times_.lease / 2 + Seconds(5));
  EXPECT_EQ(running_tasks(), 8U);
}

TEST_F(EndedAttemptsTest, ANewAgentEpochReleasesTheHeldTaskAtOnce) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 5));
  const auto first = machine_of({"req-1", 0});
  end_task(first->second, {"req-1", 0}, true);
  run_for(Seconds(3.5));
  ++first->second.epoch;
  first->second.tasks.clear();
  first->second.ended.clear();
  run_for(Seconds(8));
  EXPECT_EQ(running_tasks(), 5U);
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

// Only the return of the machine excludes the delayed start, so the task waits while the cloud does
// not answer and restarts soon after it does.
TEST_F(EndedAttemptsTest, AHeldTaskWaitsWhileTheCloudDoesNotAnswer) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 1));
  const auto first = machine_of({"req-1", 0});
  const std::vector<Command> delayed{end_task(first->second, {"req-1", 0}, true)};
  cloud_answers_ = false;
  run_for(Seconds(60));
  EXPECT_EQ(running_tasks(), 0U);
  cloud_answers_ = true;
  run_for(Seconds(10));
  EXPECT_EQ(running_tasks(), 1U);
  EXPECT_TRUE(returned_machines_.contains(first->first));
}

// The machine of the done task runs no other task of the cancelled job.
TEST_F(EndedAttemptsTest, ADoneTaskOfACancelledJobIsNotRunAgainOnAMachineWithoutOtherTasks) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 5));
  const auto alone = std::find_if(agents_.begin(), agents_.end(),
                                  [](const auto& entry) { return entry.second.tasks.size() == 1; });
  ASSERT_NE(alone, agents_.end());
  const auto task = alone->second.tasks.begin()->first;
  const auto delayed = end_task(alone->second, task);
  run_for(Seconds(4));
  controller_->job_closed("req-1", now_);
  run_for(agent_times_.lease * 0.6);
  restart_agent_and_deliver(alone->second, {delayed});
  EXPECT_EQ(copies_of(task), 0U) << "ran_cancelled";
}

TEST_F(EndedAttemptsTest, NothingStartsOnARetiringMachine) {
  elect_leader(2, 0);
  run_for(Seconds(2));
  start_without_responses(job_record("req-1", 4));
  const auto retiring_machine = machine_of({"req-1", 0})->first;
  end_task(agents_[retiring_machine], {"req-1", 0}, true);
  run_for(Seconds(4));
  starts_sent_.clear();
  controller_->job_opened(job_record("req-2", 8), now_);
  run_for(Seconds(8));
  ASSERT_FALSE(returned_machines_.contains(retiring_machine))
      << "its other tasks have some time left";
  EXPECT_EQ(starts_sent_[retiring_machine], 0);
  EXPECT_GT(running_tasks(), 3U) << "the other machine is used";
}

// A delayed start would fix the zone of the job's waiting tasks, so the machine is returned.
TEST_F(EndedAttemptsTest, AMachineIsReturnedIfItsEndedAttemptRestrictsTheZoneOfWaitingTasks) {
  elect_leader(2, 0);
  run_for(Seconds(2));
  auto bound = job_record("req-1", 10);
  bound.spec.same_zone = true;
  start_without_responses(bound);
  ASSERT_EQ(running_tasks(), 8U);
  const auto first = machine_of({"req-1", 0})->first;
  end_task(agents_[first], {"req-1", 0});
  run_for(heartbeat_interval_ + agent_times_.lease / 2 + Seconds(2));
  EXPECT_TRUE(returned_machines_.contains(first)) << scale_in_causes_;
}

// Agents remember each in-doubt attempt and list it in every heartbeat, so their number is bounded.
TEST_F(EndedAttemptsTest, AMachineWithTooManyInDoubtAttemptsIsReturned) {
  elect_leader(1, 0);
  run_for(Seconds(2));
  auto small = job_record("req-1", 240);
  small.spec.per_task = {0.05, 0, 0.05};
  start_without_responses(small);
  ASSERT_EQ(running_tasks(), 240U);
  run_for(agent_times_.lease / 2 + Seconds(2));
  EXPECT_EQ(returned_machines_.size(), 1U) << scale_in_causes_;
}

}  // namespace
}  // namespace violetpulley::core
