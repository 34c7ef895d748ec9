// Hearing is not reaching, and a copy is not a sign of life (core/contact.hpp, docs/safety.md,
// "Reports that prove less than they seem to").
#include "core/machines/failure_detector.hpp"

#include "support/leader_with_agents.hpp"

namespace violetpulley::core {
namespace {

class Reach : public LeaderWithAgents {
 protected:
  void fill_eight_machines() {
    begin(8, 0);
    run(Seconds(2));
    controller_->job_opened(job("req-1", 32), now_);
    run(Seconds(3));
    ASSERT_EQ(running(), 32U);
  }
  // Machine 3 is told nothing for three seconds: its starts get no answer, and their job ends.
  void cancelled_while_a_start_is_held() {
    begin(8, 0);
    run(Seconds(2));
    workers_[name(3)].gets = false;
    controller_->job_opened(job("req-1", 32), now_);
    run(Seconds(1));
    ASSERT_EQ(running(), 28U);
    controller_->job_closed("req-1", now_);
    run(Seconds(2));
    workers_[name(3)].gets = true;
  }
};

// The old leader sent the same starts once a second for as long as the reports came.
TEST_F(Reach, WhatIsHeardAndNotReachedGetsNoStartAgainAndAgain) {
  begin(10, 0);
  run(Seconds(2));
  for (int i = 0; i < 2; ++i) workers_[name(i)].gets = false;
  for (int i = 0; i < 10; ++i) controller_->job_opened(job("req-9" + std::to_string(i), 4), now_);
  run(Seconds(9));
  for (int i = 0; i < 2; ++i) EXPECT_LE(starts_sent_[name(i)], 4) << "each of its tasks once";
  run(Seconds(30));
  EXPECT_EQ(running(), 32U) << "the machines that are reached are full, the others were given up";
  EXPECT_NE(causes_.find("out of reach"), std::string::npos) << causes_;
  EXPECT_FALSE(resigned_);
}

TEST_F(Reach, AMachineThatIsReachedAgainIsUsedAgain) {
  begin(4, 0);
  run(Seconds(2));
  workers_[name(0)].gets = false;
  controller_->job_opened(job("req-1", 16), now_);
  run(Seconds(5));
  EXPECT_EQ(running(), 12U);
  workers_[name(0)].gets = true;
  run(Seconds(4));
  EXPECT_EQ(running(), 16U);
  EXPECT_TRUE(returned_.empty()) << causes_;
}

// Its session has grown: the tasks before it are gone, and nothing shows yet that we reach it.
TEST_F(Reach, AGrownSessionWaitsForProofBeforeAnythingStartsThere) {
  begin(4, 0);
  run(Seconds(2));
  auto& worker = workers_[name(0)];
  worker.gets = false;
  ++worker.epoch;
  send_report(name(0));
  starts_sent_.clear();
  controller_->job_opened(job("req-1", 20), now_);
  run(Seconds(6));
  EXPECT_EQ(starts_sent_[name(0)], 0);
  worker.gets = true;
  run(Seconds(4));
  EXPECT_GT(starts_sent_[name(0)], 0);
}

TEST_F(Reach, ACancelledTaskOutOfReachIsGoneInTime) {
  fill_eight_machines();
  workers_[name(3)].gets = false;
  controller_->job_closed("req-1", now_);
  run(Seconds(15));
  EXPECT_EQ(running(), 0U);
  EXPECT_TRUE(returned_.contains(name(3)));
}

// A hung machine does not run its lease out by itself. With most of the fleet silent nothing is
// returned for its silence, but what was cancelled there must go.
TEST_F(Reach, CancelledWorkOnHungMachinesIsGoneInTimeHoweverManyHang) {
  fill_eight_machines();
  for (int i = 0; i < 5; ++i) workers_[name(i)].sends_heartbeats = workers_[name(i)].gets = false;
  run(Seconds(1));
  controller_->job_closed("req-1", now_);
  run(times_.cancel - Seconds(5));
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(returned_.contains(name(i))) << causes_;
}

// The start was lost, or is held somewhere; the stop that overtook it proves nothing.
TEST_F(Reach, AStartThatMayComeAfterTheCancellationIsSettledInTime) {
  cancelled_while_a_start_is_held();
  // The cancellation may be older than the news of it by the serving time, which is cancel - lease.
  run(times_.lease * 0.6);
  EXPECT_TRUE(returned_.contains(name(3))) << causes_;
  EXPECT_EQ(returned_.size(), 1U) << causes_;
}

// The cloud does not answer: the machine is told to stop what is cancelled until it does.
TEST_F(Reach, AMachineThatIsBeingReturnedIsStillToldToStopCancelledWork) {
  cancelled_while_a_start_is_held();
  cloud_answers_ = false;
  run(times_.lease);
  ASSERT_NE(causes_.find("with cancelled work"), std::string::npos) << causes_;
  const auto told = stops_sent_[name(3)];
  run(Seconds(10));
  EXPECT_GT(stops_sent_[name(3)], told + 5);
}

// What runs there may end before its lease does: it is worth more than the machine's return.
TEST_F(Reach, WorkThatEndsWithinItsLeaseIsLeftToEnd) {
  begin(8, 0);
  run(Seconds(2));
  controller_->job_opened(job("req-2", 1), now_);
  run(Seconds(2));
  auto brief = job("req-1", 31);
  brief.spec.estimate = Seconds(20);
  controller_->job_opened(brief, now_);
  run(Seconds(3));
  const auto busy = std::find_if(workers_.begin(), workers_.end(), [](const auto& entry) {
    return entry.second.tasks.contains({"req-2", 0});
  });
  ASSERT_EQ(busy->second.tasks.size(), 4U);
  busy->second.gets = false;
  controller_->job_closed("req-2", now_);  // its stop is stuck
  run(Seconds(12));
  EXPECT_TRUE(returned_.empty()) << causes_;
  run(Seconds(10));
  EXPECT_TRUE(returned_.contains(busy->first)) << "the others have ended";
}

// A start was held on its way and may come once more: nothing else may start the task meanwhile.
TEST_F(Reach, ATaskThatVanishesAndMayBeStartedLateStaysOnItsMachine) {
  begin(3, 0);
  run(Seconds(2));
  for (auto& [id, worker] : workers_) worker.answers = false;
  controller_->job_opened(job("req-1", 1), now_);
  run(Seconds(4));
  const auto first = std::find_if(workers_.begin(), workers_.end(),
                                  [](const auto& entry) { return !entry.second.tasks.empty(); });
  ASSERT_NE(first, workers_.end());
  for (auto& [id, worker] : workers_) worker.answers = true;
  run(Seconds(4));
  const auto attempt = first->second.tasks.begin()->second.attempt;
  first->second.tasks.clear();  // it is back without its tasks, in the same session
  run(Seconds(6));
  EXPECT_EQ(running(), 1U);
  ASSERT_EQ(first->second.tasks.size(), 1U) << "under the same attempt it has no effect there";
  EXPECT_EQ(first->second.tasks.begin()->second.attempt, attempt);
}

// Found by seed 3130 of Hunted (quota): the task has ended there and runs elsewhere, the machine is
// back without its memory in the same session, and then the start that was held comes. See
// KNOWN-RED.txt.
TEST_F(Reach, AStartThatWasHeldRunsNothingTwiceOnAMachineThatForgot) {
  begin(2, 0);
  run(Seconds(2));
  for (auto& [id, worker] : workers_) worker.answers = false;
  controller_->job_opened(job("req-1", 1), now_);
  run(Seconds(4));
  for (auto& [id, worker] : workers_) worker.answers = true;
  run(Seconds(4));
  const auto first = std::find_if(workers_.begin(), workers_.end(),
                                  [](const auto& entry) { return !entry.second.tasks.empty(); });
  ASSERT_NE(first, workers_.end());
  auto& task = first->second.tasks.begin()->second;
  const Command held{CommandType::start, {"req-1", 0}, task.attempt, Seconds(0)};
  task.ends = now_;
  task.fails = true;
  run(Seconds(8));
  first->second.ended.clear();
  if (!first->second.gone) execute(first->second, {held});
  EXPECT_LE(running(), 1U) << "ran_twice";
}

TEST_F(Reach, ALeaderThatReachesNobodyStepsBackAndOneThatMissesAFewDoesNot) {
  begin(12, 0);
  run(Seconds(3));
  for (int i = 0; i < 3; ++i) workers_[name(i)].gets = false;
  run(Seconds(20));
  EXPECT_FALSE(resigned_);
  for (auto& [id, worker] : workers_) worker.gets = false;
  const auto cut = now_;
  run(Seconds(12));
  ASSERT_TRUE(resigned_);
  EXPECT_EQ(resigned_->second, "its machines are heard, and none of them is reached");
  EXPECT_LT(resigned_->first - cut, seconds(12));
}

// Found by inc-c2d3: a leader cut off from its workers returned nine healthy machines, those that
// had reported longest ago, before it noticed after ten seconds that nobody was heard.
TEST_F(Reach, ALeaderThatHearsNobodyStepsBackBeforeItReturnsAnything) {
  heartbeat_interval_ = Seconds(5);
  begin(40, 0);
  run(Seconds(5));
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = false;
  const auto cut = now_;
  run(Seconds(12));
  ASSERT_TRUE(resigned_);
  EXPECT_EQ(resigned_->second, "no machine is heard from");
  EXPECT_LT(resigned_->first - cut, seconds(4));
  EXPECT_TRUE(returned_.empty()) << causes_;
}

// The last one to hear nothing waits, and still must not return its whole fleet one by one.
TEST_F(Reach, OneThatMayNotStepBackReturnsNobodyWhileItHearsNobody) {
  heartbeat_interval_ = Seconds(5);
  resigns_when_deaf_ = false;
  begin(40, 0);
  run(Seconds(5));
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = false;
  run(Seconds(50));
  EXPECT_FALSE(resigned_);
  EXPECT_TRUE(returned_.empty()) << causes_;
  // The end of the cut, after which they come one by one: found by hunt-fa96, where those that had
  // not come yet were returned as silent, and those that had as out of reach.
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = true;
  run(Seconds(12));
  EXPECT_TRUE(returned_.empty()) << causes_;
}

// Found by hunt-fa96: cut off for the second time within three minutes, a leader stayed for 50 s,
// and all that ran was killed by its lease, while workers came to its siblings.
TEST_F(Reach, OneThatGaveUpLatelyDoesSoAgainIfOthersHear) {
  resigns_when_deaf_ = false;
  begin(40, 0);
  run(Seconds(5));
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = false;
  run(Seconds(4));
  EXPECT_FALSE(resigned_);
  controller_->note_peer_receives_heartbeats(now_);
  run(Seconds(1));
  ASSERT_TRUE(resigned_);
  EXPECT_EQ(resigned_->second, "no machine is heard from");
}

// While nothing may be answered nobody is heard, and after it the machines come one by one.
TEST_F(Reach, TimeInWhichReportsAreNotTakenInIsNobodysSilence) {
  begin(20, 0);
  run(Seconds(5));
  serving_ = false;
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = false;
  run(Seconds(30));
  EXPECT_FALSE(resigned_);
  serving_ = true;
  int i = 0;
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = i++ % 3 != 0;
  run(Seconds(3));
  for (auto& [id, worker] : workers_) worker.sends_heartbeats = worker.gets = true;
  run(Seconds(6));
  EXPECT_TRUE(returned_.empty()) << causes_;
  EXPECT_FALSE(resigned_);
}

// Copies: of the same session, of an earlier one, of a machine that was returned, and of one that
// an older leader returned.
TEST_F(Reach, LateCopiesRenewNothingAndCarryNothing) {
  begin(3, 0);
  run(Seconds(2));
  controller_->job_opened(job("req-1", 12), now_);
  run(Seconds(2));
  const auto early = heartbeat_of(name(0));
  run(Seconds(4));
  controller_->job_closed("req-1", now_);
  const auto before = *controller_->fleet().find(name(0))->last_heartbeat;
  controller_->heartbeat(early, now_);
  EXPECT_EQ(*controller_->fleet().find(name(0))->last_heartbeat, before);
  EXPECT_TRUE(controller_->response_commands(early).empty())
      << "the stops are for the newest report's answer";
  // An earlier session.
  ++workers_[name(0)].epoch;
  workers_[name(0)].heartbeat_sequence += 5;
  workers_[name(0)].tasks.clear();
  send_report(name(0));
  controller_->heartbeat(early, now_);
  EXPECT_EQ(controller_->fleet().find(name(0))->epoch, 2U);
}

TEST_F(Reach, ACopyOfAReturnedMachinesReportNeverBringsItBack) {
  begin(3, 0);
  run(Seconds(2));
  const auto copy = heartbeat_of(name(0));
  controller_->scale_in_answered({name(0)}, true, now_);
  workers_[name(0)].gone = true;
  run(Seconds(200));  // it was remembered for 90 s
  saved_.clear();
  controller_->heartbeat(copy, now_);
  EXPECT_EQ(controller_->fleet().find(name(0)), nullptr);
  run(Seconds(1));
  EXPECT_FALSE(saved_.contains(name(0)));
}

// The first word that a new leader gets may be the copy of a report from a machine that an older
// leader returned: its task has been started elsewhere, or has to be.
TEST_F(Reach, ACopyThatIsTheFirstWordProvesWhatEndedAndNothingElse) {
  begin(2, 2, 1);
  Heartbeat copy{"m900", "m900", "bench", "a", true, 1, 80, kToken - 1, {}, {}};
  copy.tasks.push_back({{"req-0", 0}, 5, TaskState::running, ExitCause::none, false});
  copy.tasks.push_back({{"req-1", 0}, 6, TaskState::exited, ExitCause::done, false});
  controller_->heartbeat(copy, now_);
  EXPECT_EQ(controller_->jobs().at("req-1").done, 1U);
  run(Seconds(3));
  EXPECT_EQ(running(), 1U) << "the other one runs where it is reached";
  EXPECT_FALSE(saved_.contains("m900")) << "the next leader must not wait for it";
  EXPECT_EQ(starts_sent_["m900"], 0);
  EXPECT_EQ(controller_->recovering(), false);
}

// What PROTOCOL does not allow changes nothing for others and starts nothing.
TEST_F(Reach, AReportOfAnUnknownTypeOrOfAnEarlierSessionIsNoPlaceForWork) {
  begin(2, 0);
  run(Seconds(2));
  Heartbeat odd{"m900", "m900", "none such", "nowhere", true, 1, 1, kToken, {}, {}};
  odd.tasks.push_back({{"req-404", 7}, 3, TaskState::running, ExitCause::none, false});
  controller_->heartbeat(odd, now_);
  auto back = heartbeat_of(name(0));
  back.epoch = 0;  // its counters began anew: it cannot be told from a late copy
  controller_->heartbeat(back, now_);
  controller_->job_opened(job("req-1", 8), now_);
  run(Seconds(4));
  EXPECT_EQ(starts_sent_["m900"], 0);
  EXPECT_EQ(running(), 8U);
}

TEST_F(Reach, WhatComesUpIsUsedOnceItAnswers) {
  begin(2, 0);
  workers_["m900"].renewed = now_;
  run(Seconds(1));
  controller_->job_opened(job("req-1", 12), now_);
  run(Seconds(4));
  EXPECT_TRUE(saved_.contains("m900"));
  EXPECT_EQ(running(), 12U);
}

// Workers that open no connection to any controller, while direct commands reach them: their leases
// end, whatever they answer. Found by reading: an answer to an order counted as a report, so such a
// machine looked healthy for ever, and got new tasks after each lease.
class Mute : public Reach {
 protected:
  void outbound_partitioned(int first, int last, bool so = true) {
    for (int i = first; i < last; ++i) workers_[name(i)].outbound_partitioned = so;
  }
  int starts(int first, int last) {
    int sum = 0;
    for (int i = first; i < last; ++i) sum += starts_sent_[name(i)];
    return sum;
  }
};

TEST_F(Mute, GetNothingThatTheirLeaseEndsAndAreReturnedWhenThatPays) {
  fill_eight_machines();
  outbound_partitioned(0, 2);
  run(Seconds(14));
  starts_sent_.clear();
  EXPECT_TRUE(returned_.empty()) << causes_;
  controller_->job_opened(job("req-2", 8), now_);
  run(times_.lease + Seconds(4));
  EXPECT_EQ(starts(0, 2), 0) << "all that starts there ends with the lease";
  EXPECT_EQ(returned_, (std::set<MachineId>{name(0), name(1)})) << causes_;
  EXPECT_NE(causes_.find("not reporting"), std::string::npos) << causes_;
  EXPECT_EQ(running(), 24U) << "the others go on";
  EXPECT_FALSE(resigned_);
}

TEST_F(Mute, AreUsedAgainWithTheirFirstReport) {
  fill_eight_machines();
  outbound_partitioned(0, 2);
  run(Seconds(20));
  outbound_partitioned(0, 2, false);
  run(Seconds(8));
  controller_->job_closed("req-1", now_);
  run(Seconds(4));
  controller_->job_opened(job("req-2", 32), now_);
  run(Seconds(4));
  EXPECT_EQ(running(), 32U);
  EXPECT_TRUE(returned_.empty()) << causes_;
}

TEST_F(Mute, AreToldToStopWhatIsCancelled) {
  fill_eight_machines();
  outbound_partitioned(0, 8);
  run(Seconds(18));
  controller_->job_closed("req-1", now_);
  run(Seconds(2));
  EXPECT_EQ(running(), 0U);
}

// A cut of the workers' side: nothing is gained by returning the fleet, and nobody else hears them.
TEST_F(Mute, AreManyAtOnceAndAreWaitedForAndTheLeaderStays) {
  idle_wait_ = Seconds(15);  // nor are they returned because nothing is started there
  fill_eight_machines();
  outbound_partitioned(0, 8);
  run(times_.lease + Seconds(25));
  EXPECT_TRUE(returned_.empty()) << causes_;
  EXPECT_FALSE(resigned_);
  EXPECT_EQ(running(), 0U) << "their leases have ended, and nothing was started anew";
  outbound_partitioned(0, 8, false);
  run(Seconds(8));
  EXPECT_EQ(running(), 32U);
  EXPECT_TRUE(returned_.empty()) << causes_;
}

// The fleet is not kept for ever either: idle machines that cannot be renewed cost money.
TEST_F(Mute, AreNotKeptForEver) {
  fill_eight_machines();
  outbound_partitioned(0, 4);
  run(times_.lease + Seconds(45));
  EXPECT_EQ(returned_.size(), 4U) << causes_;
}

TEST_F(Mute, HereAndNotElsewhereMakeTheLeaderStepBack) {
  fill_eight_machines();
  outbound_partitioned(0, 8);
  const auto cut = now_;
  while (!resigned_ && now_ - cut < to_duration(times_.lease)) {
    run(Seconds(1));
    if (controller_->possibly_isolated(now_)) controller_->note_peer_receives_heartbeats(now_);
  }
  ASSERT_TRUE(resigned_);
  EXPECT_EQ(resigned_->second, "its machines answer, and report to other controllers");
  EXPECT_LT(resigned_->first - cut, to_duration(times_.lease * 0.6)) << "while leases can be saved";
  EXPECT_TRUE(returned_.empty()) << causes_;
}

// The direct answer confirms the machine, and renews nothing.
TEST_F(Mute, SinceBeforeATakeoverAreNoPlaceForWorkEither) {
  begin(8, 0);
  outbound_partitioned(0, 2);
  run(Seconds(14));
  ASSERT_FALSE(controller_->recovering());
  starts_sent_.clear();
  controller_->job_opened(job("req-1", 32), now_);
  run(Seconds(5));
  EXPECT_EQ(starts(0, 2), 0);
  EXPECT_EQ(running(), 24U);
}

// A job submitted with a mistake fails on every machine until its user cancels it.
class Mistakes : public LeaderWithAgents {};

TEST_F(Mistakes, AreTriedOneTaskAtATimeAndCostNoHealthyMachine) {
  begin(8, 0);
  run(Seconds(2));
  failing_.insert("req-1");
  controller_->job_opened(job("req-1", 8), now_);
  auto healthy = job("req-2", 4);
  healthy.spec.estimate = Seconds(10);
  run(Seconds(20));
  controller_->job_opened(healthy, now_);
  run(Seconds(400));
  EXPECT_LT(failures_, 40) << "each of a dozen retries would have cost all of its eight tasks";
  EXPECT_GT(failures_, 12) << "it is still tried";
  EXPECT_GE(suspected_, 3U) << "and the log says so, once for each longer pause";
  EXPECT_LE(suspected_, 7U);
  EXPECT_EQ(causes_.find("sick"), std::string::npos) << causes_;
  EXPECT_EQ(rents_, 0U);
  EXPECT_TRUE(done_.contains("req-2"));
}

// Failures on some machines are no reason: the others' tasks are running.
TEST_F(Mistakes, AreNotTakenFromAFewSickMachines) {
  begin(8, 0);
  for (int i = 0; i < 3; ++i) workers_[name(i)].sick = true;
  run(Seconds(2));
  auto record = job("req-1", 32);
  record.spec.estimate = Seconds(20);
  controller_->job_opened(record, now_);
  run(Seconds(120));
  EXPECT_TRUE(done_.contains("req-1"));
  EXPECT_EQ(suspected_, 0U);
}

// Boots that are late together: each that is returned and rented anew starts from the beginning.
class Boots : public Reach {
 protected:
  void rent(const MachineId& id, Seconds ago) {
    controller_->cloud_listed({{id, "", "bench", "a", true, false, ago}}, now_);
  }
};

TEST_F(Boots, OneThatOthersPassIsReturned) {
  begin(2, 0);
  rent("b1", Seconds(0));
  run(Seconds(70));
  EXPECT_TRUE(returned_.contains("b1")) << "boots take 30 s";
}

TEST_F(Boots, ThoseThatAreLateTogetherAreWaitedFor) {
  begin(2, 0);
  for (const auto* id : {"b1", "b2", "b3", "b4"}) rent(id, Seconds(0));
  run(Seconds(100));
  EXPECT_TRUE(returned_.empty()) << causes_;
  rent("b5", Seconds(5));
  workers_["b5"].renewed = now_;
  run(Seconds(4));
  EXPECT_EQ(returned_.size(), 4U) << "a younger one is up: " << causes_;
}

}  // namespace
}  // namespace violetpulley::core
