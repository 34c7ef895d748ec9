/// @file
/// Requests and answers: the clients of the store and of the cloud, the users' interface and one
/// controller send the same bytes and understand answers as before December 2026.
#include "api/user_api.hpp"
#include "cloud/cloud_client.hpp"
#include "golden/golden_files.hpp"
#include "golden/recording_peer.hpp"
#include "node/node.hpp"
#include "support/fake_services.hpp"

namespace violetpulley::golden {
namespace {

using core::Seconds;
using std::chrono::milliseconds;

using Finish = std::function<void(Json result)>;

/// Runs each case of a file against a peer that gives the recorded answers, and compares what was
/// sent and what the answers were understood as.
void check_exchanges(const std::string& file, asio::io_context& io, RecordingPeer& peer,
                     const std::function<void(const Json&, const Finish&)>& run) {
  for (const auto& item : cases_of(file)) {
    SCOPED_TRACE(text_at(item, "name"));
    peer.set_answers(item.at("answers"));
    bool finished = false;
    Json result;
    run(item, [&](Json understood) {
      result = std::move(understood);
      finished = true;
    });
    const auto sent = item.at("sent").size();
    fakes::run_until(io, [&] { return finished && peer.requests().size() >= sent; });
    EXPECT_EQ(peer.take_requests(), item.at("sent"));
    EXPECT_EQ(result, item.at("result"));
  }
}

Json json_of(const store::Item& item) {
  return {{"key", item.key}, {"value", item.value}, {"revision", item.revision}};
}

Json json_of(const store::ChangesResult& result) {
  Json changes = Json::array();
  for (const auto& change : result.changes)
    changes.push_back({{"key", change.key},
                       {"value", change.value.value_or(Json("<deleted>"))},
                       {"revision", change.revision}});
  return {{"outcome", static_cast<int>(result.outcome)},
          {"revision", result.revision},
          {"changes", changes}};
}

Json json_of(const store::ListResult& result) {
  Json items = Json::array();
  for (const auto& item : result.items) items.push_back(json_of(item));
  return {{"outcome", static_cast<int>(result.outcome)},
          {"revision", result.revision},
          {"items", items}};
}

store::Transaction transaction_of(const Json& request) {
  store::Transaction transaction;
  for (const auto& condition : request.at("conditions"))
    transaction.conditions.push_back(
        {text_at(condition, "key"), condition.at("revision").get<store::Revision>()});
  for (const auto& item : request.at("writes")) {
    store::Write write{text_at(item, "key"), item.at("value"), std::nullopt};
    if (item.at("value") == "<delete>") write.value.reset();
    if (!item.at("lease").is_null()) write.lease = item.at("lease").get<std::uint64_t>();
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

void run_store_request(store::StoreClient& client, const Json& item, const Finish& finish) {
  using store::RequestPriority;
  const auto operation = text_at(item, "operation");
  const auto& request = item.at("request");
  const auto report_outcome = [finish](store::Outcome outcome) {
    finish({{"outcome", static_cast<int>(outcome)}});
  };
  if (operation == "get") {
    client.get(
        text_at(request, "key"), RequestPriority::safety, [finish](const store::GetResult& result) {
          finish({{"outcome", static_cast<int>(result.outcome)}, {"item", json_of(result.item)}});
        });
  } else if (operation == "list") {
    client.list(text_at(request, "prefix"), RequestPriority::safety,
                [finish](const store::ListResult& result) { finish(json_of(result)); });
  } else if (operation == "changes") {
    client.changes(text_at(request, "prefix"), request.at("since").get<store::Revision>(),
                   milliseconds(request.at("block_ms").get<int>()), RequestPriority::safety,
                   [finish](const store::ChangesResult& result) { finish(json_of(result)); });
  } else if (operation == "commit") {
    client.commit(transaction_of(request), RequestPriority::safety,
                  [finish](const store::TransactionResult& result) {
                    finish({{"outcome", static_cast<int>(result.outcome)},
                            {"revision", result.revision},
                            {"failed", result.failed_conditions}});
                  });
  } else if (operation == "create_lease") {
    client.create_lease(
        milliseconds(request.at("ttl_ms").get<int>()), [finish](const store::LeaseResult& result) {
          finish({{"outcome", static_cast<int>(result.outcome)}, {"lease", result.lease}});
        });
  } else if (operation == "extend_lease") {
    client.extend_lease(request.at("lease").get<std::uint64_t>(), report_outcome);
  } else {
    ASSERT_EQ(operation, "revoke_lease");
    client.revoke_lease(request.at("lease").get<std::uint64_t>());
    finish(nullptr);
  }
}

TEST(GoldenStore, RequestsAndAnswersAreAsBefore) {
  asio::io_context io;
  RecordingPeer peer(io);
  store::StoreClient client(io, peer.endpoint(), {1000, 1000}, 1);
  check_exchanges("store.json", io, peer, [&](const Json& item, const Finish& finish) {
    run_store_request(client, item, finish);
  });
}

void run_cloud_request(cloud::CloudClient& client, const Json& item, const Finish& finish) {
  const auto operation = text_at(item, "operation");
  if (operation == "catalog") {
    client.catalog([finish](const std::optional<cloud::CloudClient::Catalog>& catalog) {
      finish(catalog ? Json{{"types", packed_hex(catalog->types)}, {"body", catalog->body}}
                     : Json());
    });
  } else if (operation == "request_machines") {
    client.request_machines(
        unpacked_hex<core::ScaleOut>(item.at("request")),
        [finish](const core::ScaleOutResult& result) { finish(packed_hex(result)); });
  } else if (operation == "release") {
    client.release(item.at("request").get<std::vector<core::MachineId>>(),
                   [finish](bool accepted) { finish(accepted); });
  } else {
    ASSERT_EQ(operation, "list");
    client.list([finish](const std::optional<std::vector<core::ListedMachine>>& machines) {
      finish(machines ? Json(packed_hex(*machines)) : Json());
    });
  }
}

TEST(GoldenCloud, RequestsAndAnswersAreAsBefore) {
  asio::io_context io;
  RecordingPeer peer(io);
  cloud::CloudClient client(io, peer.endpoint(), 1000);
  check_exchanges("cloud.json", io, peer, [&](const Json& item, const Finish& finish) {
    run_cloud_request(client, item, finish);
  });
}

Json submission(const std::string& id, const char* shape, int tasks) {
  return {{"id", id},
          {"lot", "c"},
          {"owner", "team"},
          {"shape", shape},
          {"urgency", "normal"},
          {"cuts", tasks},
          {"cores", 2},
          {"gpus", 0.0},
          {"memory_gb", 1},
          {"casket", "i"},
          {"image_gb", 0.1},
          {"expect_s", 0.1},
          {"same_place", false},
          {"spread", false},
          {"loaners", false},
          {"mark_s", 0.0},
          {"stow_s", 0.0}};
}

/// The state service of the recorded conversations with users: one open job, two ended ones, and
/// jobs whose transaction conflicts or is refused.
std::optional<net::Response> answer_user_api(const net::Request& request) {
  const auto& target = request.target;
  if (target.starts_with("/store?")) {
    const Json record{{"job", submission("req-7", "array", 4)}, {"submitted_ms", 1764633600123}};
    const Json rows = Json::array({{{"k", "job/req-7"}, {"v", record}, {"stamp", 40}}});
    return net::Response{
        200, Json{{"rows", rows}, {"truncated", false}, {"ledger", 50}}.dump(), {}};
  }
  if (target.starts_with("/changes")) {
    if (target.find("block_ms=0") == std::string::npos) return std::nullopt;
    return net::Response{200, R"({"ledger":50,"news":[]})", {}};
  }
  if (target == "/store/end/req-8")
    return net::Response{200, R"({"k":"end/req-8","v":{"state":"done"},"stamp":30})", {}};
  if (target == "/store/end/req-9")
    return net::Response{200, R"({"k":"end/req-9","v":{"state":"withdrawn"},"stamp":31})", {}};
  if (target.starts_with("/store/end/req-18")) return net::Response{503, "{}", {}};
  if (target.starts_with("/store/")) return net::Response{404, R"({"ledger":50})", {}};
  if (request.body.find("req-13") != std::string::npos)
    return net::Response{409, R"({"failed":["job/req-13"],"ledger":61})", {}};
  if (request.body.find("req-14") != std::string::npos) return net::Response{503, "{}", {}};
  return net::Response{200, R"({"ledger":60})", {}};
}

net::Response ask(asio::io_context& io, net::HttpClient& client, net::Request request) {
  std::optional<net::Response> response;
  bool answered = false;
  client.request(std::move(request), std::chrono::seconds(5), [&](auto given) {
    response = std::move(given);
    answered = true;
  });
  fakes::run_until(io, [&] { return answered; });
  return response.value_or(net::Response{0, "", {}});
}

/// What was sent to the store without the watch, which is asked again at any time.
Json without_watches(const Json& requests) {
  Json out = Json::array();
  for (const auto& request : requests)
    if (text_at(request, "target").find("block_ms=10000") == std::string::npos)
      out.push_back(request);
  return out;
}

TEST(GoldenUsers, AnswersAndTransactionsAreAsBefore) {
  asio::io_context io;
  RecordingPeer state(io);
  state.set_route(answer_user_api);
  store::StoreClient client(io, state.endpoint(), {1000, 1000}, 1);
  store::JobReplica replica(io, client, {[](const core::JobRecord&) {}, [](const core::JobId&) {}});
  const std::vector<core::MachineType> types{
      {"small", {8, 0, 32}, 20, 0.6, 0.4, 0.1, Seconds(8), {"z1"}}};
  const auto counts = [](const core::JobId& id) {
    return id == "req-7" ? core::JobCounts{1, 2} : core::JobCounts{0, 0};
  };
  api::UserApi users(io, client, replica,
                     {{{"team", 0, 40, 0, 0}},
                      {"z1"},
                      [&]() -> const std::vector<core::MachineType>& { return types; },
                      counts});
  const std::string jobs = "/v1/jobs";
  const std::string withdraw = "/withdraw";
  net::HttpServer front(io, fakes::any_port(), {},
                        [&](net::Request&& request, const net::Responder& respond) {
                          if (request.method == "POST" && request.target == jobs)
                            return users.submit(request, respond);
                          auto id = request.target.substr(jobs.size() + 1);
                          if (!id.ends_with(withdraw)) return users.poll(id, respond);
                          users.cancel(id.substr(0, id.size() - withdraw.size()), respond);
                        });
  replica.start();
  fakes::run_until(io, [&] { return replica.synced(); });
  for (int round = 0; round < 20; ++round) io.run_one_for(milliseconds(20));
  state.take_requests();
  net::HttpClient user(io, front.local_endpoint(), 1);
  for (const auto& item : cases_of("users.json")) {
    SCOPED_TRACE(text_at(item, "name"));
    const auto response =
        ask(io, user, {text_at(item, "method"), text_at(item, "target"), text_at(item, "body")});
    EXPECT_EQ(response.status, item.at("status").get<int>());
    EXPECT_EQ(response.body, text_at(item, "answer"));
    EXPECT_EQ(without_watches(state.take_requests()), item.at("sent_to_store"));
  }
}

/// One controller on loopback with a state service, a cloud and agents.
class OneController {
 public:
  OneController() : state_(io_), cloud_(io_, {}), public_address_(free_address()) {
    cloud_.set_nodes({{"n-0", public_address_}});
    config::Settings settings;
    settings.member = "n-0";
    settings.zone = "z1";
    settings.public_address = public_address_;
    settings.peer_address = free_address();
    settings.cloud_address = cloud_.address();
    settings.state_address = state_.address();
    settings.zones = {"z1"};
    settings.clock_skew = milliseconds(5);
    settings.teams = {{"team", 0, 40, 0, 0}};
    settings.workers.lease = Seconds(24);
    settings.workers.cancel = Seconds(54);
    settings.state_requests_per_s = 500;
    settings.state_writes_per_s = 200;
    settings.cloud_requests_per_s = 20;
    settings.max_sockets = 500;
    config::OperatorSettings operators;
    operators.tuning.commit_starts = true;
    config::HistorySettings history;
    history.location = config::HistoryLocation::state_service;
    history.log.snapshot_interval = Seconds(1);
    node_ = std::make_unique<Node>(io_, settings, operators, history);
    user_ = std::make_unique<net::HttpClient>(io_, net::parse_endpoint(public_address_), 1);
  }

  /// Repeats the request until `accepted` says so.
  void ask_until(const net::Request& request,
                 const std::function<bool(const net::Response&)>& accepted) {
    for (int attempt = 0; attempt < 600; ++attempt) {
      if (accepted(ask(io_, *user_, request))) return;
      run_for(milliseconds(50));
    }
    ADD_FAILURE() << request.target << " never got the answer";
  }
  void submit(const std::string& id, const char* shape) {
    ask_until({"POST", "/v1/jobs", submission(id, shape, 3).dump()},
              [](const net::Response& response) { return response.status == 201; });
  }
  void wait_done(const std::string& id) {
    ask_until({"GET", "/v1/jobs/" + id, ""}, [](const net::Response& response) {
      return response.status == 200 && Json::parse(response.body).at("status") == "done";
    });
  }
  void run_for(milliseconds time) {
    asio::steady_timer pause(io_, time);
    bool over = false;
    pause.async_wait([&](const asio::error_code&) { over = true; });
    while (!over) io_.run_one();
  }
  /// The first value that was written under each key.
  std::map<std::string, Json> first_values() {
    net::HttpClient client(io_, net::parse_endpoint(state_.address()), 1);
    const auto response = ask(io_, client, {"GET", "/changes?prefix=&since=0&block_ms=0", ""});
    std::map<std::string, Json> out;
    const auto body = Json::parse(response.body);
    for (const auto& change : body.at("news"))
      if (change.contains("write")) out.emplace(text_at(change, "write"), change.at("v"));
    return out;
  }

 private:
  std::string free_address() {
    asio::ip::tcp::acceptor taken(io_, fakes::any_port());
    return net::text_of(taken.local_endpoint());
  }

  asio::io_context io_;
  fakes::StateService state_;
  fakes::Cloud cloud_;
  std::string public_address_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<net::HttpClient> user_;
};

TEST(GoldenController, KeysAndValuesInTheStateServiceAreAsBefore) {
  const auto expected = read_json("controller_keys.json");
  OneController controller;
  controller.submit("req-1", "array");
  controller.wait_done("req-1");
  controller.submit("req-5", "gang");
  controller.wait_done("req-5");
  controller.submit("req-91", "service");
  controller.ask_until({"GET", "/v1/jobs/req-91", ""}, [](const net::Response& response) {
    return response.status == 200 && Json::parse(response.body).value("running", 0) == 3;
  });
  controller.ask_until({"POST", "/v1/jobs/req-91/withdraw", ""},
                       [](const net::Response& response) { return response.status == 200; });
  controller.run_for(std::chrono::seconds(2));
  const auto values = controller.first_values();

  std::set<std::string> prefixes;
  for (const auto& [key, value] : values)
    prefixes.insert(key.substr(0, key.find('/') + 1 == 0 ? key.size() : key.find('/') + 1));
  EXPECT_EQ(Json(prefixes), expected.at("prefixes"));
  // The port and the revisions are the run's own.
  for (const auto& [key, text] : expected.at("values").items()) {
    ASSERT_TRUE(values.contains(key)) << key;
    auto value = values.at(key);
    if (key == "leader") {
      value["hold"] = 0;
      value["mesh"] = "<peer address>";
    }
    if (key == "placements-marked") value["token"] = 0;
    EXPECT_EQ(value.dump(), text.get<std::string>()) << key;
  }
}

}  // namespace
}  // namespace violetpulley::golden
