/// @file
/// Read barriers of a leader (docs/safety.md, "Serving limit"). Guards against a leader that still
/// holds its key but serves from a stale replica: a fake state service refuses one controller alone
/// and then all, while another controller confirms cancellations. Time bounds are derived from
/// timestamps taken by the tested code, so a slow machine does not change the results.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "codec/job_codec.hpp"
#include "store/two_controllers.hpp"

namespace violetpulley::store {
namespace {

using core::Clock;
using core::JobId;
using core::Seconds;
using core::TimePoint;
using std::chrono::milliseconds;

class ReadBarrierTest : public ::testing::Test {
 protected:
  void until(const std::function<bool()>& done) { fakes::run_until(io_, done); }
  TestController& wait_for_leader() {
    until([&] { return deployment_.leader() != nullptr && deployment_.leader()->serves(); });
    return *deployment_.leader();
  }
  void submit_and_replicate(const JobId& id) {
    submit(client_, id);
    until([&] {
      return deployment_.a.job_replica.find(id) != nullptr &&
             deployment_.b.job_replica.find(id) != nullptr;
    });
  }
  /// Cancels the job and returns when the user received the confirmation.
  TimePoint cancel_and_wait(TestController& at, const JobId& id) {
    std::optional<TimePoint> confirmed;
    at.cancel(id, [&](bool cancelled) {
      ASSERT_TRUE(cancelled);
      confirmed = Clock::now();
    });
    until([&] { return confirmed.has_value(); });
    return *confirmed;
  }

  asio::io_context io_;
  Deployment deployment_{io_, 1};
  StoreClient client_{io_, net::parse_endpoint(deployment_.state.address()), {1000, 1000}, 3};
};

TEST_F(ReadBarrierTest, ARenewedLeaderKeyWithoutAReadBarrierDoesNotLetTheLeaderServe) {
  auto& leader = wait_for_leader();
  submit_and_replicate("req-1");
  deployment_.state.set_refused(leader.endpoint, true);
  const auto confirmed = cancel_and_wait(deployment_.other(leader), "req-1");
  // The outage begins before the lease has expired, so the key survives it. The watch reports
  // nothing.
  deployment_.state.set_outage(true);
  deployment_.state.set_refused(leader.endpoint, false);
  deployment_.state.set_outage(false);
  bool renewed = false;
  leader.election.prove_leadership([&](bool proven) { renewed = proven; });
  until([&] {
    if (leader.leadership.fresh_until() > confirmed) {
      EXPECT_TRUE(leader.closed.contains("req-1"));
    }
    return renewed;
  });
  ASSERT_GT(leader.leadership.last_proven(), confirmed);
  // Until the barrier's response is applied, the key alone does not let the leader serve.
  if (!leader.closed.contains("req-1")) {
    EXPECT_LT(*leader.leadership.fresh_until(), confirmed);
    EXPECT_FALSE(leader.leadership.may_serve(confirmed +
                                             core::to_duration(leader.leadership.serving_time())));
  }
  until([&] { return leader.leadership.fresh_until() > confirmed; });
  EXPECT_TRUE(leader.closed.contains("req-1"));
}

TEST_F(ReadBarrierTest, FreshnessCountsFromTheSendingOfABarrierAndOnlyOnceItsResponseIsApplied) {
  auto& leader = wait_for_leader();
  submit_and_replicate("req-1");
  deployment_.state.set_response_delay(leader.endpoint, milliseconds(300));
  // The barrier in flight may have been sent before the cancellation; the next barrier is not.
  cancel_and_wait(deployment_.other(leader), "req-1");
  const auto requested_at = Clock::now();
  bool fresh = false;
  bool known = false;
  ReadBarrierLoop read_barriers(io_, leader.leadership, leader.job_replica);
  read_barriers.request_barrier([&](bool ok) {
    fresh = ok;
    known = leader.closed.contains("req-1");
    EXPECT_LT(*leader.leadership.fresh_until(), requested_at + milliseconds(300))
        << "freshness counted from the answer";
  });
  until([&] { return fresh; });
  EXPECT_TRUE(known);
}

TEST_F(ReadBarrierTest, AResponseWithALowerRevisionIsRejected) {
  auto& leader = wait_for_leader();
  submit_and_replicate("req-1");
  deployment_.state.set_revision_lag(1);
  const auto since = Clock::now();
  std::optional<bool> fresh;
  leader.job_replica.read_barrier(RequestPriority::safety, [&](bool ok) { fresh = ok; });
  until([&] { return fresh.has_value(); });
  EXPECT_FALSE(*fresh);
  EXPECT_LT(*leader.leadership.fresh_until(), since);
  deployment_.state.set_revision_lag(0);
  until([&] { return leader.leadership.fresh_until() > since; });
}

// A slow state service: the response to a list request, read before a job ended, arrives after the
// barrier that reported the end.
TEST_F(ReadBarrierTest, AListOlderThanAReadBarrierReopensNoJob) {
  auto& leader = wait_for_leader();
  submit_and_replicate("req-1");
  JobReplica replica(io_, client_, {[](const core::JobRecord&) {}, [](const JobId&) {}});
  replica.start();
  until([&] { return replica.find("req-1") != nullptr; });
  // The replica reads all jobs again, as after a failed watch.
  deployment_.state.set_lists_stalled(true);
  replica.start();
  until([&] { return deployment_.state.stalled_list_count() > 0; });
  cancel_and_wait(leader, "req-1");
  std::optional<bool> fresh;
  replica.read_barrier(RequestPriority::safety, [&](bool ok) { fresh = ok; });
  until([&] { return fresh.has_value(); });
  ASSERT_TRUE(*fresh);
  ASSERT_EQ(replica.find("req-1"), nullptr);
  deployment_.state.set_lists_stalled(false);
  submit(client_, "req-2");
  until([&] { return replica.find("req-2") != nullptr; });
  EXPECT_EQ(replica.find("req-1"), nullptr) << "a finished job was reopened";
}

// A submission and the end of a job get no response, and both transactions are executed only after
// the job was submitted again and cancelled.
TEST_F(ReadBarrierTest, ATransactionExecutedLateDoesNotOverwriteLaterChanges) {
  auto& leader = wait_for_leader();
  const auto endpoint = deployment_.state.add_endpoint();
  StoreClient late(io_, net::parse_endpoint(deployment_.state.address(endpoint)), {1000, 1000}, 9);
  deployment_.state.set_execution_delay(endpoint, milliseconds(1800));
  std::optional<bool> taken;
  submit(late, "req-1", [&](bool ok) { taken = ok; });
  submit_and_replicate("req-1");
  const auto* record = leader.job_replica.find("req-1");
  ASSERT_NE(record, nullptr);
  std::optional<Outcome> ended;  // the leader ends the job while its user cancels it
  late.commit({{{kJobPrefix + std::string("req-1"), record->revision},
                {kEndPrefix + std::string("req-1"), 0},
                {"leader", leader.leadership.token()}},
               {{kJobPrefix + std::string("req-1"), std::nullopt, std::nullopt},
                {kEndPrefix + std::string("req-1"), Json{{"state", "done"}}, std::nullopt}}},
              RequestPriority::safety,
              [&](const TransactionResult& result) { ended = result.outcome; });
  cancel_and_wait(deployment_.other(leader), "req-1");
  until([&] { return deployment_.state.late_execution_count() == 2; });
  ASSERT_TRUE(taken && ended);
  EXPECT_FALSE(*taken);
  EXPECT_EQ(*ended, Outcome::unknown);
  std::optional<GetResult> job_key;
  std::optional<GetResult> end_key;
  client_.get("job/req-1", RequestPriority::safety,
              [&](const GetResult& result) { job_key = result; });
  client_.get("end/req-1", RequestPriority::safety,
              [&](const GetResult& result) { end_key = result; });
  until([&] { return job_key && end_key; });
  EXPECT_EQ(job_key->outcome, Outcome::not_found);
  EXPECT_EQ(end_key->item.value.value("state", ""), "withdrawn");
}

// A job's last task ends while its user cancels the job, polls its status and submits it again, at
// two controllers and in every order of the four. The first transaction that commits decides the
// final state; every later response reports it, and once a response has reported it, no request
// sent afterwards gets an older state.
TEST_F(ReadBarrierTest, AConcurrentEndCancellationPollAndResubmissionReportOneFinalState) {
  auto& leader = wait_for_leader();
  auto& other = deployment_.other(leader);
  for (auto* controller : {&leader, &other})
    controller->types = {{"bench", {16, 0, 128}, 60, 0.5, 1.1, 0.39, Seconds(30), {"a"}}};
  for (int i = 101; i < 148; ++i) submit(client_, "req-" + std::to_string(i));
  submit_and_replicate("req-148");
  for (int i = 101; i < 148; ++i)
    until([&] {
      const auto id = "req-" + std::to_string(i);
      return leader.job_replica.find(id) != nullptr && other.job_replica.find(id) != nullptr;
    });
  std::array<int, 4> order{0, 1, 2, 3};
  int number = 100;
  std::map<std::string, int> ends;
  do {
    for (const bool apart : {false, true}) {
      const auto id = "req-" + std::to_string(++number);
      const auto* record = leader.job_replica.find(id);
      ASSERT_NE(record, nullptr);
      const auto repeat = codec::job_to_json(record->spec).dump();
      const auto revision = record->revision;
      std::size_t open_requests = 0;
      std::optional<TimePoint> end_reported;
      std::set<std::string> final_states;
      std::function<void(TestController&, const char*, const std::string&)> ask;
      ask = [&](TestController& at, const char* method, const std::string& body) {
        ++open_requests;
        at.user_client.request(
            {method, "/" + id, body}, std::chrono::seconds(5),
            [&, method, body, sent = Clock::now()](const std::optional<net::Response>& response) {
              --open_requests;
              ASSERT_TRUE(response) << id;
              if (response->status == 503) return ask(at, method, body);  // retry, as clients do
              ASSERT_EQ(response->status, 200) << id;
              const auto status = Json::parse(response->body).at("status").get<std::string>();
              if (status != "done" && status != "withdrawn") {
                EXPECT_FALSE(end_reported && sent >= *end_reported)
                    << id << ": older state after its end was reported";
                return;
              }
              final_states.insert(status);
              if (end_reported) return;
              end_reported = Clock::now();
              for (auto* controller : {&leader, &other}) ask(*controller, "GET", "");
            });
      };
      bool ended = false;
      const auto end = [&] {
        leader.store.commit({{{kJobPrefix + id, revision},
                              {kEndPrefix + id, 0},
                              {"leader", leader.leadership.token()}},
                             {{kJobPrefix + id, std::nullopt, std::nullopt},
                              {kEndPrefix + id, Json{{"state", "done"}}, std::nullopt}}},
                            RequestPriority::safety, [&](const TransactionResult& result) {
                              ended = true;
                              if (result.outcome == Outcome::ok)
                                leader.job_replica.apply_local_close(id, result.revision);
                            });
      };
      for (const auto event : order) {
        if (event == 0) end();
        if (event == 1) ask(number % 4 < 2 ? other : leader, "POST", "");
        if (event == 2) ask(number % 3 == 0 ? leader : other, "GET", "");
        if (event == 3) ask(number % 5 < 2 ? leader : other, "PUT", repeat);
        if (apart) io_.run_for(milliseconds(1));
      }
      until([&] { return ended && open_requests == 0; });
      ASSERT_EQ(final_states.size(), 1U) << id << ": responses disagree about the final state";
      ++ends[*final_states.begin()];
    }
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_EQ(ends["done"] + ends["withdrawn"], 48);
  EXPECT_GT(ends["done"], 0);
  EXPECT_GT(ends["withdrawn"], 0);
}

}  // namespace
}  // namespace violetpulley::store
