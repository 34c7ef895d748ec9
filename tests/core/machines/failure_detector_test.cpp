/// @file
/// Tests of the failure detector and of the checks of machines that depend on it: unacknowledged
/// machines, delayed copies of heartbeats, isolated leaders, outbound partitions and late boots
/// (docs/safety.md, "Heartbeats that prove less than they seem to").
#include "core/machines/failure_detector.hpp"

#include "support/leader_with_agents.hpp"

namespace violetpulley::core {
namespace {

/// Machines that send heartbeats but acknowledge nothing, and isolated leaders.
class FailureDetectorTest : public LeaderWithAgents {
 protected:
  void start_tasks_on_eight_machines() {
    elect_leader(8, 0);
    run_for(Seconds(2));
    controller_->job_opened(job_record("req-1", 32), now_);
    run_for(Seconds(3));
    ASSERT_EQ(running_tasks(), 32U);
  }
  // Machine 3 receives no commands for three seconds: its starts are not answered, and the job of
  // these tasks is cancelled meanwhile.
  void cancel_while_a_start_is_delayed() {
    elect_leader(8, 0);
    run_for(Seconds(2));
    agents_[machine_id(3)].receives_commands = false;
    controller_->job_opened(job_record("req-1", 32), now_);
    run_for(Seconds(1));
    ASSERT_EQ(running_tasks(), 28U);
    controller_->job_closed("req-1", now_);
    run_for(Seconds(2));
    agents_[machine_id(3)].receives_commands = true;
  }
};

// Guards against repeating the same starts once a second for as long as heartbeats arrive.
TEST_F(FailureDetectorTest, AnUnacknowledgedMachineGetsEachStartOnlyOnce) {
  elect_leader(10, 0);
  run_for(Seconds(2));
  for (int i = 0; i < 2; ++i) agents_[machine_id(i)].receives_commands = false;
  for (int i = 0; i < 10; ++i)
    controller_->job_opened(job_record("req-9" + std::to_string(i), 4), now_);
  run_for(Seconds(9));
  for (int i = 0; i < 2; ++i) EXPECT_LE(starts_sent_[machine_id(i)], 4) << "each of its tasks once";
  run_for(Seconds(30));
  EXPECT_EQ(running_tasks(), 32U) << "the reachable machines are full, the others were returned";
  EXPECT_NE(scale_in_causes_.find("out of reach"), std::string::npos) << scale_in_causes_;
  EXPECT_FALSE(first_resignation_);
}

TEST_F(FailureDetectorTest, AMachineThatAcknowledgesAgainIsUsedAgain) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  agents_[machine_id(0)].receives_commands = false;
  controller_->job_opened(job_record("req-1", 16), now_);
  run_for(Seconds(5));
  EXPECT_EQ(running_tasks(), 12U);
  agents_[machine_id(0)].receives_commands = true;
  run_for(Seconds(4));
  EXPECT_EQ(running_tasks(), 16U);
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

// A new epoch proves that the earlier tasks have ended, not that commands arrive at the machine.
TEST_F(FailureDetectorTest, NothingStartsInANewEpochBeforeAnAcknowledgement) {
  elect_leader(4, 0);
  run_for(Seconds(2));
  auto& agent = agents_[machine_id(0)];
  agent.receives_commands = false;
  ++agent.epoch;
  send_heartbeat(machine_id(0));
  starts_sent_.clear();
  controller_->job_opened(job_record("req-1", 20), now_);
  run_for(Seconds(6));
  EXPECT_EQ(starts_sent_[machine_id(0)], 0);
  agent.receives_commands = true;
  run_for(Seconds(4));
  EXPECT_GT(starts_sent_[machine_id(0)], 0);
}

TEST_F(FailureDetectorTest, CancelledTasksOnAnUnacknowledgedMachineEndWithin15Seconds) {
  start_tasks_on_eight_machines();
  agents_[machine_id(3)].receives_commands = false;
  controller_->job_closed("req-1", now_);
  run_for(Seconds(15));
  EXPECT_EQ(running_tasks(), 0U);
  EXPECT_TRUE(returned_machines_.contains(machine_id(3)));
}

// A hung machine does not end its tasks when its lease ends. While most of the fleet is silent, no
// machine is returned for its silence alone, but machines with cancelled tasks must be returned.
TEST_F(FailureDetectorTest, HungMachinesWithCancelledTasksAreReturnedInTimeHoweverManyHang) {
  start_tasks_on_eight_machines();
  for (int i = 0; i < 5; ++i)
    agents_[machine_id(i)].sends_heartbeats = agents_[machine_id(i)].receives_commands = false;
  run_for(Seconds(1));
  controller_->job_closed("req-1", now_);
  run_for(agent_times_.cancel - Seconds(5));
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(returned_machines_.contains(machine_id(i))) << scale_in_causes_;
}

// The start is lost or delayed. A stop that arrives before a delayed start proves nothing, so the
// machine is returned.
TEST_F(FailureDetectorTest, AMachineWithADelayedStartOfACancelledTaskIsReturnedInTime) {
  cancel_while_a_start_is_delayed();
  // The cancellation may have been confirmed up to cancel - lease before this leader learned of it.
  run_for(agent_times_.lease * 0.6);
  EXPECT_TRUE(returned_machines_.contains(machine_id(3))) << scale_in_causes_;
  EXPECT_EQ(returned_machines_.size(), 1U) << scale_in_causes_;
}

// While the cloud does not confirm the return, stops for the cancelled tasks are still sent.
TEST_F(FailureDetectorTest, AMachineThatIsBeingReturnedStillGetsStopsForCancelledTasks) {
  cancel_while_a_start_is_delayed();
  cloud_answers_ = false;
  run_for(agent_times_.lease);
  ASSERT_NE(scale_in_causes_.find("with cancelled work"), std::string::npos) << scale_in_causes_;
  const auto stops_before = stops_sent_[machine_id(3)];
  run_for(Seconds(10));
  EXPECT_GT(stops_sent_[machine_id(3)], stops_before + 5);
}

// Tasks that end before the lease does are not interrupted by an earlier return of the machine.
TEST_F(FailureDetectorTest, AnUnacknowledgedMachineIsKeptWhileItsTasksCanEndWithinTheLease) {
  elect_leader(8, 0);
  run_for(Seconds(2));
  controller_->job_opened(job_record("req-2", 1), now_);
  run_for(Seconds(2));
  auto short_job = job_record("req-1", 31);
  short_job.spec.estimate = Seconds(20);
  controller_->job_opened(short_job, now_);
  run_for(Seconds(3));
  const auto busy = std::find_if(agents_.begin(), agents_.end(), [](const auto& entry) {
    return entry.second.tasks.contains({"req-2", 0});
  });
  ASSERT_EQ(busy->second.tasks.size(), 4U);
  busy->second.receives_commands = false;
  controller_->job_closed("req-2", now_);  // the stop does not arrive
  run_for(Seconds(12));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  run_for(Seconds(10));
  EXPECT_TRUE(returned_machines_.contains(busy->first)) << "the other tasks have ended";
}

// A delayed start may still arrive, so the missing task must not be started elsewhere.
TEST_F(FailureDetectorTest, AMissingTaskWithADelayedStartRestartsOnItsMachineUnderTheSameAttempt) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  for (auto& [id, agent] : agents_) agent.answers_commands = false;
  controller_->job_opened(job_record("req-1", 1), now_);
  run_for(Seconds(4));
  const auto first = std::find_if(agents_.begin(), agents_.end(),
                                  [](const auto& entry) { return !entry.second.tasks.empty(); });
  ASSERT_NE(first, agents_.end());
  for (auto& [id, agent] : agents_) agent.answers_commands = true;
  run_for(Seconds(4));
  const auto attempt = first->second.tasks.begin()->second.attempt;
  first->second.tasks.clear();  // the agent has lost its tasks within the same epoch
  run_for(Seconds(6));
  EXPECT_EQ(running_tasks(), 1U);
  ASSERT_EQ(first->second.tasks.size(), 1U)
      << "a delayed start of this attempt has no effect there";
  EXPECT_EQ(first->second.tasks.begin()->second.attempt, attempt);
}

// A task ends on a machine that never answered its start, and restarts elsewhere. If the agent then
// loses its tasks and its memory of the attempt within the same epoch, a delayed start runs the
// ended attempt beside the new one (ran_twice, quota). So the task is held until the machine is
// returned or has a new epoch (docs/incidents/seed-3130.md). ended_attempts_test.cpp has further
// cases.
TEST_F(FailureDetectorTest, ADelayedStartOnAMachineThatLostItsTasksRunsNoTaskTwice) {
  elect_leader(2, 0);
  run_for(Seconds(2));
  for (auto& [id, agent] : agents_) agent.answers_commands = false;
  controller_->job_opened(job_record("req-1", 1), now_);
  run_for(Seconds(4));
  for (auto& [id, agent] : agents_) agent.answers_commands = true;
  run_for(Seconds(4));
  const auto first = std::find_if(agents_.begin(), agents_.end(),
                                  [](const auto& entry) { return !entry.second.tasks.empty(); });
  ASSERT_NE(first, agents_.end());
  auto& task = first->second.tasks.begin()->second;
  const Command delayed{CommandType::start, {"req-1", 0}, task.attempt, Seconds(0)};
  task.ends = now_;
  task.fails = true;
  run_for(Seconds(8));
  first->second.ended.clear();
  if (!first->second.returned) execute(first->second, {delayed});
  EXPECT_LE(running_tasks(), 1U) << "ran_twice";
}

TEST_F(FailureDetectorTest, ALeaderResignsIfNoMachineAcknowledgesAndStaysIfAFewDoNot) {
  elect_leader(12, 0);
  run_for(Seconds(3));
  for (int i = 0; i < 3; ++i) agents_[machine_id(i)].receives_commands = false;
  run_for(Seconds(20));
  EXPECT_FALSE(first_resignation_);
  for (auto& [id, agent] : agents_) agent.receives_commands = false;
  const auto partitioned_at = now_;
  run_for(Seconds(12));
  ASSERT_TRUE(first_resignation_);
  EXPECT_EQ(first_resignation_->second, "its machines are heard, and none of them is reached");
  EXPECT_LT(first_resignation_->first - partitioned_at, seconds(12));
}

// Guards against an isolated leader that returns healthy machines, those with the oldest heartbeats
// first, before it notices that it receives no heartbeats at all. In docs/incidents/inc-c2d3.md it
// returned nine machines within ten seconds.
TEST_F(FailureDetectorTest, AnIsolatedLeaderResignsBeforeItReturnsAnyMachine) {
  heartbeat_interval_ = Seconds(5);
  elect_leader(40, 0);
  run_for(Seconds(5));
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = false;
  const auto partitioned_at = now_;
  run_for(Seconds(12));
  ASSERT_TRUE(first_resignation_);
  EXPECT_EQ(first_resignation_->second, "no machine is heard from");
  EXPECT_LT(first_resignation_->first - partitioned_at, seconds(4));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

// An isolated leader that may not resign must wait and not return its machines one by one.
TEST_F(FailureDetectorTest, AnIsolatedLeaderThatMayNotResignReturnsNoMachine) {
  heartbeat_interval_ = Seconds(5);
  resigns_when_isolated_ = false;
  elect_leader(40, 0);
  run_for(Seconds(5));
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = false;
  run_for(Seconds(50));
  EXPECT_FALSE(first_resignation_);
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  // At the end of the partition the heartbeats resume one by one. Machines without a heartbeat yet
  // must not be returned as silent, nor the others as unacknowledged (docs/incidents/hunt-fa96.md).
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = true;
  run_for(Seconds(12));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

// Guards against a leader that does not resign when it is isolated a second time within three
// minutes while agents send heartbeats to its peers. It stayed for 50 s, and all tasks ended with
// their leases (docs/incidents/hunt-fa96.md).
TEST_F(FailureDetectorTest, ALeaderThatResignedRecentlyResignsAgainIfPeersReceiveHeartbeats) {
  resigns_when_isolated_ = false;
  elect_leader(40, 0);
  run_for(Seconds(5));
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = false;
  run_for(Seconds(4));
  EXPECT_FALSE(first_resignation_);
  controller_->record_peer_receives_heartbeats(now_);
  run_for(Seconds(1));
  ASSERT_TRUE(first_resignation_);
  EXPECT_EQ(first_resignation_->second, "no machine is heard from");
}

// While the leader may not serve, it accepts no heartbeats; afterwards they resume one by one.
TEST_F(FailureDetectorTest, TimeInWhichHeartbeatsAreNotAcceptedCountsAsSilenceOfNoMachine) {
  elect_leader(20, 0);
  run_for(Seconds(5));
  serving_ = false;
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = false;
  run_for(Seconds(30));
  EXPECT_FALSE(first_resignation_);
  serving_ = true;
  int i = 0;
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = i++ % 3 != 0;
  run_for(Seconds(3));
  for (auto& [id, agent] : agents_) agent.sends_heartbeats = agent.receives_commands = true;
  run_for(Seconds(6));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  EXPECT_FALSE(first_resignation_);
}

// Copies of heartbeats of the same epoch and of an earlier one. The next two tests send copies from
// machines that were returned by this leader and by a former one.
TEST_F(FailureDetectorTest, DelayedCopiesOfHeartbeatsChangeNoMachineAndGetNoCommands) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  controller_->job_opened(job_record("req-1", 12), now_);
  run_for(Seconds(2));
  const auto early = heartbeat_of(machine_id(0));
  run_for(Seconds(4));
  controller_->job_closed("req-1", now_);
  const auto before = *controller_->fleet().find(machine_id(0))->last_heartbeat;
  controller_->heartbeat(early, now_);
  EXPECT_EQ(*controller_->fleet().find(machine_id(0))->last_heartbeat, before);
  EXPECT_TRUE(controller_->response_commands(early).empty())
      << "the answer to an outdated report carries no stops";
  // An earlier epoch.
  ++agents_[machine_id(0)].epoch;
  agents_[machine_id(0)].heartbeat_sequence += 5;
  agents_[machine_id(0)].tasks.clear();
  send_heartbeat(machine_id(0));
  controller_->heartbeat(early, now_);
  EXPECT_EQ(controller_->fleet().find(machine_id(0))->epoch, 2U);
}

TEST_F(FailureDetectorTest, ADelayedHeartbeatDoesNotAddAReturnedMachine) {
  elect_leader(3, 0);
  run_for(Seconds(2));
  const auto copy = heartbeat_of(machine_id(0));
  controller_->scale_in_answered({machine_id(0)}, true, now_);
  agents_[machine_id(0)].returned = true;
  run_for(Seconds(200));  // copies may arrive long after the return
  saved_machines_.clear();
  controller_->heartbeat(copy, now_);
  EXPECT_EQ(controller_->fleet().find(machine_id(0)), nullptr);
  run_for(Seconds(1));
  EXPECT_FALSE(saved_machines_.contains(machine_id(0)));
}

// The first heartbeat of a machine to a new leader may be a copy from a machine that a former
// leader has returned. Tasks that it lists as running run elsewhere or have to be restarted.
TEST_F(FailureDetectorTest, AFirstHeartbeatThatMayBeACopyProvesOnlyWhichTasksEnded) {
  elect_leader(2, 2, 1);
  Heartbeat copy{"m900", "m900", "bench", "a", true, 1, 80, kToken - 1, {}, {}};
  copy.tasks.push_back({{"req-0", 0}, 5, TaskState::running, ExitCause::none, false});
  copy.tasks.push_back({{"req-1", 0}, 6, TaskState::exited, ExitCause::done, false});
  controller_->heartbeat(copy, now_);
  EXPECT_EQ(controller_->jobs().at("req-1").done_count, 1U);
  run_for(Seconds(3));
  EXPECT_EQ(running_tasks(), 1U) << "the other task runs on a reachable machine";
  EXPECT_FALSE(saved_machines_.contains("m900")) << "the next leader must not wait for it";
  EXPECT_EQ(starts_sent_["m900"], 0);
  EXPECT_EQ(controller_->recovering(), false);
}

// Heartbeats that PROTOCOL does not allow affect no other machine and start no tasks.
TEST_F(FailureDetectorTest, AHeartbeatOfAnUnknownTypeGetsNoTasksAndOneOfAnEarlierEpochIsIgnored) {
  elect_leader(2, 0);
  run_for(Seconds(2));
  Heartbeat invalid{"m900", "m900", "none such", "nowhere", true, 1, 1, kToken, {}, {}};
  invalid.tasks.push_back({{"req-404", 7}, 3, TaskState::running, ExitCause::none, false});
  controller_->heartbeat(invalid, now_);
  auto older_epoch = heartbeat_of(machine_id(0));
  older_epoch.epoch = 0;  // a restarted counter cannot be distinguished from a delayed copy
  controller_->heartbeat(older_epoch, now_);
  controller_->job_opened(job_record("req-1", 8), now_);
  run_for(Seconds(4));
  EXPECT_EQ(starts_sent_["m900"], 0);
  EXPECT_EQ(running_tasks(), 8U);
}

TEST_F(FailureDetectorTest, ABootedMachineGetsTasksOnceItAnswers) {
  elect_leader(2, 0);
  agents_["m900"].lease_renewed_at = now_;
  run_for(Seconds(1));
  controller_->job_opened(job_record("req-1", 12), now_);
  run_for(Seconds(4));
  EXPECT_TRUE(saved_machines_.contains("m900"));
  EXPECT_EQ(running_tasks(), 12U);
}

// Agents that cannot connect to any controller but receive commands and answer them. Their leases
// end, since a response to commands renews no lease. If the response counted as a periodic
// heartbeat, such a machine would count as healthy indefinitely and get new tasks after each lease.
class OutboundPartition : public FailureDetectorTest {
 protected:
  void set_outbound_partitioned(int first, int last, bool partitioned = true) {
    for (int i = first; i < last; ++i) agents_[machine_id(i)].outbound_partitioned = partitioned;
  }
  int starts_sent_to(int first, int last) {
    int sum = 0;
    for (int i = first; i < last; ++i) sum += starts_sent_[machine_id(i)];
    return sum;
  }
};

TEST_F(OutboundPartition, MachinesGetNoTasksAndAreReturnedOnceTheirTasksCannotEndWithinTheLease) {
  start_tasks_on_eight_machines();
  set_outbound_partitioned(0, 2);
  run_for(Seconds(14));
  starts_sent_.clear();
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  controller_->job_opened(job_record("req-2", 8), now_);
  run_for(agent_times_.lease + Seconds(4));
  EXPECT_EQ(starts_sent_to(0, 2), 0) << "a task that starts there ends with the lease";
  EXPECT_EQ(returned_machines_, (std::set<MachineId>{machine_id(0), machine_id(1)}))
      << scale_in_causes_;
  EXPECT_NE(scale_in_causes_.find("not reporting"), std::string::npos) << scale_in_causes_;
  EXPECT_EQ(running_tasks(), 24U) << "the tasks on the other machines keep running";
  EXPECT_FALSE(first_resignation_);
}

TEST_F(OutboundPartition, MachinesAreUsedAgainWithTheirFirstHeartbeat) {
  start_tasks_on_eight_machines();
  set_outbound_partitioned(0, 2);
  run_for(Seconds(20));
  set_outbound_partitioned(0, 2, false);
  run_for(Seconds(8));
  controller_->job_closed("req-1", now_);
  run_for(Seconds(4));
  controller_->job_opened(job_record("req-2", 32), now_);
  run_for(Seconds(4));
  EXPECT_EQ(running_tasks(), 32U);
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

TEST_F(OutboundPartition, MachinesGetStopsForCancelledTasks) {
  start_tasks_on_eight_machines();
  set_outbound_partitioned(0, 8);
  run_for(Seconds(18));
  controller_->job_closed("req-1", now_);
  run_for(Seconds(2));
  EXPECT_EQ(running_tasks(), 0U);
}

// All agents are partitioned and no peer receives heartbeats, so that neither a return of the fleet
// nor another leader would help.
TEST_F(OutboundPartition, ManyMachinesAtOnceAreKeptAndTheLeaderDoesNotResign) {
  idle_wait_ = Seconds(15);  // the machines must not be returned as idle either
  start_tasks_on_eight_machines();
  set_outbound_partitioned(0, 8);
  run_for(agent_times_.lease + Seconds(25));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  EXPECT_FALSE(first_resignation_);
  EXPECT_EQ(running_tasks(), 0U) << "the leases have ended, and no task was restarted";
  set_outbound_partitioned(0, 8, false);
  run_for(Seconds(8));
  EXPECT_EQ(running_tasks(), 32U);
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

// Machines whose leases cannot be renewed run no tasks but are paid for.
TEST_F(OutboundPartition, MachinesOfAMassPartitionAreReturnedAfterTheLeaseAndABootTime) {
  start_tasks_on_eight_machines();
  set_outbound_partitioned(0, 4);
  run_for(agent_times_.lease + Seconds(45));
  EXPECT_EQ(returned_machines_.size(), 4U) << scale_in_causes_;
}

TEST_F(OutboundPartition, TheLeaderResignsIfItsMachinesSendHeartbeatsToPeers) {
  start_tasks_on_eight_machines();
  set_outbound_partitioned(0, 8);
  const auto partitioned_at = now_;
  while (!first_resignation_ && now_ - partitioned_at < to_duration(agent_times_.lease)) {
    run_for(Seconds(1));
    if (controller_->possibly_isolated(now_)) controller_->record_peer_receives_heartbeats(now_);
  }
  ASSERT_TRUE(first_resignation_);
  EXPECT_EQ(first_resignation_->second, "its machines answer, and report to other controllers");
  EXPECT_LT(first_resignation_->first - partitioned_at, to_duration(agent_times_.lease * 0.6))
      << "while leases can be saved";
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
}

// A response to commands confirms the machine but renews no lease.
TEST_F(OutboundPartition, MachinesPartitionedBeforeAFailoverGetNoTasks) {
  elect_leader(8, 0);
  set_outbound_partitioned(0, 2);
  run_for(Seconds(14));
  ASSERT_FALSE(controller_->recovering());
  starts_sent_.clear();
  controller_->job_opened(job_record("req-1", 32), now_);
  run_for(Seconds(5));
  EXPECT_EQ(starts_sent_to(0, 2), 0);
  EXPECT_EQ(running_tasks(), 24U);
}

// Jobs with an error in their definition fail on every machine until their user cancels them.
class FaultyJobs : public LeaderWithAgents {};

TEST_F(FaultyJobs, AreRetriedOneTaskAtATimeAndReturnNoHealthyMachine) {
  elect_leader(8, 0);
  run_for(Seconds(2));
  faulty_jobs_.insert("req-1");
  controller_->job_opened(job_record("req-1", 8), now_);
  auto healthy = job_record("req-2", 4);
  healthy.spec.estimate = Seconds(10);
  run_for(Seconds(20));
  controller_->job_opened(healthy, now_);
  run_for(Seconds(400));
  EXPECT_LT(task_failures_, 40) << "a dozen retries of all eight tasks would fail 96 times";
  EXPECT_GT(task_failures_, 12) << "the job is still retried";
  EXPECT_GE(suspicions_, 3U) << "the job is logged as suspected once for each longer pause";
  EXPECT_LE(suspicions_, 7U);
  EXPECT_EQ(scale_in_causes_.find("sick"), std::string::npos) << scale_in_causes_;
  EXPECT_EQ(scale_out_requests_, 0U);
  EXPECT_TRUE(finished_jobs_.contains("req-2"));
}

// Failures on some machines do not make a job suspected while its tasks run on other machines.
TEST_F(FaultyJobs, AreNotInferredFromAFewFaultyMachines) {
  elect_leader(8, 0);
  for (int i = 0; i < 3; ++i) agents_[machine_id(i)].faulty = true;
  run_for(Seconds(2));
  auto record = job_record("req-1", 32);
  record.spec.estimate = Seconds(20);
  controller_->job_opened(record, now_);
  run_for(Seconds(120));
  EXPECT_TRUE(finished_jobs_.contains("req-1"));
  EXPECT_EQ(suspicions_, 0U);
}

// Guards against a service that has failed on faulty machines and stays suspected indefinitely
// because a replica never ends, so that its other replicas never start. In the same way, an array
// would wait for as long as its first task runs (docs/incidents/seed-3917.md).
TEST_F(FaultyJobs, ASuspectedJobStartsItsOtherTasksWhileItsFirstTaskKeepsRunning) {
  for (const auto shape : {Shape::service, Shape::array}) {
    elect_leader(8, 0);
    run_for(Seconds(2));
    const JobId id = shape == Shape::service ? "req-1" : "req-2";
    faulty_jobs_.insert(id);
    auto record = job_record(id, 4);
    record.spec.shape = shape;
    controller_->job_opened(record, now_);
    suspicions_ = 0;
    run_for(Seconds(20));
    ASSERT_GT(suspicions_, 0U);
    faulty_jobs_.clear();
    run_for(kMaxFailureBackoff);  // the longest backoff before a retry
    const auto first = running_tasks();
    ASSERT_GT(first, 0U);
    run_for(Seconds(90));
    EXPECT_EQ(running_tasks(), 4U) << "no task may wait for 90 s while there is free capacity";
    for (auto& [machine, agent] : agents_) agent = {};
  }
}

// Late boots. A machine that is requested in place of a late one starts its boot from the
// beginning.
class LateBoots : public FailureDetectorTest {
 protected:
  void add_booting_machine(const MachineId& id, Seconds ago) {
    controller_->cloud_listed({{id, "", "bench", "a", true, false, ago}}, now_);
  }
};

TEST_F(LateBoots, ASingleLateMachineIsReturned) {
  elect_leader(2, 0);
  add_booting_machine("b1", Seconds(0));
  run_for(Seconds(70));
  EXPECT_TRUE(returned_machines_.contains("b1")) << "boots take 30 s";
}

TEST_F(LateBoots, MachinesThatAreLateTogetherAreReturnedOnlyOnceALaterOneIsUp) {
  elect_leader(2, 0);
  for (const auto* id : {"b1", "b2", "b3", "b4"}) add_booting_machine(id, Seconds(0));
  run_for(Seconds(100));
  EXPECT_TRUE(returned_machines_.empty()) << scale_in_causes_;
  add_booting_machine("b5", Seconds(5));
  agents_["b5"].lease_renewed_at = now_;
  run_for(Seconds(4));
  EXPECT_EQ(returned_machines_.size(), 4U)
      << "a machine requested later is up: " << scale_in_causes_;
}

}  // namespace
}  // namespace violetpulley::core
