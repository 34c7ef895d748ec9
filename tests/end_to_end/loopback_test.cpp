/// @file
/// One run of three processes on loopback through submissions, cancellations, refusals and kills.
#include "end_to_end/loopback.hpp"

namespace violetpulley {
namespace {

TEST_F(Loopback, RunsCancelsRefusesAndSurvivesKills) {
  submit("n-0", "req-1", 6);
  wait_done("n-1", "req-1");
  EXPECT_EQ(cloud_.executed_starts(), 6U);
  EXPECT_EQ(ask("n-2", "POST", "/v1/jobs", job("req-1", 6)).status, 200);

  // A known id is answered before the rest of the submission is validated.
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", R"({"id":"req-1"})").status, 200);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", "{").status, 400);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", "[]").status, 400);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", R"({"id":"req-2"})").status, 400);
  auto submission_without_stow_s = Json::parse(job("req-2", 1));
  submission_without_stow_s.erase("stow_s");
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", submission_without_stow_s.dump()).status, 400);
  submission_without_stow_s["id"] = "req-1";
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", submission_without_stow_s.dump()).status, 200)
      << "known, whatever it holds";
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", job("req-2", 1, 99)).status, 422);
  EXPECT_EQ(ask("n-0", "GET", "/v1/jobs/req-2").status, 404);
  EXPECT_EQ(ask("n-0", "GET", "/nowhere").status, 404);
  EXPECT_EQ(ask("n-0", "DELETE", "/v1/jobs").status, 405);
  EXPECT_EQ(ask("n-0", "POST", "/agent/beat", "{}").status / 100, 4);
  EXPECT_EQ(ask("n-0", "GET", "/healthz").status, 200);

  submit("n-1", "req-9", 2);  // The fake agents run tasks of this job until they are stopped.
  const auto cancelled = until("n-2", "POST", "/v1/jobs/req-9/withdraw", "",
                               [](int status, const Json&) { return status == 200; });
  EXPECT_EQ(cancelled.at("status"), "withdrawn");
  EXPECT_EQ(Json::parse(ask("n-0", "GET", "/v1/jobs/req-9").body).at("status"), "withdrawn");

  // Gangs and services are accepted unless all tasks together exceed the team's limit of 40 CPUs.
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", job("req-5", 6, 8, "gang")).status, 422);
  EXPECT_EQ(ask("n-0", "POST", "/v1/jobs", job("req-5", 6, 8, "service")).status, 422);
  const auto accepted = [](int status, const Json&) { return status == 201; };
  until("n-0", "POST", "/v1/jobs", job("req-5", 3, 8, "gang"), accepted);
  wait_done("n-1", "req-5");
  until("n-0", "POST", "/v1/jobs", job("req-91", 3, 1, "service"), accepted);
  until("n-1", "GET", "/v1/jobs/req-91", "", [](int status, const Json& body) {
    return status == 200 && body.at("status") == "running" && body.at("running") == 3;
  });
  // Operators have an address of their own. A controller that does not lead forwards the request to
  // its own port on the leader's host. Here all controllers share one host, so the request comes
  // back to the same controller, which refuses it.
  int answered = 0;
  for (const auto& [name, address] : operator_addresses_) {
    const auto response = ask_at(address, "GET", "/v1/jobs/req-91/why");
    if (response.status != 200) {
      EXPECT_EQ(response.status, 503);
      continue;
    }
    ++answered;
    EXPECT_EQ(Json::parse(response.body).at("on_machines"), 3);
  }
  EXPECT_EQ(answered, 1);
  EXPECT_EQ(ask("n-0", "GET", "/v1/jobs/req-91/why").status, 404);
  until("n-1", "POST", "/v1/jobs/req-91/withdraw", "",
        [](int status, const Json&) { return status == 200; });

  // Two of the three controllers are killed. The third finishes the job, whether it leads already
  // or has to take over.
  submit("n-2", "req-3", 5);
  kill_node("n-0");
  kill_node("n-1");
  wait_done("n-2", "req-3");
  start("n-0");
  kill_node("n-2");
  submit("n-0", "req-4", 3);
  wait_done("n-0", "req-4");
  wait_done("n-0", "req-1");

  // The history that the killed leaders wrote is intact, and a replay by the core takes the same
  // actions.
  kill_node("n-0");
  std::uint64_t records = 0;
  for (const char* name : {"n-0", "n-1"}) {
    const auto directory = history_of(name);
    const auto [code, text] = history("verify --json " + directory);
    ASSERT_EQ(code, 0) << text;
    records += Json::parse(text).at("records").get<std::uint64_t>();
    const auto [replayed, digests] = history("replay --json " + directory);
    EXPECT_EQ(replayed, 0) << digests;
    const auto [shown, table] = history("show --json --job req-4 " + directory);
    EXPECT_EQ(shown, 0);
    std::filesystem::remove_all(directory);
  }
  EXPECT_GT(records, 0U);  // The last leader is one of these two.
  EXPECT_EQ(history("verify /nowhere").first, 2);
}

}  // namespace
}  // namespace violetpulley
