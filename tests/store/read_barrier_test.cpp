// Leading is not being informed (docs/safety.md): the shell's real election, mirror, watch and
// briefing of several controllers against a state service that refuses one of them alone and then
// everybody, while another one confirms cancellations. What is asserted about time follows from
// times that the parts themselves have read, so a slow machine changes no verdict.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>

#include "api/job_codec.hpp"
#include "api/user_api.hpp"
#include "store/election.hpp"
#include "store/read_barrier_loop.hpp"
#include "support/fake_services.hpp"

namespace violetpulley::store {
namespace {

using core::Clock;
using core::JobId;
using core::Seconds;
using core::TimePoint;
using std::chrono::milliseconds;

// Short, so that a world takes seconds; the sum is the same.
core::WorkerTimes short_times() {
  core::WorkerTimes times;
  times.heartbeat_interval = Seconds(0.1);
  times.lease = Seconds(1);
  times.cancel = Seconds(3.5);
  return times;
}

// One controller: what Node joins, without machines and cloud.
struct Controller {
  Controller(asio::io_context& io, standins::StateService& state, const std::string& name, int seed)
      : io(io),
        door(state.add_door()),
        store(io, net::parse_endpoint(state.address(door)), {1000, 1000},
              static_cast<std::uint64_t>(seed)),
        leadership(short_times(), milliseconds(25)),
        job_replica(io, store,
                    {[](const core::JobRecord&) {}, [this](const JobId& id) { shut(id); }}),
        users(io, store, job_replica,
              {{},
               {},
               [this]() -> const std::vector<core::MachineType>& { return types; },
               [](const JobId&) { return core::JobCounts{}; }}),
        election(io, store, leadership, name, name + ":1",
                 {[this] { won(); }, [this](const std::string&) { lost(); }, [] {}},
                 static_cast<std::uint64_t>(seed) + 1),
        server(io, standins::any_port(), {},
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
    take_over();
  }
  // As a new leader reads its jobs: whole up to the key, or once more.
  void take_over() {
    read_barriers->ask([this](bool fresh) {
      if (!fresh || job_replica.revision() < leadership.token()) {
        asio::post(io, [this, token = leadership.token()] {
          if (read_barriers && leadership.token() == token) take_over();
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
  void shut(const JobId& id) { closed.insert(id); }
  // Calls back with true when its user was told that it is cancelled.
  void cancel(const JobId& id, std::function<void(bool)> told) {
    user.request({"POST", "/" + id, ""}, std::chrono::seconds(5),
                 [told = std::move(told)](const std::optional<net::Response>& response) {
                   told(response && response->status == 200);
                 });
  }
  bool serves() const { return ready && leadership.may_serve(Clock::now()); }

  asio::io_context& io;
  std::size_t door;
  std::vector<core::MachineType> types;
  StoreClient store;
  core::Leadership leadership;
  std::set<JobId> closed;  // what has reached the core
  JobReplica job_replica;
  api::UserApi users;
  std::unique_ptr<ReadBarrierLoop> read_barriers;
  bool ready = false;
  Election election;
  net::HttpServer server;
  net::HttpClient user;
};

struct Deployment {
  explicit Deployment(asio::io_context& io, int seed)
      : state(io), a(io, state, "n-0", seed * 10 + 1), b(io, state, "n-1", seed * 10 + 5) {}
  Controller* leader() {
    return a.leadership.leading() ? &a : b.leadership.leading() ? &b : nullptr;
  }
  Controller& other(const Controller& one) { return &one == &a ? b : a; }

  standins::StateService state;
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
                {{kJobPrefix + id, api::record_to_json(record), std::nullopt}}},
               Urgency::safety, [done = std::move(done)](const TransactionResult& result) {
                 if (done) done(result.outcome == Outcome::ok);
               });
}

class Informed : public ::testing::Test {
 protected:
  void until(const std::function<bool()>& done) { standins::run_until(io_, done); }
  Controller& lead() {
    until([&] { return world_.leader() != nullptr && world_.leader()->serves(); });
    return *world_.leader();
  }
  void job(const JobId& id) {
    submit(client_, id);
    until([&] {
      return world_.a.job_replica.find(id) != nullptr && world_.b.job_replica.find(id) != nullptr;
    });
  }
  // When its user was told.
  TimePoint cancel(Controller& at, const JobId& id) {
    std::optional<TimePoint> told;
    at.cancel(id, [&](bool cancelled) {
      ASSERT_TRUE(cancelled);
      told = Clock::now();
    });
    until([&] { return told.has_value(); });
    return *told;
  }

  asio::io_context io_;
  Deployment world_{io_, 1};
  StoreClient client_{io_, net::parse_endpoint(world_.state.address()), {1000, 1000}, 3};
};

TEST_F(Informed, ARenewedKeyAloneSaysNothingOfCancellations) {
  auto& leader = lead();
  job("req-1");
  world_.state.refuse(leader.door, true);
  const auto told = cancel(world_.other(leader), "req-1");
  // The outage begins before the hold has run out; the key outlives it, and the watch is silent.
  world_.state.outage(true);
  world_.state.refuse(leader.door, false);
  world_.state.outage(false);
  bool renewed = false;
  leader.election.prove([&](bool ours) { renewed = ours; });
  until([&] {
    if (leader.leadership.fresh_until() > told) {
      EXPECT_TRUE(leader.closed.contains("req-1"));
    }
    return renewed;
  });
  ASSERT_GT(leader.leadership.last_proven(), told);
  // Before the barrier is applied nothing is served on the strength of the key.
  if (!leader.closed.contains("req-1")) {
    EXPECT_LT(*leader.leadership.fresh_until(), told);
    EXPECT_FALSE(
        leader.leadership.may_serve(told + core::to_duration(leader.leadership.serving_time())));
  }
  until([&] { return leader.leadership.fresh_until() > told; });
  EXPECT_TRUE(leader.closed.contains("req-1"));
}

TEST_F(Informed, IsCountedFromTheSendingAndAfterWhatItBroughtWasApplied) {
  auto& leader = lead();
  job("req-1");
  world_.state.answer_late(leader.door, milliseconds(300));
  // The barrier that is under way may be older than the cancellation; the next one is not.
  cancel(world_.other(leader), "req-1");
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

TEST_F(Informed, ARevisionThatGoesBackwardIsNoNews) {
  auto& leader = lead();
  job("req-1");
  world_.state.go_backward(1);
  const auto since = Clock::now();
  std::optional<bool> fresh;
  leader.job_replica.barrier(Urgency::safety, [&](bool ok) { fresh = ok; });
  until([&] { return fresh.has_value(); });
  EXPECT_FALSE(*fresh);
  EXPECT_LT(*leader.leadership.fresh_until(), since);
  world_.state.go_backward(0);
  until([&] { return leader.leadership.fresh_until() > since; });
}

// The state service is slow: a list that was read before a job ended comes after a barrier that
// told of the end.
TEST_F(Informed, AListThatABarrierHasOvertakenOpensNothing) {
  auto& leader = lead();
  job("req-1");
  JobReplica again(io_, client_, {[](const core::JobRecord&) {}, [](const JobId&) {}});
  again.start();
  until([&] { return again.find("req-1") != nullptr; });
  // It reads everything anew, as after a watch that failed.
  world_.state.keep_lists(true);
  again.start();
  until([&] { return world_.state.lists_kept() > 0; });
  cancel(leader, "req-1");
  std::optional<bool> fresh;
  again.barrier(Urgency::safety, [&](bool ok) { fresh = ok; });
  until([&] { return fresh.has_value(); });
  ASSERT_TRUE(*fresh);
  ASSERT_EQ(again.find("req-1"), nullptr);
  world_.state.keep_lists(false);
  submit(client_, "req-2");
  until([&] { return again.find("req-2") != nullptr; });
  EXPECT_EQ(again.find("req-1"), nullptr) << "a job that has ended is open again";
}

// A submission and a cancellation get no answer, are made again, and the first ones are carried out
// after everything else.
TEST_F(Informed, WhatIsCarriedOutLateChangesNothingThatCameAfter) {
  auto& leader = lead();
  const auto door = world_.state.add_door();
  StoreClient late(io_, net::parse_endpoint(world_.state.address(door)), {1000, 1000}, 9);
  world_.state.execute_late(door, milliseconds(1800));
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
              Urgency::safety, [&](const TransactionResult& result) { ended = result.outcome; });
  cancel(world_.other(leader), "req-1");
  until([&] { return world_.state.executed_late() == 2; });
  ASSERT_TRUE(taken && ended);
  EXPECT_FALSE(*taken);
  EXPECT_EQ(*ended, Outcome::unknown);
  std::optional<GetResult> job_key;
  std::optional<GetResult> end_key;
  client_.get("job/req-1", Urgency::safety, [&](const GetResult& result) { job_key = result; });
  client_.get("end/req-1", Urgency::safety, [&](const GetResult& result) { end_key = result; });
  until([&] { return job_key && end_key; });
  EXPECT_EQ(job_key->outcome, Outcome::not_found);
  EXPECT_EQ(end_key->item.value.value("state", ""), "withdrawn");
}

// A job's last task ends while its user cancels it, asks about it and repeats its submission, at
// two controllers, in every order of the four. One transaction decides; who loses tells what was
// decided, and once anybody was told the end, nobody is told anything older.
TEST_F(Informed, AnEndMeetsACancellationAQuestionAndARepeatInEveryOrder) {
  auto& leader = lead();
  auto& other = world_.other(leader);
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
      const auto repeat = api::job_to_json(record->spec).dump();
      const auto revision = record->revision;
      std::size_t open_requests = 0;
      std::optional<TimePoint> end_told;
      std::set<std::string> told;
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
                EXPECT_FALSE(end_told && sent >= *end_told) << id << " was told its end before";
                return;
              }
              told.insert(status);
              if (end_told) return;
              end_told = Clock::now();
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
                            Urgency::safety, [&](const TransactionResult& result) {
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
      ASSERT_EQ(told.size(), 1U) << id << ": one end, whoever is asked";
      ++ends[*told.begin()];
    }
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_EQ(ends["done"] + ends["withdrawn"], 48);
  EXPECT_GT(ends["done"], 0);
  EXPECT_GT(ends["withdrawn"], 0);
}

// Many worlds side by side: refusals of the leader alone, outages soon after, several in a row,
// slow answers, cancellations at each moment; machines whose leases the leader renews. For each
// cancelled task: from the confirmation to its being gone.
class Gap {
 public:
  Gap(asio::io_context& io, std::uint64_t seed)
      : io_(io),
        random_(seed),
        world_(io, static_cast<int>(seed)),
        client_(io, net::parse_endpoint(world_.state.address()), {1000, 1000}, seed),
        timer_(io),
        trouble_(io) {
    machines_.resize(3);
    for (auto& machine : machines_) machine.answered = Clock::now();
    tick();
    next_trouble(milliseconds(1500));
  }
  Seconds longest() const { return longest_; }
  std::size_t cancelled() const { return told_.size(); }
  std::size_t renewals_while_uninformed() const { return uninformed_; }

 private:
  struct Machine {
    TimePoint answered{};  // sending of the last report that was answered
    std::map<JobId, TimePoint> tasks;
    TimePoint hears_from{};  // what it is told before that is lost
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

  // Refused alone; then all; both end in either order; the next begins soon.
  void next_trouble(milliseconds wait) {
    later(trouble_, wait, [this] {
      auto* leader = world_.leader();
      if (leader == nullptr) return next_trouble(milliseconds(100));
      refused_ = leader->door;
      world_.state.answer_late(refused_, between(0, 1) < 0.5 ? ms(0.3, 1.2) : milliseconds(0));
      later(trouble_, ms(0, 1), [this] {
        world_.state.refuse(refused_, true);
        later(trouble_, ms(0.1, 2.6), [this] {
          // At times the refusal ends for a moment in which the key can be renewed.
          if (between(0, 1) < 0.4) world_.state.refuse(refused_, false);
          later(trouble_, ms(0, 0.9), [this] {
            world_.state.outage(true);
            world_.state.refuse(refused_, false);
            world_.state.answer_late(refused_, milliseconds(0));
            later(trouble_, ms(0.2, 5), [this] {
              world_.state.outage(false);
              next_trouble(ms(0, 2));
            });
          });
        });
      });
    });
  }

  void tick() {
    later(timer_, milliseconds(20), [this] {
      users();
      for (auto& machine : machines_) live(machine);
      tick();
    });
  }

  void users() {
    if (between(0, 1) < 0.15) {
      const auto id = "req-" + std::to_string(++jobs_);
      submit(client_, id);
    }
    auto* leader = world_.leader();
    auto& confirms = leader == nullptr ? world_.a : world_.other(*leader);
    const auto open = open_jobs(confirms);
    if (open.empty() || between(0, 1) > 0.2) return;
    const auto id = open[static_cast<std::size_t>(between(0, static_cast<double>(open.size())))];
    confirms.cancel(id, [this, id](bool cancelled) {
      if (cancelled) told_.try_emplace(id, Clock::now());
    });
  }
  std::vector<JobId> open_jobs(const Controller& at) const {
    std::vector<JobId> out;
    for (const auto& [id, record] : at.job_replica.jobs()) out.push_back(id);
    std::sort(out.begin(), out.end());
    return out;
  }

  void gone(const JobId& id, TimePoint when) {
    const auto told = told_.find(id);
    if (told == told_.end()) return;
    const Seconds took = when - told->second;
    longest_ = std::max(longest_, took);
    EXPECT_LE(took.count(), short_times().cancel.count()) << "ran_cancelled " << id;
  }

  void live(Machine& machine) {
    const auto now = Clock::now();
    const auto lease = core::to_duration(short_times().lease);
    if (now - machine.answered > lease) {
      for (const auto& [id, since] : machine.tasks) gone(id, machine.answered + lease);
      machine.tasks.clear();
      machine.answered = now;  // its next session has begun
    }
    if (between(0, 1) < 0.002) machine.hears_from = now + ms(0.2, 2);
    auto* leader = world_.leader();
    if (leader == nullptr || now < machine.hears_from) return;
    // Its report was sent a moment ago.
    const auto sent = std::max(machine.answered, now - milliseconds(20));
    if (!leader->serves()) {
      if (leader->leadership.last_proven() > leader->leadership.fresh_until()) ++uninformed_;
      return;
    }
    machine.answered = sent;
    for (auto task = machine.tasks.begin(); task != machine.tasks.end();) {
      if (leader->job_replica.find(task->first) != nullptr) {
        ++task;
        continue;
      }
      gone(task->first, now);
      task = machine.tasks.erase(task);
    }
    for (const auto& id : open_jobs(*leader)) {
      if (machine.tasks.size() >= 4) break;
      if (machine.tasks.try_emplace(id, now).second) gone(id, now);  // nor may it start later
    }
  }

  asio::io_context& io_;
  std::mt19937_64 random_;
  Deployment world_;
  StoreClient client_;
  asio::steady_timer timer_;
  asio::steady_timer trouble_;
  std::vector<Machine> machines_;
  std::map<JobId, TimePoint> told_;
  std::size_t refused_ = 0;
  std::size_t uninformed_ = 0;
  int jobs_ = 0;
  Seconds longest_{0};
};

// More worlds, or for longer: VIOLETPULLEY_EXTRA_SEEDS=100.
TEST(Meetings, CancelledTasksAreGoneInTimeWhoeverConfirmedThem) {
  const char* extra = std::getenv("VIOLETPULLEY_EXTRA_SEEDS");
  const int worlds = 12 + (extra == nullptr ? 0 : std::atoi(extra));
  asio::io_context io;
  std::vector<std::unique_ptr<Gap>> all;
  for (int i = 0; i < worlds; ++i)
    all.push_back(std::make_unique<Gap>(io, 9000 + static_cast<std::uint64_t>(i)));
  asio::steady_timer end(io, std::chrono::seconds(20));
  bool over = false;
  end.async_wait([&](const asio::error_code&) { over = true; });
  while (!over) io.run_one();
  Seconds longest{0};
  std::size_t cancelled = 0;
  std::size_t uninformed = 0;
  for (const auto& world : all) {
    longest = std::max(longest, world->longest());
    cancelled += world->cancelled();
    uninformed += world->renewals_while_uninformed();
  }
  std::cout << worlds << " worlds, " << cancelled << " jobs cancelled, from the confirmation to "
            << "gone at most " << longest.count() << " of " << short_times().cancel.count()
            << " s; reports not answered for want of news though the key was ours: " << uninformed
            << "\n";
  EXPECT_GT(cancelled, 0U);
}

}  // namespace
}  // namespace violetpulley::store
