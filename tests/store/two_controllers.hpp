/// @file
/// Test fixture: two controllers without machines and cloud, connected to a fake state service on
/// loopback.
#pragma once

#include <set>

#include "api/user_api.hpp"
#include "store/election.hpp"
#include "store/job_record_codec.hpp"
#include "store/read_barrier_loop.hpp"
#include "support/fake_state_service.hpp"

namespace violetpulley::store {

/// Times short enough that a run takes seconds. They satisfy the same inequality as the defaults.
inline core::AgentTimes short_times() {
  core::AgentTimes times;
  times.heartbeat_interval = core::Seconds(0.1);
  times.lease = core::Seconds(1);
  times.cancel = core::Seconds(3.5);
  return times;
}

/// The components of a Node that lead and serve users, without machines and cloud.
struct TestController {
  TestController(asio::io_context& io, fakes::StateService& state, const std::string& name,
                 int seed)
      : io(io),
        endpoint(state.add_endpoint()),
        store(io, net::parse_endpoint(state.address(endpoint)), {1000, 1000},
              static_cast<std::uint64_t>(seed)),
        leadership(short_times(), std::chrono::milliseconds(25)),
        job_replica(
            io, store,
            {[](const core::JobRecord&) {}, [this](const core::JobId& id) { closed.insert(id); }}),
        user_api(io, store, job_replica,
                 {{},
                  {},
                  [this]() -> const std::vector<core::MachineType>& { return types; },
                  [](const core::JobId&) { return core::JobCounts{}; }}),
        election(io, store, leadership, name, name + ":1",
                 {[this] { won(); }, [this](const std::string&) { lost(); }, [] {}},
                 static_cast<std::uint64_t>(seed) + 1),
        server(io, fakes::any_port(), {},
               [this](net::Request&& request, const net::Responder& respond) {
                 const auto id = request.target.substr(1);
                 if (request.method == "GET") return user_api.poll(id, respond);
                 if (request.method == "PUT") return user_api.submit(request, respond);
                 user_api.cancel(id, respond);
               }),
        user_client(io, server.local_endpoint(), 64) {
    job_replica.start();
    election.start();
  }

  void won() {
    ready = false;
    read_barriers = std::make_unique<ReadBarrierLoop>(io, leadership, job_replica);
    read_jobs();
  }
  // Reads the jobs as a new leader does: again until the replica is complete up to the leader key.
  void read_jobs() {
    read_barriers->request_barrier([this](bool fresh) {
      if (!fresh || job_replica.applied_revision() < leadership.token()) {
        asio::post(io, [this, token = leadership.token()] {
          if (read_barriers && leadership.token() == token) read_jobs();
        });
        return;
      }
      ready = true;
      read_barriers->run();
    });
  }
  void lost() {
    ready = false;
    asio::post(
        io, [former_read_barriers = std::shared_ptr<ReadBarrierLoop>(std::move(read_barriers))] {});
  }
  /// Cancels the job as a user; `answered` gets true if the cancellation is confirmed.
  void cancel(const core::JobId& id, std::function<void(bool)> answered) {
    user_client.request(
        {"POST", "/" + id, ""}, std::chrono::seconds(5),
        [answered = std::move(answered)](const std::optional<net::Response>& response) {
          answered(response && response->status == 200);
        });
  }
  bool serves() const { return ready && leadership.may_serve(core::Clock::now()); }

  asio::io_context& io;
  std::size_t endpoint;
  std::vector<core::MachineType> types;
  StoreClient store;
  core::Leadership leadership;
  std::set<core::JobId> closed;  // jobs reported as closed to the core
  JobReplica job_replica;
  api::UserApi user_api;
  std::unique_ptr<ReadBarrierLoop> read_barriers;
  bool ready = false;
  Election election;
  net::HttpServer server;
  net::HttpClient user_client;
};

/// Two controllers and the state service that they share.
struct Deployment {
  explicit Deployment(asio::io_context& io, int seed)
      : state(io), a(io, state, "n-0", seed * 10 + 1), b(io, state, "n-1", seed * 10 + 5) {}
  TestController* leader() {
    return a.leadership.leading() ? &a : b.leadership.leading() ? &b : nullptr;
  }
  TestController& other(const TestController& controller) { return &controller == &a ? b : a; }

  fakes::StateService state;
  TestController a;
  TestController b;
};

/// Submits a job of one task; `done` gets whether the submission was accepted.
inline void submit(StoreClient& store, const core::JobId& id, std::function<void(bool)> done = {}) {
  core::JobRecord record;
  record.spec.id = id;
  record.spec.job_class = "c";
  record.spec.team = "t";
  record.spec.tasks = 1;
  record.spec.per_task = {1, 0, 1};
  record.spec.image = "i";
  record.spec.image_gb = 1;
  store.commit({{{kJobPrefix + id, 0}, {kEndPrefix + id, 0}},
                {{kJobPrefix + id, encode_job_record(record), std::nullopt}}},
               RequestPriority::safety, [done = std::move(done)](const TransactionResult& result) {
                 if (done) done(result.outcome == Outcome::ok);
               });
}

}  // namespace violetpulley::store
