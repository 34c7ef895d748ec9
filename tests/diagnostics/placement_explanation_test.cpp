// Explanations of waiting jobs, from the controller of a leader and over the operator API.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "api/operator_api.hpp"
#include "core/events.hpp"
#include "diagnostics/cost_breakdown.hpp"

namespace violetpulley {
namespace {

using core::Seconds;
using core::TimePoint;
using Json = nlohmann::json;

constexpr core::FencingToken kToken = 7;

class PlacementExplanation : public ::testing::Test {
 protected:
  PlacementExplanation() {
    core::LeaderElected elected_event;
    elected_event.settings.teams = teams_;
    elected_event.settings.cloud_calls_per_s = 3;
    elected_event.token = kToken;
    elected_event.former_leases_end = now_;
    controller_ = core::make_controller(elected_event, now_);
    controller_->set_catalog(types_);
    for (const char* name : {"m-1", "m-2"}) {
      heartbeats_[name] = {name,   "10.0.0.1:1", "big", name[2] == '1' ? "a" : "b", false, 1, 1,
                           kToken, {},           {}};
      controller_->heartbeat(heartbeats_[name], now_);
    }
  }

  void open(const std::string& id, core::TaskIndex tasks, core::Resources per_task,
            const std::function<void(core::JobSpec&)>& change = {}) {
    core::JobRecord record;
    record.spec.id = id;
    record.spec.job_class = "c";
    record.spec.team = "t";
    record.spec.tasks = tasks;
    record.spec.per_task = per_task;
    record.spec.image = "i";
    record.spec.estimate = Seconds(50);
    if (change) change(record.spec);
    record.revision = ++revision_;
    controller_->job_opened(record, now_);
  }

  // Runs 30 scheduling rounds with agents that execute each command at once.
  void run_rounds() {
    for (int i = 0; i < 30; ++i) {
      now_ += std::chrono::milliseconds(200);
      for (auto& [name, heartbeat] : heartbeats_) {
        ++heartbeat.heartbeat_sequence;
        controller_->heartbeat(heartbeat, now_);
      }
      controller_->tick(now_, true, now_);
      for (const auto& action : controller_->take_actions()) {
        if (const auto* save = std::get_if<core::SaveMachine>(&action))
          controller_->machine_saved(save->record.id, true, true);
        const auto* batch = std::get_if<core::SendCommands>(&action);
        if (batch == nullptr) continue;
        auto& heartbeat = heartbeats_.at(batch->machine);
        for (const auto& command : batch->commands)
          if (command.type == core::CommandType::start)
            heartbeat.tasks.push_back(
                {command.task, command.attempt, core::TaskState::running, {}, false});
        ++heartbeat.heartbeat_sequence;
        controller_->commands_answered(batch->machine, responses_arrive_ ? &heartbeat : nullptr,
                                       now_);
      }
    }
  }

  diagnostics::PlacementExplanation explain(const std::string& id) {
    const auto out = diagnostics::explain_placement(*controller_, teams_, types_, id, now_);
    EXPECT_TRUE(out);
    return out.value_or(diagnostics::PlacementExplanation{});
  }
  static std::vector<std::string> codes(const diagnostics::PlacementExplanation& explanation) {
    std::vector<std::string> out;
    for (const auto& cause : explanation.causes) out.push_back(cause.code);
    return out;
  }

  std::vector<core::Team> teams_{{"t", 0, 0, 0, 0}, {"small", 0, 8, 0, 0}};
  std::vector<core::MachineType> types_{{"big", {16, 0, 64}, 60, 1, 2, 1, Seconds(20), {"a", "b"}}};
  bool responses_arrive_ = true;  ///< whether the responses to commands arrive
  TimePoint now_{std::chrono::hours(1)};
  core::Revision revision_ = 100;
  std::map<std::string, core::Heartbeat> heartbeats_;
  std::unique_ptr<core::Controller> controller_;
};

using Codes = std::vector<std::string>;

TEST_F(PlacementExplanation, FullMachinesGiveCauseCpusAndAnExpectedTimeUntilTheJobFits) {
  open("first", 8, {4, 0, 1});
  run_rounds();
  ASSERT_EQ(explain("first").on_machines, 8U);
  EXPECT_TRUE(explain("first").causes.empty());
  open("second", 3, {2, 0, 1});
  run_rounds();
  const auto explanation = explain("second");
  EXPECT_EQ(explanation.waiting, 3U);
  EXPECT_FALSE(explanation.impossible);
  EXPECT_EQ(codes(explanation), Codes{"cpus"});
  EXPECT_EQ(explanation.machines, 2U);
  ASSERT_TRUE(explanation.fits_in) << "the first job's tasks are expected to end";
  EXPECT_GT(*explanation.fits_in, Seconds(0));
  EXPECT_LE(*explanation.fits_in, Seconds(50));
  EXPECT_EQ(explanation.rentable_types, std::vector<std::string>{"big"});
}

TEST_F(PlacementExplanation, ATaskThatADelayedStartMayRunAgainIsHeld) {
  run_rounds();
  responses_arrive_ = false;
  open("failed", 1, {4, 0, 1});
  run_rounds();
  responses_arrive_ = true;
  for (auto& [name, heartbeat] : heartbeats_)
    for (auto& status : heartbeat.tasks)
      status = {status.task, status.attempt, core::TaskState::exited, core::ExitCause::error,
                false};
  run_rounds();
  const auto held = explain("failed");
  EXPECT_EQ(codes(held), Codes{"delayed_start"});
  EXPECT_EQ(held.waiting, 0U) << "no other machine may take it yet";
  open("next", 9, {4, 0, 1});
  run_rounds();
  EXPECT_EQ(explain("next").set_aside.at("returned"), 1U);
}

TEST_F(PlacementExplanation, TeamLimitsZonesAndImpossibleJobsAreNamedAsCauses) {
  open("limited", 6, {2, 0, 1}, [](core::JobSpec& spec) { spec.team = "small"; });
  open("accelerated", 1, {1, 1, 1});
  open("elsewhere", 1, {1, 0, 1}, [](core::JobSpec& spec) { spec.zone = "c"; });
  open("gang", 9, {4, 0, 1}, [](core::JobSpec& spec) {
    spec.shape = core::Shape::gang;
    spec.same_zone = true;
  });
  open("spread", 3, {1, 0, 1}, [](core::JobSpec& spec) {
    spec.shape = core::Shape::service;
    spec.spread = true;
    spec.zone = "a";
  });
  run_rounds();
  const auto limited = explain("limited");
  EXPECT_EQ(limited.waiting, 2U);
  EXPECT_EQ(codes(limited), Codes{"team_limit"});
  EXPECT_FALSE(limited.impossible);
  const auto accelerated = explain("accelerated");
  EXPECT_TRUE(accelerated.impossible);
  EXPECT_EQ(codes(accelerated), Codes{"gpus"});
  EXPECT_TRUE(accelerated.rentable_types.empty());
  EXPECT_EQ(codes(explain("elsewhere")), Codes{"zone"});
  const auto gang = explain("gang");
  EXPECT_TRUE(gang.impossible);
  EXPECT_EQ(codes(gang), Codes{"cpus"})
      << "nine tasks of four processors do not fit on two machines of 16";
  EXPECT_EQ(codes(explain("spread")), Codes{"zone"})
      << "it would also fit without spread, but zone is tried first";
  EXPECT_FALSE(diagnostics::explain_placement(*controller_, teams_, types_, "unknown", now_));
}

TEST_F(PlacementExplanation, CostsByUseAddUpToTheTotalCost) {
  diagnostics::CostBreakdown costs;
  costs.sample(controller_->fleet(), now_);
  EXPECT_EQ(costs.total_cost(), 0);
  EXPECT_EQ(costs.text(), "spent 0.00");
  // Two empty machines at a price of 2 for an hour.
  now_ += std::chrono::hours(1);
  costs.sample(controller_->fleet(), now_);
  EXPECT_DOUBLE_EQ(costs.cost_of(diagnostics::Use::empty), 4);
  // Three tasks of four processors on two machines of 16 use 12 of 32 processors. The rest is
  // unused capacity, or an empty machine if all three tasks run on one machine.
  open("some", 3, {4, 0, 1});
  run_rounds();
  ASSERT_EQ(explain("some").on_machines, 3U);
  costs.sample(controller_->fleet(), now_);
  const auto before = costs;
  now_ += std::chrono::hours(1);
  costs.sample(controller_->fleet(), now_);
  const auto total_cost = [&](diagnostics::Use use) {
    return costs.cost_of(use) - before.cost_of(use);
  };
  EXPECT_DOUBLE_EQ(total_cost(diagnostics::Use::running), 4 * 12 / 32.0);
  EXPECT_DOUBLE_EQ(
      total_cost(diagnostics::Use::unused_capacity) + total_cost(diagnostics::Use::empty),
      4 * 20 / 32.0);
  EXPECT_DOUBLE_EQ(costs.total_cost() - before.total_cost(), 4);
}

class PlacementExplanationApi : public PlacementExplanation {
 protected:
  net::Response request(const api::OperatorApi& server, const std::string& method,
                        const std::string& target) {
    net::HttpClient client(io_, server.local_endpoint(), 1);
    std::optional<net::Response> answer;
    bool answered = false;
    client.request({method, target, ""}, std::chrono::seconds(5), [&](auto response) {
      answer = std::move(response);
      answered = true;
    });
    while (!answered) io_.run_one();
    return answer.value_or(net::Response{0, "", {}});
  }
  std::unique_ptr<api::OperatorApi> make_operator_api(
      bool leads, const std::optional<asio::ip::tcp::endpoint>& leader = {}) {
    return std::make_unique<api::OperatorApi>(
        io_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0),
        api::OperatorApi::Environment{
            teams_, [this]() -> const std::vector<core::MachineType>& { return types_; },
            [this, leads] { return leads ? controller_.get() : nullptr; },
            [leader] { return leader; }});
  }
  asio::io_context io_;
};

TEST_F(PlacementExplanationApi, TheLeaderAnswersAndFollowersForwardRequests) {
  open("accelerated", 1, {1, 1, 1});
  run_rounds();
  const auto leader = make_operator_api(true);
  const auto other = make_operator_api(false, leader->local_endpoint());
  const auto direct = request(*leader, "GET", "/v1/jobs/accelerated/why");
  EXPECT_EQ(direct.status, 200);
  const auto body = Json::parse(direct.body);
  EXPECT_EQ(body["causes"][0]["code"], "gpus");
  EXPECT_EQ(body["waiting"], 1);
  EXPECT_EQ(request(*other, "GET", "/v1/jobs/accelerated/why").body, direct.body);
  EXPECT_EQ(request(*leader, "GET", "/v1/jobs/unknown/why").status, 404);
  EXPECT_EQ(request(*leader, "POST", "/v1/jobs/accelerated/why").status, 405);
  EXPECT_EQ(request(*leader, "GET", "/v1/jobs/a/b/why").status, 404);
  EXPECT_EQ(request(*leader, "GET", "/v1/jobs//why").status, 404);
}

TEST_F(PlacementExplanationApi, RequestsAreRejectedWithoutALeaderAndAboveTheRateLimit) {
  const auto without_leader = make_operator_api(false);
  const auto response = request(*without_leader, "GET", "/v1/jobs/j/why");
  EXPECT_EQ(response.status, 503);
  // Two controllers that take each other for the leader forward a request only once.
  const auto second = make_operator_api(false, without_leader->local_endpoint());
  EXPECT_EQ(request(*second, "GET", "/v1/jobs/j/why").status, 503);
  const auto leader = make_operator_api(true);
  int answered = 0;
  int rejected = 0;
  for (int i = 0; i < 40; ++i) {
    const auto status = request(*leader, "GET", "/v1/jobs/j/why").status;
    answered += status == 404 ? 1 : 0;
    rejected += status == 429 ? 1 : 0;
  }
  EXPECT_EQ(answered + rejected, 40);
  EXPECT_GE(answered, 5);
}

}  // namespace
}  // namespace violetpulley
