/// @file
/// Tests that the codecs of messages and stored records decode what the program wrote before
/// December 2026 to the same values, and encode these values to the same bytes.
#include "agent/agent_codec.hpp"
#include "api/operator_api.hpp"
#include "codec/job_codec.hpp"
#include "config/settings.hpp"
#include "golden/golden_files.hpp"
#include "peers/peer_network.hpp"
#include "store/job_record_codec.hpp"
#include "store/learned_state_store.hpp"
#include "store/record_codec.hpp"

namespace violetpulley::golden {
namespace {

using core::Seconds;
using std::chrono::milliseconds;

TEST(GoldenJobs, SubmissionsAndRecordsDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("jobs.json")) {
    SCOPED_TRACE(text_field(item, "name"));
    const auto spec = codec::parse_job(Json::parse(text_field(item, "submission")));
    EXPECT_EQ(pack_to_hex(spec), text_field(item, "spec"));
    EXPECT_EQ(codec::job_to_json(spec).dump(), text_field(item, "spec_as_json"));
    const core::JobRecord record{spec, core::WallTime(milliseconds(1764633600123)), 77};
    EXPECT_EQ(store::encode_job_record(record).dump(), text_field(item, "record"));
    const auto decoded = store::decode_job_record(Json::parse(text_field(item, "record")), 77);
    EXPECT_EQ(pack_to_hex(decoded), text_field(item, "record_spec"));
    EXPECT_EQ(pack_to_hex(unpack_from_hex<core::JobSpec>(item.at("spec"))),
              text_field(item, "spec"));
  }
}

TEST(GoldenJobs, EachSubmissionFieldIsReadIntoItsMember) {
  const auto item = cases_of("jobs.json").at(1);
  ASSERT_EQ(text_field(item, "name"), "array_with_all_fields");
  const auto spec = codec::parse_job(Json::parse(text_field(item, "submission")));
  EXPECT_EQ(spec.id, "req-000412");
  EXPECT_EQ(spec.job_class, "render");
  EXPECT_EQ(spec.team, "blue");
  EXPECT_EQ(spec.shape, core::Shape::array);
  EXPECT_EQ(spec.priority, core::Priority::normal);
  EXPECT_EQ(spec.tasks, 12U);
  EXPECT_EQ(spec.per_task.cpus, 1.5);
  EXPECT_EQ(spec.per_task.gpus, 0.0);
  EXPECT_EQ(spec.per_task.memory_gb, 4.0);
  EXPECT_EQ(spec.image, "img/render:7");
  EXPECT_EQ(spec.image_gb, 2.25);
  EXPECT_EQ(spec.types, (std::vector<std::string>{"small", "large"}));
  EXPECT_EQ(spec.zone, "a");
  EXPECT_TRUE(spec.same_zone);
  EXPECT_FALSE(spec.spread);
  EXPECT_TRUE(spec.spot_allowed);
  EXPECT_EQ(spec.estimate, Seconds(93.5));
  EXPECT_EQ(spec.checkpoint_every, Seconds(30));
  EXPECT_EQ(spec.checkpoint_time, Seconds(2.5));
  EXPECT_EQ(spec.deadline, Seconds(600.125));
}

TEST(GoldenJobs, RecordsWithoutOptionalFieldsDecodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("jobs.json", "older_records")) {
    const auto record = store::decode_job_record(Json::parse(text_field(item, "record")),
                                                 item.at("revision").get<core::Revision>());
    EXPECT_EQ(pack_to_hex(record), text_field(item, "record_spec"));
  }
}

TEST(GoldenJobs, MalformedSubmissionsAreRefusedWithTheRecordedText) {
  for (const auto& item : cases_of("jobs.json", "refused")) {
    SCOPED_TRACE(text_field(item, "input"));
    try {
      codec::parse_job(Json::parse(text_field(item, "input")));
      ADD_FAILURE() << "malformed submission was accepted";
    } catch (const codec::MalformedJob& error) {
      EXPECT_EQ(error.what(), text_field(item, "error"));
    }
  }
}

TEST(GoldenAgents, HeartbeatsDecodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("heartbeats.json")) {
    SCOPED_TRACE(text_field(item, "name"));
    const auto heartbeat = agent::parse_heartbeat(text_field(item, "body"));
    EXPECT_EQ(pack_to_hex(heartbeat), text_field(item, "heartbeat"));
  }
}

TEST(GoldenAgents, EachHeartbeatFieldIsReadIntoItsMember) {
  const auto item = cases_of("heartbeats.json").at(0);
  ASSERT_EQ(text_field(item, "name"), "every_state_and_cause");
  const auto heartbeat = agent::parse_heartbeat(text_field(item, "body"));
  EXPECT_EQ(heartbeat.machine, "m-1");
  EXPECT_EQ(heartbeat.endpoint, "10.0.0.1:9000");
  EXPECT_EQ(heartbeat.type, "small");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.epoch, 3U);
  EXPECT_EQ(heartbeat.heartbeat_sequence, 41U);
  EXPECT_EQ(heartbeat.token, 17U);
  EXPECT_EQ(heartbeat.notice, Seconds(12.5));
  using core::ExitCause;
  using core::TaskState;
  const std::vector<std::pair<TaskState, ExitCause>> expected{
      {TaskState::fetching, ExitCause::none},     {TaskState::waiting, ExitCause::none},
      {TaskState::running, ExitCause::none},      {TaskState::checkpointing, ExitCause::none},
      {TaskState::exited, ExitCause::done},       {TaskState::exited, ExitCause::stopped},
      {TaskState::exited, ExitCause::peers_gone}, {TaskState::exited, ExitCause::incomplete},
      {TaskState::exited, ExitCause::error},      {TaskState::exited, ExitCause::no_capacity},
      {TaskState::exited, ExitCause::busy},       {TaskState::exited, ExitCause::unknown}};
  ASSERT_EQ(heartbeat.tasks.size(), expected.size());
  for (std::size_t index = 0; index < expected.size(); ++index) {
    const auto& task = heartbeat.tasks[index];
    EXPECT_EQ(task.task.index, index);
    EXPECT_EQ(task.attempt, index + 1);
    EXPECT_EQ(task.state, expected[index].first);
    EXPECT_EQ(task.cause, expected[index].second);
    EXPECT_EQ(task.checkpoint_saved, index >= 4 && index % 2 == 1);
  }
}

TEST(GoldenAgents, MalformedHeartbeatsAreRefused) {
  for (const auto& item : cases_of("heartbeats.json", "refused"))
    EXPECT_ANY_THROW(agent::parse_heartbeat(text_field(item, "input")))
        << text_field(item, "input");
}

TEST(GoldenAgents, CommandsEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("commands.json")) {
    const auto commands = unpack_from_hex<std::vector<core::Command>>(item.at("commands"));
    EXPECT_EQ(pack_to_hex(commands), text_field(item, "commands"));
    const auto token = item.at("token").get<core::FencingToken>();
    EXPECT_EQ(agent::response_body(token, commands), text_field(item, "response_body"));
    EXPECT_EQ(agent::commands_body(token, item.at("epoch").get<std::uint64_t>(), commands),
              text_field(item, "commands_body"));
  }
}

TEST(GoldenOperators, ExplanationTextsMatchTheGoldenFile) {
  const auto texts = read_json("users.json").at("why");
  EXPECT_EQ(api::explanation_text({}), text_field(texts, "empty"));
  diagnostics::PlacementExplanation explanation;
  explanation.job = "req-7";
  explanation.waiting = 3;
  explanation.on_machines = 1;
  explanation.done = 2;
  explanation.bound = 1;
  explanation.impossible = true;
  explanation.causes = {{"no_room", "there is no room"}, {"zone", "only in a"}};
  explanation.fits_in = Seconds(12.345);
  explanation.machines = 7;
  explanation.set_aside = {{"draining", 2}, {"silent", 1}};
  explanation.rentable_types = {"small", "large"};
  EXPECT_EQ(api::explanation_text(explanation), text_field(texts, "full"));
}

TEST(GoldenRecords, MachineRecordsDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("records.json", "machines")) {
    const auto record = unpack_from_hex<core::MachineRecord>(item.at("record"));
    EXPECT_EQ(record.id, text_field(item, "id"));
    EXPECT_EQ(store::machine_to_json(record).dump(), text_field(item, "value"));
    const auto decoded =
        store::machine_from_json(record.id, Json::parse(text_field(item, "value")));
    EXPECT_EQ(pack_to_hex(decoded), text_field(item, "read"));
  }
}

TEST(GoldenRecords, ProgressRecordsDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("records.json", "progress")) {
    const auto record = unpack_from_hex<core::ProgressRecord>(item.at("record"));
    const auto tasks = item.at("tasks_in_chunk").get<std::size_t>();
    const auto name = store::progress_name(record.job, record.chunk);
    EXPECT_EQ(name, text_field(item, "name"));
    EXPECT_EQ(store::progress_to_json(record, tasks).dump(), text_field(item, "value"));
    const auto decoded = store::progress_from_json(name, Json::parse(text_field(item, "value")));
    EXPECT_EQ(pack_to_hex(decoded), text_field(item, "read"));
    EXPECT_EQ(store::progress_bytes(name, tasks), item.at("reserved_bytes").get<std::size_t>());
  }
}

TEST(GoldenRecords, PlacementRecordsDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("records.json", "placements")) {
    const auto record = unpack_from_hex<core::PlacementRecord>(item.at("record"));
    EXPECT_EQ(store::placements_to_json(record).dump(), text_field(item, "value"));
    const auto decoded = store::placements_from_json(text_field(item, "job"),
                                                     Json::parse(text_field(item, "value")));
    EXPECT_EQ(pack_to_hex(decoded), text_field(item, "read"));
    EXPECT_EQ(store::placements_bytes(record), item.at("reserved_bytes").get<std::size_t>());
  }
  EXPECT_EQ(store::kPlacementsMark,
            read_json("records.json").at("placements_mark_key").get<std::string>());
}

/// Repeats the changes that the generator of the golden file made to each record table, and returns
/// the pages that are written for these changes.
store::PagedRecords::Batch pages_of_sample_table(const std::string& prefix) {
  const core::TimePoint now{std::chrono::hours(5)};
  store::PagedRecords table(prefix, 600, core::Duration(std::chrono::seconds(1)));
  table.load({prefix + "4", Json{{"loaded", Json{1, "x"}}}, 31},
             [](const std::string&, const Json&) { return std::size_t(100); });
  for (int index = 0; index < 7; ++index) {
    const auto priority =
        index % 3 == 0 ? store::WritePriority::urgent : store::WritePriority::deferred;
    table.put("id-" + std::to_string(index), Json{index, "value"}, 200, priority, now, {});
  }
  table.put("loaded", Json{2, "y"}, 100, store::WritePriority::urgent, now, {});
  table.erase("id-2", now);
  store::PagedRecords::Batch batch;
  table.take(now + std::chrono::seconds(2), 12, std::size_t{60} * 1024, batch);
  return batch;
}

TEST(GoldenRecords, PagesAndPageSizesMatchTheGoldenFile) {
  for (const auto& item : cases_of("records.json", "pages")) {
    const auto batch = pages_of_sample_table(text_field(item, "prefix"));
    Json conditions = Json::array();
    for (const auto& condition : batch.conditions)
      conditions.push_back({{"key", condition.key}, {"revision", condition.revision}});
    Json writes = Json::array();
    for (const auto& write : batch.writes)
      writes.push_back({{"key", write.key}, {"value", write.value.value().dump()}});
    EXPECT_EQ(conditions, item.at("conditions"));
    EXPECT_EQ(writes, item.at("writes"));
    EXPECT_EQ(batch.bytes, item.at("bytes").get<std::size_t>());
  }
  for (const auto& item : cases_of("records.json", "page_sizes")) {
    config::Settings settings;
    settings.state_value_kib = item.at("value_kib").get<double>();
    EXPECT_EQ(store::page_bytes(settings), item.at("page_bytes").get<std::size_t>());
  }
}

store::LearnedStateSettings learned_state_settings(const Json& set) {
  store::LearnedStateSettings settings;
  settings.max_value_bytes = set.at("value_bytes").get<std::size_t>();
  if (set.at("signed").get<bool>()) settings.key = history::parse_key(std::string(64, '7'));
  return settings;
}

TEST(GoldenRecords, LearnedStateDecodesAndEncodesAsInTheGoldenFile) {
  for (const auto& set : cases_of("learned_state.json", "sets")) {
    const auto settings = learned_state_settings(set);
    const auto learned_state = unpack_from_hex<core::LearnedState>(set.at("learned_state"));
    const auto written =
        store::encode_learned_state(learned_state, text_field(set, "slot"),
                                    set.at("token").get<core::FencingToken>(), settings);
    Json items = Json::array();
    for (const auto& piece : written.pieces)
      items.push_back({{"key", piece.key}, {"value", piece.value.value().dump()}});
    items.push_back({{"key", written.head.key}, {"value", written.head.value.value().dump()}});
    EXPECT_EQ(items, set.at("items"));
    std::vector<store::Item> stored;
    for (const auto& item : set.at("items"))
      stored.push_back({text_field(item, "key"), Json::parse(text_field(item, "value")), 1});
    const auto wall = learned_state.as_of + std::chrono::seconds(5);
    const auto decoded = store::decode_learned_state(stored, settings, wall);
    ASSERT_TRUE(decoded.learned_state) << decoded.problem;
    EXPECT_EQ(decoded.slot, text_field(set, "slot"));
    EXPECT_EQ(pack_to_hex(*decoded.learned_state), text_field(set, "read"));
  }
}

TEST(GoldenRecords, EachLearnedStateFieldIsReadIntoItsMember) {
  const auto set = cases_of("learned_state.json", "sets").at(0);
  const auto state = unpack_from_hex<core::LearnedState>(set.at("learned_state"));
  EXPECT_EQ(state.as_of, core::WallTime(milliseconds(1764633600123)));
  core::JobSpec spec;
  spec.job_class = "render";
  spec.estimate = Seconds(10);
  EXPECT_EQ(state.estimates.estimate(spec), Seconds(32.5));
  ASSERT_EQ(state.jobs.size(), 61U);
  const auto& job = state.jobs.back();
  EXPECT_EQ(job.id, "req-9");
  EXPECT_EQ(job.waited, Seconds(40));
  const std::vector<core::CheckpointedRunTime> saved{{1, Seconds(7)}, {3, Seconds(0.5)}};
  EXPECT_EQ(job.checkpointed, saved);
  EXPECT_EQ(job.failed_on, std::vector<core::MachineId>{"m-1"});
  EXPECT_EQ(job.failures, 2);
  EXPECT_EQ(job.backoff, Seconds(8));
  ASSERT_EQ(state.machines.size(), 1U);
  EXPECT_EQ(state.machines[0].id, "m-1");
  EXPECT_EQ(state.machines[0].errors, 2);
  EXPECT_EQ(state.machines[0].error_jobs, (std::vector<core::JobId>{"req-1", "req-9"}));
  EXPECT_TRUE(state.machines[0].quarantined);
  ASSERT_EQ(state.cooldowns.size(), 1U);
  EXPECT_EQ(state.cooldowns[0].offering, (core::OfferingKey{"large", "a", true}));
  EXPECT_EQ(state.cooldowns[0].remaining, Seconds(12));
}

peers::Status status_of(const Json& item) {
  peers::Status status;
  status.version = item.at("version").get<std::uint32_t>();
  status.member = text_field(item, "member");
  status.store_silence_ms = item.at("store_silence_ms").get<std::uint64_t>();
  status.token = item.at("token").get<std::uint64_t>();
  for (const auto& count : item.at("counts"))
    status.counts.push_back({text_field(count, "job"), count.at("done").get<std::uint32_t>(),
                             count.at("running").get<std::uint32_t>()});
  status.followed_token = item.at("follows").get<std::uint64_t>();
  status.agents_silence_ms = item.at("agents_silence_ms").get<std::uint64_t>();
  return status;
}

TEST(GoldenPeers, StatusMessagesDecodeAndEncodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("peers.json")) {
    SCOPED_TRACE(text_field(item, "name"));
    EXPECT_EQ(to_hex(peers::encode(status_of(item))), text_field(item, "frame"));
    const auto frame = from_hex(text_field(item, "frame"));
    const auto decoded = peers::decode(frame.data() + 4, frame.size() - 4);
    EXPECT_EQ(to_hex(peers::encode(decoded)), text_field(item, "frame"));
    EXPECT_EQ(decoded.member, text_field(item, "member"));
    EXPECT_EQ(decoded.token, item.at("token").get<std::uint64_t>());
  }
}

TEST(GoldenPeers, StatusMessagesWithoutLaterFieldsDecodeAsInTheGoldenFile) {
  for (const auto& item : cases_of("peers.json", "older_forms")) {
    const auto message = from_hex(text_field(item, "message"));
    const auto decoded = peers::decode(message.data(), message.size());
    EXPECT_EQ(to_hex(peers::encode(decoded)), text_field(item, "read_and_written_again"));
    EXPECT_EQ(decoded.followed_token, item.at("fields").get<int>() > 5 ? 8U : 0U);
    EXPECT_EQ(decoded.agents_silence_ms, peers::kNeverReceived);
  }
}

TEST(GoldenPeers, OtherVersionsAndMalformedMessagesAreRefused) {
  for (const auto& item : cases_of("peers.json", "refused")) {
    const auto message = from_hex(item.get<std::string>());
    EXPECT_ANY_THROW(peers::decode(message.data(), message.size())) << item;
  }
}

}  // namespace
}  // namespace violetpulley::golden
