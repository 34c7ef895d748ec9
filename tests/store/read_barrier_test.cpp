/// @file
/// Leading is not the same as being fresh (docs/safety.md, "Serving limit"): the real election, job
/// replica, watch and read barriers of several controllers against a fake state service that
/// refuses one of them alone and then all, while another controller confirms cancellations. What is
/// asserted about time follows from times that the parts themselves have read, so a slow machine
/// changes no verdict.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "api/user_api.hpp"
#include "codec/job_codec.hpp"
#include "store/election.hpp"
#include "store/job_record_codec.hpp"
#include "store/read_barrier_loop.hpp"
#include "support/fake_services.hpp"

namespace violetpulley::store {
namespace {

using core::Clock;
using core::JobId;
using core::Seconds;
using core::TimePoint;
using std::chrono::milliseconds;

// Short, so that a run takes seconds; the inequality between the times is the same.
core::WorkerTimes short_times() {
  core::WorkerTimes times;
  times.heartbeat_interval = Seconds(0.1);
  times.lease = Seconds(1);
  times.cancel = Seconds(3.5);
  return times;
}

/// The parts that Node joins, without machines and cloud.
struct Controller {
  Controller(asio::io_context& io, fakes::StateService& state, const std::string& name, int seed)
      : io(io),
        endpoint(state.add_endpoint()),
        store(io, net::parse_endpoint(state.address(endpoint)), {1000, 1000},
              static_cast<std::uint64_t>(seed)),
        leadership(short_times(), milliseconds(25)),
        job_replica(
            io, store,
            {[](const core::JobRecord&) {}, [this](const JobId& id) { closed.insert(id); }}),
        users(io, store, job_replica,
              {{},
               {},
               [this]() -> const std::vector<core::MachineType>& { return types; },
               [](const JobId&) { return core::JobCounts{}; }}),
        election(io, store, leadership, name, name + ":1",
                 {[this] { won(); }, [this](const std::string&) { lost(); }, [] {}},
                 static_cast<std::uint64_t>(seed) + 1),
        server(io, fakes::any_port(), {},
               [this](net::Request&& request, const net::Responder& respond) {
                 const auto id = request.target.substr(1);
                 if (request.method == "GET") return users.poll(id, respond);
                 if (request.method == "PUT") return users.submit(request, respond);
                 users.cancel(id, respond);
               }),
        user(io, server.local_endpoint(), 64) {
    job_replica.start();
    election.start();
  }

  void won() {
    ready = false;
    read_barriers = std::make_unique<ReadBarrierLoop>(io, leadership, job_replica);
    read_jobs();
  }
  // As a new leader reads its jobs: complete up to the leader key, or once more.
  void read_jobs() {
    read_barriers->ask([this](bool fresh) {
      if (!fresh || job_replica.revision() < leadership.token()) {
        asio::post(io, [this, token = leadership.token()] {
          if (read_barriers && leadership.token() == token) read_jobs();
        });
        return;
      }
      ready = true;
      read_barriers->keep();
    });
  }
  void lost() {
    ready = false;
    asio::post(io, [old = std::shared_ptr<ReadBarrierLoop>(std::move(read_barriers))] {});
  }
  /// Calls back with true when the user has got the answer that the job is cancelled.
  void cancel(const JobId& id, std::function<void(bool)> answered) {
    user.request({"POST", "/" + id, ""}, std::chrono::seconds(5),
                 [answered = std::move(answered)](const std::optional<net::Response>& response) {
                   answered(response && response->status == 200);
                 });
  }
  bool serves() const { return ready && leadership.may_serve(Clock::now()); }

  asio::io_context& io;
  std::size_t endpoint;
  std::vector<core::MachineType> types;
  StoreClient store;
  core::Leadership leadership;
  std::set<JobId> closed;  // as reported to the core
  JobReplica job_replica;
  api::UserApi users;
  std::unique_ptr<ReadBarrierLoop> read_barriers;
  bool ready = false;
  Election election;
  net::HttpServer server;
  net::HttpClient user;
};

/// Two controllers and their state service.
struct Deployment {
  explicit Deployment(asio::io_context& io, int seed)
      : state(io), a(io, state, "n-0", seed * 10 + 1), b(io, state, "n-1", seed * 10 + 5) {}
  Controller* leader() {
    return a.leadership.leading() ? &a : b.leadership.leading() ? &b : nullptr;
  }
  Controller& other(const Controller& controller) { return &controller == &a ? b : a; }

  fakes::StateService state;
  Controller a;
  Controller b;
};

void submit(StoreClient& store, const JobId& id, std::function<void(bool)> done = {}) {
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

class ReadBarrierTest : public ::testing::Test {
 protected:
  void until(const std::function<bool()>& done) { fakes::run_until(io_, done); }
  Controller& lead() {
    until([&] { return deployment_.leader() != nullptr && deployment_.leader()->serves(); });
    return *deployment_.leader();
  }
  void job(const JobId& id) {
    submit(client_, id);
    until([&] {
      return deployment_.a.job_replica.find(id) != nullptr &&
             deployment_.b.job_replica.find(id) != nullptr;
    });
  }
  /// Returns when the user got the answer.
  TimePoint cancel(Controller& at, const JobId& id) {
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

TEST_F(ReadBarrierTest, ARenewedKeyAloneProvesNothingAboutCancellations) {
  auto& leader = lead();
  job("req-1");
  deployment_.state.refuse(leader.endpoint, true);
  const auto confirmed = cancel(deployment_.other(leader), "req-1");
  // The outage begins before the lease has expired; the key outlives the outage, and the watch is
  // silent.
  deployment_.state.outage(true);
  deployment_.state.refuse(leader.endpoint, false);
  deployment_.state.outage(false);
  bool renewed = false;
  leader.election.prove([&](bool proven) { renewed = proven; });
  until([&] {
    if (leader.leadership.fresh_until() > confirmed) {
      EXPECT_TRUE(leader.closed.contains("req-1"));
    }
    return renewed;
  });
  ASSERT_GT(leader.leadership.last_proven(), confirmed);
  // Until the barrier is applied the key alone does not let the leader serve.
  if (!leader.closed.contains("req-1")) {
    EXPECT_LT(*leader.leadership.fresh_until(), confirmed);
    EXPECT_FALSE(leader.leadership.may_serve(confirmed +
                                             core::to_duration(leader.leadership.serving_time())));
  }
  until([&] { return leader.leadership.fresh_until() > confirmed; });
  EXPECT_TRUE(leader.closed.contains("req-1"));
}

TEST_F(ReadBarrierTest, FreshnessIsCountedFromTheSendingAndOnlyAfterTheAnswerWasApplied) {
  auto& leader = lead();
  job("req-1");
  deployment_.state.answer_late(leader.endpoint, milliseconds(300));
  // The barrier that is under way may be older than the cancellation; the next barrier is not.
  cancel(deployment_.other(leader), "req-1");
  const auto asked = Clock::now();
  bool fresh = false;
  bool known = false;
  ReadBarrierLoop read_barriers(io_, leader.leadership, leader.job_replica);
  read_barriers.ask([&](bool ok) {
    fresh = ok;
    known = leader.closed.contains("req-1");
    EXPECT_LT(*leader.leadership.fresh_until(), asked + milliseconds(300))
        << "counted from its answer";
  });
  until([&] { return fresh; });
  EXPECT_TRUE(known);
}

TEST_F(ReadBarrierTest, ARevisionThatGoesBackwardIsNoAnswer) {
  auto& leader = lead();
  job("req-1");
  deployment_.state.go_backward(1);
  const auto since = Clock::now();
  std::optional<bool> fresh;
  leader.job_replica.barrier(RequestPriority::safety, [&](bool ok) { fresh = ok; });
  until([&] { return fresh.has_value(); });
  EXPECT_FALSE(*fresh);
  EXPECT_LT(*leader.leadership.fresh_until(), since);
  deployment_.state.go_backward(0);
  until([&] { return leader.leadership.fresh_until() > since; });
}

// The state service is slow: a list that was read before a job ended arrives after a barrier that
// reported the end.
TEST_F(ReadBarrierTest, AListThatABarrierHasOvertakenOpensNothing) {
  auto& leader = lead();
  job("req-1");
  JobReplica replica(io_, client_, {[](const core::JobRecord&) {}, [](const JobId&) {}});
  replica.start();
  until([&] { return replica.find("req-1") != nullptr; });
  // The replica reads everything anew, as after a watch that failed.
  deployment_.state.hold_lists(true);
  replica.start();
  until([&] { return deployment_.state.lists_held() > 0; });
  cancel(leader, "req-1");
  std::optional<bool> fresh;
  replica.barrier(RequestPriority::safety, [&](bool ok) { fresh = ok; });
  until([&] { return fresh.has_value(); });
  ASSERT_TRUE(*fresh);
  ASSERT_EQ(replica.find("req-1"), nullptr);
  deployment_.state.hold_lists(false);
  submit(client_, "req-2");
  until([&] { return replica.find("req-2") != nullptr; });
  EXPECT_EQ(replica.find("req-1"), nullptr) << "a job that has ended is open again";
}

// A submission and a cancellation get no answer, are repeated, and the first ones are executed
// after everything else.
TEST_F(ReadBarrierTest, ATransactionExecutedLateChangesNothingThatCameAfter) {
  auto& leader = lead();
  const auto endpoint = deployment_.state.add_endpoint();
  StoreClient late(io_, net::parse_endpoint(deployment_.state.address(endpoint)), {1000, 1000}, 9);
  deployment_.state.execute_late(endpoint, milliseconds(1800));
  std::optional<bool> taken;
  submit(late, "req-1", [&](bool ok) { taken = ok; });
  job("req-1");
  const auto* record = leader.job_replica.find("req-1");
  ASSERT_NE(record, nullptr);
  std::optional<Outcome> ended;  // as the leader ends a job; its user cancels it meanwhile
  late.commit({{{kJobPrefix + std::string("req-1"), record->revision},
                {kEndPrefix + std::string("req-1"), 0},
                {"leader", leader.leadership.token()}},
               {{kJobPrefix + std::string("req-1"), std::nullopt, std::nullopt},
                {kEndPrefix + std::string("req-1"), Json{{"state", "done"}}, std::nullopt}}},
              RequestPriority::safety,
              [&](const TransactionResult& result) { ended = result.outcome; });
  cancel(deployment_.other(leader), "req-1");
  until([&] { return deployment_.state.executed_late() == 2; });
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

// A job's last task ends while its user cancels the job, asks for its status and repeats its
// submission, at two controllers, in every order of the four. One transaction decides; every later
// answer reports that decision, and once an answer has reported the end, no answer reports an older
// state.
TEST_F(ReadBarrierTest, AnEndConcurrentWithACancellationAPollAndARepeatInEveryOrder) {
  auto& leader = lead();
  auto& other = deployment_.other(leader);
  for (auto* controller : {&leader, &other})
    controller->types = {{"bench", {16, 0, 128}, 60, 0.5, 1.1, 0.39, Seconds(30), {"a"}}};
  for (int i = 101; i < 148; ++i) submit(client_, "req-" + std::to_string(i));
  job("req-148");
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
      std::function<void(Controller&, const char*, const std::string&)> ask;
      ask = [&](Controller& at, const char* method, const std::string& body) {
        ++open_requests;
        at.user.request(
            {method, "/" + id, body}, std::chrono::seconds(5),
            [&, method, body, sent = Clock::now()](const std::optional<net::Response>& response) {
              --open_requests;
              ASSERT_TRUE(response) << id;
              if (response->status == 503) return ask(at, method, body);  // as users do
              ASSERT_EQ(response->status, 200) << id;
              const auto status = Json::parse(response->body).at("status").get<std::string>();
              if (status != "done" && status != "withdrawn") {
                EXPECT_FALSE(end_reported && sent >= *end_reported)
                    << id << " was told its end before";
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
                                leader.job_replica.note_closed(id, result.revision);
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
      ASSERT_EQ(final_states.size(), 1U) << id << ": one end, whoever is asked";
      ++ends[*final_states.begin()];
    }
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_EQ(ends["done"] + ends["withdrawn"], 48);
  EXPECT_GT(ends["done"], 0);
  EXPECT_GT(ends["withdrawn"], 0);
}

/// A deployment with modelled machines whose leases the leader renews, under random faults of the
/// state service: refusals of the leader alone, outages soon after, several in a row, slow answers,
/// and cancellations at any time. Measures for each cancelled task the time from the confirmation
/// of the cancellation to the end of the task.
class RandomOutages {
 public:
  RandomOutages(asio::io_context& io, std::uint64_t seed)
      : io_(io),
        random_(seed),
        deployment_(io, static_cast<int>(seed)),
        client_(io, net::parse_endpoint(deployment_.state.address()), {1000, 1000}, seed),
        timer_(io),
        fault_timer_(io) {
    machines_.resize(3);
    for (auto& machine : machines_) machine.answered = Clock::now();
    tick();
    next_fault(milliseconds(1500));
  }
  Seconds longest() const { return longest_; }
  std::size_t cancelled() const { return confirmed_.size(); }
  std::size_t heartbeats_refused_while_stale() const { return refused_while_stale_; }

 private:
  struct Machine {
    TimePoint answered{};  // sending of the last heartbeat that was answered
    std::map<JobId, TimePoint> tasks;
    TimePoint partitioned_until{};  // heartbeats sent before are lost
  };
  double between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  milliseconds ms(double low, double high) {
    return milliseconds(static_cast<long>(between(low, high) * 1000));
  }
  void later(asio::steady_timer& timer, milliseconds wait, std::function<void()> what) {
    timer.expires_after(wait);
    timer.async_wait([what = std::move(what)](const asio::error_code& error) {
      if (!error) what();
    });
  }

  // The leader alone is refused, then all; both end in either order; the next fault begins soon.
  void next_fault(milliseconds wait) {
    later(fault_timer_, wait, [this] {
      auto* leader = deployment_.leader();
      if (leader == nullptr) return next_fault(milliseconds(100));
      refused_ = leader->endpoint;
      deployment_.state.answer_late(refused_, between(0, 1) < 0.5 ? ms(0.3, 1.2) : milliseconds(0));
      later(fault_timer_, ms(0, 1), [this] {
        deployment_.state.refuse(refused_, true);
        later(fault_timer_, ms(0.1, 2.6), [this] {
          // Sometimes the refusal ends for a moment in which the key can be renewed.
          if (between(0, 1) < 0.4) deployment_.state.refuse(refused_, false);
          later(fault_timer_, ms(0, 0.9), [this] {
            deployment_.state.outage(true);
            deployment_.state.refuse(refused_, false);
            deployment_.state.answer_late(refused_, milliseconds(0));
            later(fault_timer_, ms(0.2, 5), [this] {
              deployment_.state.outage(false);
              next_fault(ms(0, 2));
            });
          });
        });
      });
    });
  }

  void tick() {
    later(timer_, milliseconds(20), [this] {
      act_as_users();
      for (auto& machine : machines_) heartbeat(machine);
      tick();
    });
  }

  void act_as_users() {
    if (between(0, 1) < 0.15) {
      const auto id = "req-" + std::to_string(++jobs_);
      submit(client_, id);
    }
    auto* leader = deployment_.leader();
    auto& confirming = leader == nullptr ? deployment_.a : deployment_.other(*leader);
    const auto open = open_jobs(confirming);
    if (open.empty() || between(0, 1) > 0.2) return;
    const auto id = open[static_cast<std::size_t>(between(0, static_cast<double>(open.size())))];
    confirming.cancel(id, [this, id](bool cancelled) {
      if (cancelled) confirmed_.try_emplace(id, Clock::now());
    });
  }
  std::vector<JobId> open_jobs(const Controller& at) const {
    std::vector<JobId> ids;
    for (const auto& [id, record] : at.job_replica.jobs()) ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  void task_ended(const JobId& id, TimePoint when) {
    const auto confirmed = confirmed_.find(id);
    if (confirmed == confirmed_.end()) return;
    const Seconds took = when - confirmed->second;
    longest_ = std::max(longest_, took);
    EXPECT_LE(took.count(), short_times().cancel.count()) << "ran_cancelled " << id;
  }

  void heartbeat(Machine& machine) {
    const auto now = Clock::now();
    const auto lease = core::to_duration(short_times().lease);
    if (now - machine.answered > lease) {
      for (const auto& [id, since] : machine.tasks) task_ended(id, machine.answered + lease);
      machine.tasks.clear();
      machine.answered = now;  // the next agent epoch has begun
    }
    if (between(0, 1) < 0.002) machine.partitioned_until = now + ms(0.2, 2);
    auto* leader = deployment_.leader();
    if (leader == nullptr || now < machine.partitioned_until) return;
    // The heartbeat was sent a moment ago.
    const auto sent = std::max(machine.answered, now - milliseconds(20));
    if (!leader->serves()) {
      if (leader->leadership.last_proven() > leader->leadership.fresh_until())
        ++refused_while_stale_;
      return;
    }
    machine.answered = sent;
    for (auto task = machine.tasks.begin(); task != machine.tasks.end();) {
      if (leader->job_replica.find(task->first) != nullptr) {
        ++task;
        continue;
      }
      task_ended(task->first, now);
      task = machine.tasks.erase(task);
    }
    for (const auto& id : open_jobs(*leader)) {
      if (machine.tasks.size() >= 4) break;
      if (machine.tasks.try_emplace(id, now).second)
        task_ended(id, now);  // nor may a cancelled task start later
    }
  }

  asio::io_context& io_;
  std::mt19937_64 random_;
  Deployment deployment_;
  StoreClient client_;
  asio::steady_timer timer_;
  asio::steady_timer fault_timer_;
  std::vector<Machine> machines_;
  std::map<JobId, TimePoint> confirmed_;
  std::size_t refused_ = 0;
  std::size_t refused_while_stale_ = 0;
  int jobs_ = 0;
  Seconds longest_{0};
};

// More deployments: VIOLETPULLEY_EXTRA_SEEDS=100.
TEST(ReadBarrierOutages, CancelledTasksEndInTimeWhicheverControllerConfirmed) {
  const char* extra = std::getenv("VIOLETPULLEY_EXTRA_SEEDS");
  const int count = 12 + (extra == nullptr ? 0 : std::atoi(extra));
  asio::io_context io;
  std::vector<std::unique_ptr<RandomOutages>> deployments;
  for (int i = 0; i < count; ++i)
    deployments.push_back(
        std::make_unique<RandomOutages>(io, 9000 + static_cast<std::uint64_t>(i)));
  asio::steady_timer end(io, std::chrono::seconds(20));
  bool over = false;
  end.async_wait([&](const asio::error_code&) { over = true; });
  while (!over) io.run_one();
  Seconds longest{0};
  std::size_t cancelled = 0;
  std::size_t refused_while_stale = 0;
  for (const auto& deployment : deployments) {
    longest = std::max(longest, deployment->longest());
    cancelled += deployment->cancelled();
    refused_while_stale += deployment->heartbeats_refused_while_stale();
  }
  std::cout << count << " deployments, " << cancelled
            << " jobs cancelled, from the confirmation to "
            << "the end at most " << longest.count() << " of " << short_times().cancel.count()
            << " s; heartbeats not answered for a stale replica though the key was ours: "
            << refused_while_stale << "\n";
  EXPECT_GT(cancelled, 0U);
}

}  // namespace
}  // namespace violetpulley::store
