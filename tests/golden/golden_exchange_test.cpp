/// @file
/// Tests that the wire formats have not changed: the clients of the store and of the cloud, the
/// user API and a complete controller send the same bytes, and parse responses to the same values,
/// as the program that wrote the golden files before December 2026.
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

using ResultHandler = std::function<void(Json result)>;

/// Runs each case of a golden file against a peer that gives the recorded responses. Compares the
/// requests sent and the values parsed from the responses with those of the file.
void check_exchanges(const std::string& file, asio::io_context& io, RecordingPeer& peer,
                     const std::function<void(const Json&, const ResultHandler&)>& run_case) {
  for (const auto& item : cases_of(file)) {
    SCOPED_TRACE(text_field(item, "name"));
    peer.set_responses(item.at("answers"));
    bool finished = false;
    Json result;
    run_case(item, [&](Json parsed) {
      result = std::move(parsed);
      finished = true;
    });
    const auto expected_requests = item.at("sent").size();
    fakes::run_until(io, [&] { return finished && peer.requests().size() >= expected_requests; });
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
        {text_field(condition, "key"), condition.at("revision").get<store::Revision>()});
  for (const auto& item : request.at("writes")) {
    store::Write write{text_field(item, "key"), item.at("value"), std::nullopt};
    if (item.at("value") == "<delete>") write.value.reset();
    if (!item.at("lease").is_null()) write.lease = item.at("lease").get<std::uint64_t>();
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

void run_store_request(store::StoreClient& client, const Json& item,
                       const ResultHandler& on_result) {
  using store::RequestPriority;
  const auto operation = text_field(item, "operation");
  const auto& request = item.at("request");
  const auto report_outcome = [on_result](store::Outcome outcome) {
    on_result({{"outcome", static_cast<int>(outcome)}});
  };
  if (operation == "get") {
    client.get(text_field(request, "key"), RequestPriority::safety,
               [on_result](const store::GetResult& result) {
                 on_result({{"outcome", static_cast<int>(result.outcome)},
                            {"item", json_of(result.item)}});
               });
  } else if (operation == "list") {
    client.list(text_field(request, "prefix"), RequestPriority::safety,
                [on_result](const store::ListResult& result) { on_result(json_of(result)); });
  } else if (operation == "changes") {
    client.changes(text_field(request, "prefix"), request.at("since").get<store::Revision>(),
                   milliseconds(request.at("block_ms").get<int>()), RequestPriority::safety,
                   [on_result](const store::ChangesResult& result) { on_result(json_of(result)); });
  } else if (operation == "commit") {
    client.commit(transaction_of(request), RequestPriority::safety,
                  [on_result](const store::TransactionResult& result) {
                    on_result({{"outcome", static_cast<int>(result.outcome)},
                               {"revision", result.revision},
                               {"failed", result.failed_conditions}});
                  });
  } else if (operation == "create_lease") {
    client.create_lease(
        milliseconds(request.at("ttl_ms").get<int>()),
        [on_result](const store::LeaseResult& result) {
          on_result({{"outcome", static_cast<int>(result.outcome)}, {"lease", result.lease}});
        });
  } else if (operation == "extend_lease") {
    client.extend_lease(request.at("lease").get<std::uint64_t>(), report_outcome);
  } else {
    ASSERT_EQ(operation, "revoke_lease");
    client.revoke_lease(request.at("lease").get<std::uint64_t>());
    on_result(nullptr);
  }
}

TEST(GoldenStore, RequestsAndParsedResponsesMatchTheGoldenFile) {
  asio::io_context io;
  RecordingPeer peer(io);
  store::StoreClient client(io, peer.endpoint(), {1000, 1000}, 1);
  check_exchanges("store.json", io, peer, [&](const Json& item, const ResultHandler& on_result) {
    run_store_request(client, item, on_result);
  });
}

void run_cloud_request(cloud::CloudClient& client, const Json& item,
                       const ResultHandler& on_result) {
  const auto operation = text_field(item, "operation");
  if (operation == "catalog") {
    client.catalog([on_result](const std::optional<cloud::CloudClient::Catalog>& catalog) {
      on_result(catalog ? Json{{"types", pack_to_hex(catalog->types)}, {"body", catalog->body}}
                        : Json());
    });
  } else if (operation == "request_machines") {
    client.request_machines(
        unpack_from_hex<core::ScaleOut>(item.at("request")),
        [on_result](const core::ScaleOutResult& result) { on_result(pack_to_hex(result)); });
  } else if (operation == "release") {
    client.release(item.at("request").get<std::vector<core::MachineId>>(),
                   [on_result](bool accepted) { on_result(accepted); });
  } else {
    ASSERT_EQ(operation, "list");
    client.list([on_result](const std::optional<std::vector<core::ListedMachine>>& machines) {
      on_result(machines ? Json(pack_to_hex(*machines)) : Json());
    });
  }
}

TEST(GoldenCloud, RequestsAndParsedResponsesMatchTheGoldenFile) {
  asio::io_context io;
  RecordingPeer peer(io);
  cloud::CloudClient client(io, peer.endpoint(), 1000);
  check_exchanges("cloud.json", io, peer, [&](const Json& item, const ResultHandler& on_result) {
    run_cloud_request(client, item, on_result);
  });
}

Json submission_body(const std::string& id, const char* shape, int tasks) {
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

/// The state service for the cases of users.json: it holds an open job and two ended ones. Reads or
/// transactions of some further jobs conflict or fail with 503.
std::optional<net::Response> respond_as_state_service(const net::Request& request) {
  const auto& target = request.target;
  if (target.starts_with("/store?")) {
    const Json record{{"job", submission_body("req-7", "array", 4)},
                      {"submitted_ms", 1764633600123}};
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

net::Response send_and_wait(asio::io_context& io, net::HttpClient& client, net::Request request) {
  std::optional<net::Response> response;
  bool answered = false;
  client.request(std::move(request), std::chrono::seconds(5), [&](auto received) {
    response = std::move(received);
    answered = true;
  });
  fakes::run_until(io, [&] { return answered; });
  return response.value_or(net::Response{0, "", {}});
}

/// The requests to the store except long polls for changes, which may be repeated at any time.
Json without_watch_requests(const Json& requests) {
  Json out = Json::array();
  for (const auto& request : requests)
    if (text_field(request, "target").find("block_ms=10000") == std::string::npos)
      out.push_back(request);
  return out;
}

TEST(GoldenUsers, ResponsesAndTransactionsMatchTheGoldenFile) {
  asio::io_context io;
  RecordingPeer state_service(io);
  state_service.set_handler(respond_as_state_service);
  store::StoreClient client(io, state_service.endpoint(), {1000, 1000}, 1);
  store::JobReplica replica(io, client, {[](const core::JobRecord&) {}, [](const core::JobId&) {}});
  const std::vector<core::MachineType> types{
      {"small", {8, 0, 32}, 20, 0.6, 0.4, 0.1, Seconds(8), {"z1"}}};
  const auto counts = [](const core::JobId& id) {
    return id == "req-7" ? core::JobCounts{1, 2} : core::JobCounts{0, 0};
  };
  api::UserApi user_api(io, client, replica,
                        {{{"team", 0, 40, 0, 0}},
                         {"z1"},
                         [&]() -> const std::vector<core::MachineType>& { return types; },
                         counts});
  const std::string jobs_path = "/v1/jobs";
  const std::string withdraw_suffix = "/withdraw";
  net::HttpServer user_server(
      io, fakes::any_port(), {}, [&](net::Request&& request, const net::Responder& respond) {
        if (request.method == "POST" && request.target == jobs_path)
          return user_api.submit(request, respond);
        auto id = request.target.substr(jobs_path.size() + 1);
        if (!id.ends_with(withdraw_suffix)) return user_api.poll(id, respond);
        user_api.cancel(id.substr(0, id.size() - withdraw_suffix.size()), respond);
      });
  replica.start();
  fakes::run_until(io, [&] { return replica.synced(); });
  for (int i = 0; i < 20; ++i) io.run_one_for(milliseconds(20));
  state_service.take_requests();
  net::HttpClient user_client(io, user_server.local_endpoint(), 1);
  for (const auto& item : cases_of("users.json")) {
    SCOPED_TRACE(text_field(item, "name"));
    const auto response = send_and_wait(
        io, user_client,
        {text_field(item, "method"), text_field(item, "target"), text_field(item, "body")});
    EXPECT_EQ(response.status, item.at("status").get<int>());
    EXPECT_EQ(response.body, text_field(item, "answer"));
    EXPECT_EQ(without_watch_requests(state_service.take_requests()), item.at("sent_to_store"));
  }
}

/// A complete controller on loopback with the fakes of the state service, the cloud and its agents.
class ControllerWithFakes {
 public:
  ControllerWithFakes() : state_(io_), cloud_(io_, {}), public_address_(free_address()) {
    cloud_.set_node_addresses({{"n-0", public_address_}});
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
    user_client_ = std::make_unique<net::HttpClient>(io_, net::parse_endpoint(public_address_), 1);
  }

  /// Repeats the request until `accepted` returns true for the response; fails the test after 600
  /// attempts.
  void send_until(const net::Request& request,
                  const std::function<bool(const net::Response&)>& accepted) {
    for (int attempt = 0; attempt < 600; ++attempt) {
      if (accepted(send_and_wait(io_, *user_client_, request))) return;
      run_for(milliseconds(50));
    }
    ADD_FAILURE() << request.target << " never got an accepted answer in 600 attempts";
  }
  void submit(const std::string& id, const char* shape) {
    send_until({"POST", "/v1/jobs", submission_body(id, shape, 3).dump()},
               [](const net::Response& response) { return response.status == 201; });
  }
  void wait_until_done(const std::string& id) {
    send_until({"GET", "/v1/jobs/" + id, ""}, [](const net::Response& response) {
      return response.status == 200 && Json::parse(response.body).at("status") == "done";
    });
  }
  void run_for(milliseconds duration) {
    asio::steady_timer timer(io_, duration);
    bool expired = false;
    timer.async_wait([&](const asio::error_code&) { expired = true; });
    while (!expired) io_.run_one();
  }
  /// The value of the first write to each key.
  std::map<std::string, Json> first_written_values() {
    net::HttpClient client(io_, net::parse_endpoint(state_.address()), 1);
    const auto response =
        send_and_wait(io_, client, {"GET", "/changes?prefix=&since=0&block_ms=0", ""});
    std::map<std::string, Json> out;
    const auto body = Json::parse(response.body);
    for (const auto& change : body.at("news"))
      if (change.contains("write")) out.emplace(text_field(change, "write"), change.at("v"));
    return out;
  }

 private:
  std::string free_address() {
    asio::ip::tcp::acceptor acceptor(io_, fakes::any_port());
    return net::text_of(acceptor.local_endpoint());
  }

  asio::io_context io_;
  fakes::StateService state_;
  fakes::Cloud cloud_;
  std::string public_address_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<net::HttpClient> user_client_;
};

TEST(GoldenController, KeysAndValuesInTheStateServiceMatchTheGoldenFile) {
  const auto expected = read_json("controller_keys.json");
  ControllerWithFakes controller;
  controller.submit("req-1", "array");
  controller.wait_until_done("req-1");
  controller.submit("req-5", "gang");
  controller.wait_until_done("req-5");
  controller.submit("req-91", "service");
  controller.send_until({"GET", "/v1/jobs/req-91", ""}, [](const net::Response& response) {
    return response.status == 200 && Json::parse(response.body).value("running", 0) == 3;
  });
  controller.send_until({"POST", "/v1/jobs/req-91/withdraw", ""},
                        [](const net::Response& response) { return response.status == 200; });
  controller.run_for(std::chrono::seconds(2));
  const auto values = controller.first_written_values();

  std::set<std::string> prefixes;
  for (const auto& [key, value] : values)
    prefixes.insert(key.substr(0, key.find('/') + 1 == 0 ? key.size() : key.find('/') + 1));
  EXPECT_EQ(Json(prefixes), expected.at("prefixes"));
  // The port and the revisions differ from run to run and are masked.
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
