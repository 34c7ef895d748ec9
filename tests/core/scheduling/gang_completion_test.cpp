/// @file
/// Tests of a gang that is done before the starts of all its tasks are confirmed: one completed
/// task proves that all are done (docs/safety.md, "Gangs, services and stops";
/// docs/incidents/seed-2588.md).
#include "support/leader_after_failover.hpp"

namespace violetpulley::core {
namespace {

const JobId kGang = "req-1";
const MachineId kDone = "done";        // reports its task of the gang as done
const MachineId kPending = "pending";  // does not confirm the start of its task

class GangCompletionTest : public LeaderAfterFailover {
 protected:
  /// Starts a gang of two tasks that take a machine each. `pending_answers`: `kPending` answers the
  /// leader's query, so that the start can be sent to it; otherwise the query stays in flight.
  void start_gang(bool pending_answers) {
    auto record = job(kGang, 2, Shape::gang);
    record.spec.per_task = {16, 0, 16};
    tuning_.idle_wait = Seconds(1000);
    start_leader({kDone, kPending}, {record});
    run(Seconds(0.1));  // queries both machines
    heartbeat(kDone, {});
    answer_commands(kDone);
    heartbeat(kPending, {});
    if (pending_answers) answer_commands(kPending);
    last_heartbeats_.erase(kPending);
    run(Seconds(0.5));
    ASSERT_EQ(machine(kDone).tasks.size(), 1U);
    ASSERT_EQ(machine(kPending).tasks.size(), 1U);
  }
  /// `kDone` reports its task as done, the end of the job is stored, and the job is closed.
  void finish_gang() {
    const auto& [key, assignment] = *machine(kDone).tasks.begin();
    heartbeat(kDone,
              {task(kGang, key.index, assignment.attempt, TaskState::exited, ExitCause::done)});
    run(Seconds(0.2));
    ASSERT_TRUE(std::any_of(actions_.begin(), actions_.end(), [](const Action& action) {
      return std::holds_alternative<FinishJob>(action);
    }));
    controller_->job_closed(kGang, now_);
  }
  const Machine& machine(const MachineId& id) const { return *controller_->fleet().find(id); }
  double cpus_of_team() const { return controller_->fleet().team_use("t").cpus; }
};

TEST_F(GangCompletionTest, AStartThatWasNeverSentTakesNoCapacityAfterTheGangIsDone) {
  start_gang(false);
  finish_gang();
  EXPECT_EQ(cpus_of_team(), 0) << "the team's limit would count the task indefinitely";
  EXPECT_TRUE(machine(kPending).tasks.empty());
  commands_.clear();
  controller_->commands_answered(kPending, nullptr, now_);
  run(Seconds(3));
  EXPECT_EQ(count(CommandType::start), 0U) << "the job has ended";
}

TEST_F(GangCompletionTest, AStartThatWasNeverSentAfterItsRecordWasCommittedTakesNoCapacity) {
  tuning_.commit_starts = true;
  start_gang(false);
  for (const auto& action : std::exchange(actions_, {}))
    if (const auto* save = std::get_if<SavePlacements>(&action))
      controller_->placements_saved(save->record.job, save->version);
  run(Seconds(0.2));
  ASSERT_EQ(count(CommandType::start), 1U);
  finish_gang();
  EXPECT_EQ(cpus_of_team(), 0);
}

TEST_F(GangCompletionTest, AStartThatMayArriveLateIsStoppedAfterTheGangIsDone) {
  start_gang(true);
  ASSERT_EQ(count(CommandType::start), 2U);
  const auto [key, assignment] = *machine(kPending).tasks.begin();
  finish_gang();
  EXPECT_FALSE(machine(kPending).tasks.empty()) << "the start may be carried out";
  commands_.clear();
  controller_->commands_answered(kPending, nullptr, now_);
  run(Seconds(2));
  EXPECT_EQ(count(CommandType::start), 0U) << "the job has ended";
  EXPECT_EQ(count(CommandType::stop), 1U);
  heartbeat(kPending,
            {task(kGang, key.index, assignment.attempt, TaskState::exited, ExitCause::stopped)});
  EXPECT_EQ(cpus_of_team(), 0);
}

// The task ran, its start was unanswered once, and its machine is back without its tasks.
TEST_F(GangCompletionTest, ADoneTaskThatItsMachineHasLostIsNotStartedAgain) {
  start_gang(true);
  const auto [key, assignment] = *machine(kPending).tasks.begin();
  controller_->commands_answered(kPending, nullptr, now_);
  const std::vector<TaskStatus> running{task(kGang, key.index, assignment.attempt)};
  heartbeat(kPending, running);
  finish_gang();
  heartbeat(kPending, {});
  commands_.clear();
  run(Seconds(3));
  EXPECT_EQ(count(CommandType::start), 0U) << "the job has ended";
  EXPECT_TRUE(machine(kPending).tasks.empty());
  EXPECT_EQ(controller_->ended_attempts().use_of("t").cpus, 16)
      << "a delayed start may still run it, within the team's limit";
}

}  // namespace
}  // namespace violetpulley::core
