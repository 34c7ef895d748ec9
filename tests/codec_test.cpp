/// @file
/// The codecs of jobs, heartbeats, commands, peer messages and the cloud's catalog: what they
/// accept, what they refuse, and which submissions can never run.
#include <gtest/gtest.h>

#include <set>

#include "agent/agent_codec.hpp"
#include "api/admission.hpp"
#include "cloud/cloud_client.hpp"
#include "codec/job_codec.hpp"
#include "peers/peer_network.hpp"
#include "store/job_record_codec.hpp"

namespace violetpulley {
namespace {

using codec::Json;

Json good_job() {
  return Json::parse(R"({"id":"req-000412","lot":"train","owner":"vision","shape":"array",
    "urgency":"high","cuts":16,"cores":8.0,"gpus":0.0,"memory_gb":64.0,"casket":"img-07",
    "image_gb":6.2,"benches":["g8"],"district":null,"same_place":true,"spread":false,
    "loaners":true,"expect_s":240.0,"mark_s":30.0,"stow_s":4.0,"due_s":900.0})");
}

TEST(JobCodec, AnEncodedJobDecodesToTheSameJob) {
  const auto spec = codec::parse_job(good_job());
  EXPECT_EQ(spec.tasks, 16U);
  EXPECT_EQ(spec.priority, core::Priority::high);
  EXPECT_FALSE(spec.zone);
  const auto decoded = codec::parse_job(codec::job_to_json(spec));
  EXPECT_EQ(codec::job_to_json(decoded), codec::job_to_json(spec));
}

TEST(JobCodec, RefusesMalformedFields) {
  const std::pair<const char*, Json> malformed[] = {
      {"id", "412"},        {"id", "req-"},        {"id", 5},
      {"id", "req-1/2"},    {"lot", ""},           {"owner", Json::array()},
      {"shape", "ring"},    {"urgency", nullptr},  {"cuts", 0},
      {"cuts", 100001},     {"cuts", 1.5},         {"cuts", "3"},
      {"cores", -1},        {"cores", 1e300},      {"cores", "8"},
      {"memory_gb", false}, {"casket", 7},         {"image_gb", -0.1},
      {"benches", "g8"},    {"benches", {1}},      {"district", 3},
      {"loaners", "yes"},   {"expect_s", nullptr}, {"due_s", -1},
      {"gpus", -1},         {"mark_s", -0.1},      {"stow_s", 1e300}};
  for (const auto& [field, value] : malformed) {
    auto job = good_job();
    job[field] = value;
    EXPECT_THROW(codec::parse_job(job), codec::MalformedJob) << field << " = " << value;
  }
  EXPECT_THROW(codec::parse_job(Json::array()), codec::MalformedJob);
}

// Jobs without `gpus`, `mark_s`, `stow_s`, `same_place`, `spread` or `loaners` were accepted with
// defaults. Checks each field of PROTOCOL's table when it is missing, null or of another type.
TEST(JobCodec, NamesTheFieldThatIsMissingNullOrOfAnotherType) {
  const std::set<std::string> nullable{"benches", "district", "due_s"};
  const auto error_text = [](const Json& job) -> std::string {
    try {
      codec::parse_job(job);
    } catch (const codec::MalformedJob& problem) {
      return problem.what();
    }
    return {};
  };
  const auto fields = good_job();
  ASSERT_EQ(fields.size(), 20U) << "all fields of the table";
  for (const auto& [field, value] : fields.items()) {
    auto missing = fields;
    missing.erase(field);
    auto null = fields;
    null[field] = nullptr;
    for (const auto& job : {missing, null}) {
      if (nullable.contains(field))
        EXPECT_EQ(error_text(job), "") << field;
      else
        EXPECT_TRUE(error_text(job).starts_with(field)) << field << ": " << error_text(job);
    }
    auto other = fields;
    other[field] = Json::object();
    EXPECT_TRUE(error_text(other).starts_with(field)) << field << ": " << error_text(other);
  }
}

TEST(JobCodec, DecodesRecordsOfJobsThatWereAcceptedWithoutAField) {
  auto job = good_job();
  for (const auto* field : {"gpus", "mark_s", "stow_s", "same_place", "spread", "loaners"})
    job.erase(field);
  const auto record = store::decode_job_record({{"job", job}, {"submitted_ms", 1000}}, 7);
  EXPECT_EQ(record.spec.tasks, 16U);
  EXPECT_FALSE(record.spec.spot_allowed);
  EXPECT_EQ(record.spec.checkpoint_every, core::Seconds(0));
  job["mark_s"] = 30.0;
  EXPECT_EQ(
      store::decode_job_record({{"job", job}, {"submitted_ms", 1000}}, 7).spec.checkpoint_every,
      core::Seconds(30));
}

TEST(JobCodec, RefusesJobsThatCanNeverRun) {
  core::MachineType type{"g8", {96, 8, 768}, 200, 1, 12, 4.5, core::Seconds(45), {"a"}};
  const std::vector<core::Team> teams{{"vision", 0, 64, 0, 0}};
  const auto refused = [&](const char* field, const Json& value) {
    auto job = good_job();
    job["same_place"] = false;
    if (field != nullptr) job[field] = value;
    return api::refusal_reason(codec::parse_job(job), teams, {type}, {"a", "b"}).has_value();
  };
  EXPECT_FALSE(refused(nullptr, {}));
  EXPECT_TRUE(refused("owner", "nobody"));
  EXPECT_FALSE(refused("cores", 64.0));  // The limit of the team.
  EXPECT_TRUE(refused("cores", 64.01));
  EXPECT_FALSE(refused("memory_gb", 768.0));  // The capacity of the type.
  EXPECT_TRUE(refused("memory_gb", 768.01));
  EXPECT_FALSE(refused("gpus", 8.0));
  EXPECT_TRUE(refused("gpus", 8.01));
  EXPECT_FALSE(refused("benches", Json{"x1", "g8"}));
  EXPECT_TRUE(refused("benches", Json{"x1"}));
  EXPECT_TRUE(refused("district", "b"));  // The type is not offered in this zone.
  EXPECT_TRUE(refused("district", "c"));
  // The tasks of gangs and services run at the same time, so together they must fit into the team's
  // limit.
  for (const char* shape : {"array", "gang", "service"}) {
    auto job = good_job();
    job["same_place"] = false;
    job["shape"] = shape;
    job["cores"] = 8.0;
    job["gpus"] = 0.0;
    job["cuts"] = 8;
    EXPECT_FALSE(api::refusal_reason(codec::parse_job(job), teams, {type}, {"a"})) << shape;
    job["cuts"] = 9;
    EXPECT_EQ(api::refusal_reason(codec::parse_job(job), teams, {type}, {"a"}).has_value(),
              std::string(shape) != "array")
        << shape;
  }
}

TEST(AgentCodec, DecodesHeartbeatsAndRefusesMalformedOnes) {
  const std::string valid = R"({"rig":"m-000231","endpoint":"10.1.0.232:9000","bench":"g8",
    "district":"a","loaners":true,"shift":1,"tally":88,"baton":41,"recall_s":null,
    "cuts":[{"cut":"req-000412/3","try":2,"status":"running"},
            {"cut":"req-000398/0","try":1,"status":"exited","cause":"done"}]})";
  const auto heartbeat = agent::parse_heartbeat(valid);
  EXPECT_EQ(heartbeat.tasks.size(), 2U);
  EXPECT_EQ(heartbeat.tasks[0].task.index, 3U);
  EXPECT_EQ(heartbeat.tasks[1].cause, core::ExitCause::done);
  EXPECT_FALSE(heartbeat.notice);
  const std::pair<const char*, Json> malformed[] = {
      {"shift", -1}, {"tally", "x"}, {"rig", 5}, {"recall_s", "x"}, {"cuts", 3}, {"baton", 1.5}};
  for (const auto& [field, value] : malformed) {
    auto json = Json::parse(valid);
    json[field] = value;
    EXPECT_ANY_THROW(agent::parse_heartbeat(json.dump())) << field;
  }
  for (const auto* task : {"req-1", "/3", "req-1/x", "req-1/-1", "req-1/99999999999"}) {
    auto json = Json::parse(valid);
    json["cuts"][0]["cut"] = task;
    EXPECT_ANY_THROW(agent::parse_heartbeat(json.dump())) << task;
  }
  EXPECT_ANY_THROW(agent::parse_heartbeat("[]"));
  EXPECT_ANY_THROW(agent::parse_heartbeat("{"));
}

TEST(AgentCodec, EncodesCommands) {
  const auto body = Json::parse(
      agent::commands_body(41, 2,
                           {{core::CommandType::start, {"req-7", 3}, 9, core::Seconds(0)},
                            {core::CommandType::stop, {"req-7", 4}, 8, core::Seconds(10)}}));
  EXPECT_EQ(body, Json::parse(R"({"baton":41,"shift":2,"orders":[
    {"verb":"start","cut":"req-7/3","try":9},
    {"verb":"kill","cut":"req-7/4","try":8,"leeway_s":10.0}]})"));
}

TEST(PeerStatusCodec, RefusesOtherVersionsAndMalformedMessages) {
  peers::Status status;
  status.member = "a";
  status.token = 5;
  status.counts = {{"req-1", 2, 3}};
  const auto frame = peers::encode(status);
  const auto decoded = peers::decode(frame.data() + 4, frame.size() - 4);
  EXPECT_EQ(decoded.counts.at(0).running, 3U);
  EXPECT_EQ(decoded.token, 5U);
  status.version = 99;
  const auto newer = peers::encode(status);
  EXPECT_ANY_THROW(peers::decode(newer.data() + 4, newer.size() - 4));
  EXPECT_ANY_THROW(peers::decode("garbage", 7));
}

TEST(CloudCodec, RefusesMalformedCatalogs) {
  EXPECT_ANY_THROW(cloud::parse_catalog("{}"));
  EXPECT_ANY_THROW(cloud::parse_catalog(R"({"benches":[]})"));
  EXPECT_ANY_THROW(cloud::parse_catalog(
      R"({"benches":[{"label":"a","cores":-1,"memory_gb":1,"local_gb":1,"fetch_gb_per_s":1,
          "rate":1,"ready_s":1,"districts":["a"]}]})"));
}

}  // namespace
}  // namespace violetpulley
