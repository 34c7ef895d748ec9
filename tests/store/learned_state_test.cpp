/// @file
/// Stored form of a leader's learned state and its use by the next leader. Guards against the use
/// of an incomplete, foreign or outdated set, and against hints being taken for confirmed facts.
#include <gtest/gtest.h>

#include "core/controller.hpp"
#include "history/pack.hpp"
#include "store/learned_state_store.hpp"

namespace violetpulley::store {
namespace {

using core::Seconds;

const core::WallTime kWall{std::chrono::hours(1000)};

core::JobSpec spec(const core::JobId& id) {
  core::JobSpec out;
  out.id = id;
  out.job_class = "c";
  out.team = "t";
  out.tasks = 4;
  out.per_task = {1, 0, 1};
  out.estimate = Seconds(10);
  return out;
}

core::LearnedState learned(int jobs) {
  core::LearnedState out;
  out.as_of = kWall;
  for (int i = 0; i < 6; ++i) out.estimates.record_run_time(spec("req-1"), Seconds(30));
  for (int i = 0; i < jobs; ++i) {
    core::LearnedJob job;
    job.id = "req-" + std::to_string(i);
    job.waited = Seconds(20);
    out.jobs.push_back(job);
  }
  out.jobs.push_back({"req-saved", Seconds(40), {{1, Seconds(7)}}, {"m1"}, 2, Seconds(8)});
  out.machines = {{"m1", 2, {"req-1"}, true}};
  out.cooldowns = {{{"g", "a", true}, Seconds(12)}};
  return out;
}

std::vector<Item> items_of(const LearnedStateWrites& writes) {
  std::vector<Item> out;
  for (const auto& piece : writes.pieces) out.push_back({piece.key, *piece.value, 1});
  out.push_back({writes.head.key, *writes.head.value, 1});
  return out;
}

LearnedStateSettings settings(bool key = false) {
  LearnedStateSettings out;
  if (key) out.key = history::parse_key(std::string(64, 'a'));
  out.max_value_bytes = 2000;
  return out;
}

TEST(LearnedState, RoundTripsThroughSeveralPieces) {
  for (const bool key : {false, true}) {
    const auto written = encode_learned_state(learned(150), "a", 7, settings(key));
    EXPECT_GT(written.pieces.size(), 1U);
    for (const auto& piece : written.pieces) EXPECT_LE(piece.value->dump().size(), 2010U);
    const auto read =
        decode_learned_state(items_of(written), settings(key), kWall + std::chrono::seconds(5));
    ASSERT_TRUE(read.learned_state) << read.problem;
    EXPECT_EQ(read.slot, "a");
    EXPECT_EQ(history::packed(*read.learned_state), history::packed(learned(150)));
  }
}

TEST(LearnedState, DropsJobsOfWhichOnlyTheWaitingTimeIsKnownFirst) {
  const auto written = encode_learned_state(learned(5000), "a", 7, settings());
  EXPECT_LE(written.pieces.size(), 6U);
  const auto read = decode_learned_state(items_of(written), settings(), kWall);
  ASSERT_TRUE(read.learned_state);
  ASSERT_EQ(read.learned_state->jobs.size(), 1U);
  EXPECT_EQ(read.learned_state->jobs[0].id, "req-saved");
}

TEST(LearnedState, AnIncompleteForeignOrOldSetIsRejectedWithItsCause) {
  const auto whole = items_of(encode_learned_state(learned(150), "a", 7, settings(true)));
  const auto problem = [&](auto change, const LearnedStateSettings& with,
                           core::WallTime wall = kWall) {
    auto items = whole;
    change(items);
    const auto read = decode_learned_state(items, with, wall);
    EXPECT_FALSE(read.learned_state);
    return read.problem;
  };
  const auto none = [](std::vector<Item>&) {};
  auto other = settings(true);
  other.key = history::parse_key(std::string(64, 'b'));
  EXPECT_EQ(problem(none, other), "the MAC is wrong");
  EXPECT_EQ(problem([](auto& items) { std::swap(items[0].value, items[1].value); }, settings(true)),
            "the checksum is wrong");
  EXPECT_NE(problem([](auto& items) { items.erase(items.begin()); }, settings()).find("missing"),
            std::string::npos);
  EXPECT_EQ(problem([](auto& items) { items.back().value["v"] = 9; }, settings()),
            "version 9 is unknown");
  EXPECT_EQ(problem([](auto& items) { items.back().value["token"] = 8; }, settings(true)),
            "the MAC is wrong");
  EXPECT_EQ(problem(none, settings(true), kWall + std::chrono::hours(2)), "too old");
  EXPECT_TRUE(decode_learned_state({}, settings(), kWall).problem.empty());
  // A time of day that has stepped back does not make the set older.
  EXPECT_TRUE(
      decode_learned_state(whole, settings(true), kWall - std::chrono::hours(2)).learned_state);
}

TEST(LearnedState, GivesTheNextLeaderHintsAndConfirmsNoMachine) {
  core::ControllerSettings controller;
  controller.teams = {{"t", 0, 0, 0, 0}};
  controller.wall_at_start = kWall + std::chrono::seconds(10);
  core::RecoveredState recovered;
  core::JobRecord record;
  record.spec = spec("req-saved");
  record.submitted = kWall - std::chrono::seconds(30);
  recovered.jobs = {record};
  recovered.machines = {{"m1", "10.0.0.1:1", "g", "a", true, {}}};
  recovered.learned_state = learned(3);
  const core::TimePoint now{std::chrono::hours(5)};
  core::Controller next(controller, 9, now, now + std::chrono::seconds(60), recovered);
  const auto& job = next.jobs().at("req-saved");
  EXPECT_EQ(job.tasks[1].checkpointed, Seconds(7));
  // The job had waited 40 s and 10 s have passed since, but it was submitted only 40 s ago, which
  // limits its waiting time.
  EXPECT_EQ(Seconds(now - job.opened_at), Seconds(40));
  EXPECT_EQ(job.waiting.size(), 4U) << "a task was assumed to be on a machine";
  EXPECT_TRUE(next.fleet().find("m1")->quarantined);
  EXPECT_FALSE(next.fleet().find("m1")->confirmed);
  EXPECT_TRUE(next.recovering());
  EXPECT_EQ(next.estimator().estimate(record.spec), Seconds(30));
  EXPECT_EQ(Seconds(next.offerings().cooldowns().at({"g", "a", true}) - now), Seconds(2));
}

}  // namespace
}  // namespace violetpulley::store
