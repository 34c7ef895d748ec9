/// @file
/// Elections with several incarnations of a process (docs/safety.md, "Restarts within a fraction of
/// a second"). Guards against a lease of one incarnation blocking the election, and against the
/// revocation of one incarnation's lease ending the leadership of a later one. Runs against fake
/// services on loopback, with leases so long that none expires.
#include "store/election.hpp"

#include <gtest/gtest.h>

#include "support/fake_state_service.hpp"

namespace violetpulley::store {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongLease{600'000};
const core::AgentTimes kTimes{};

/// The parts of a controller that take part in an election.
struct Process {
  Process(asio::io_context& io, const std::string& store_address, const std::string& member)
      : store(io, net::parse_endpoint(store_address), {1000, 1000}, 7),
        leadership(kTimes, milliseconds(25)),
        election(io, store, leadership, member, member + ":1",
                 {[this] { ++won; }, [this](const std::string&) { ++lost; }, [] {}}, 11) {}
  StoreClient store;
  core::Leadership leadership;
  int won = 0;
  int lost = 0;
  Election election;
};

class ElectionTest : public ::testing::Test {
 protected:
  /// Writes the leader key as an earlier process of this name would, with a lease that has not
  /// expired. Returns the revision of the key.
  Revision write_key_of_previous_incarnation(const std::string& member) {
    Revision written = 0;
    client_.create_lease(kLongLease, [&](const LeaseResult& result) {
      const auto lease = result.lease;
      client_.commit(
          {{{"leader", 0}},
           {{"leader", Json{{"member", member}, {"mesh", "m"}, {"hold", lease}}, lease}}},
          RequestPriority::safety,
          [&](const TransactionResult& result) { written = result.revision; });
    });
    until([&] { return written != 0; });
    return written;
  }
  void until(const std::function<bool()>& done) { fakes::run_until(io_, done); }

  asio::io_context io_;
  fakes::StateService state_{io_};
  StoreClient client_{io_, net::parse_endpoint(state_.address()), {1000, 1000}, 3};
};

TEST_F(ElectionTest, AProcessThatFindsItsOwnNameRevokesTheLeaseOfItsPreviousIncarnationAndWins) {
  const auto before = write_key_of_previous_incarnation("n-0");
  Process process(io_, state_.address(), "n-0");
  process.election.start();
  until([&] { return process.won == 1; });
  EXPECT_GT(process.leadership.token(), before);
}

// A process restarts several times in a row while another node campaigns as well.
TEST_F(ElectionTest, EachIncarnationLeadsUnderANewTokenAfterRestartsDuringElections) {
  Process other(io_, state_.address(), "n-1");
  auto last = write_key_of_previous_incarnation("n-0");
  other.election.start();
  for (int incarnation = 0; incarnation < 5; ++incarnation) {
    Process process(io_, state_.address(), "n-0");
    process.election.start();
    until([&] { return process.won + other.won > 0; });
    const auto token = process.won > 0 ? process.leadership.token() : other.leadership.token();
    EXPECT_GT(token, last);
    EXPECT_FALSE(process.leadership.leading() && other.leadership.leading());
    last = token;
    if (other.won > 0) {
      other.election.resign("next restart of the test", milliseconds(1));
      other.won = 0;
    }
    // The process ends here. If it leads, its lease remains.
  }
}

TEST_F(ElectionTest, RevokingTheLeaseOfALeaderEndsOnlyTheIncarnationOfThatRevision) {
  const auto first = write_key_of_previous_incarnation("n-0");
  Process peer(io_, state_.address(), "n-1");
  peer.election.start();
  until([&] { return peer.election.leader_revision_of("n-0") == first; });
  Process again(io_, state_.address(), "n-0");
  again.election.start();
  until([&] {
    // If the peer wins the key first, it resigns and does not campaign again.
    if (peer.leadership.leading())
      peer.election.resign("yields to the restarted process", kLongLease);
    return again.won == 1 && peer.election.leader_revision_of("n-0") > first;
  });
  peer.election.revoke_lease_of("n-0", first);
  // If the lease was revoked wrongly, the key is deleted before this response is received.
  std::optional<bool> proven;
  again.election.prove_leadership([&](bool result) { proven = result; });
  until([&] { return proven.has_value(); });
  EXPECT_TRUE(*proven);
  peer.election.revoke_lease_of("n-0", again.leadership.token());
  until([&] { return again.lost == 1; });
}

// The transaction that creates the leader key gets no response and is executed only after the next
// attempt has succeeded. Its lease has been revoked by then.
TEST_F(ElectionTest, ALeaderKeyTransactionExecutedLateDoesNotEndTheCurrentLeadership) {
  const auto endpoint = state_.add_endpoint();
  Process process(io_, state_.address(endpoint), "n-0");
  state_.set_execution_delay(endpoint, milliseconds(2500));
  process.election.start();
  until([&] { return process.store.silent(core::Clock::now()); });
  state_.set_execution_delay(endpoint, milliseconds(0));
  until([&] { return process.won == 1; });
  const auto token = process.leadership.token();
  until([&] { return state_.late_execution_count() > 0; });
  std::optional<bool> proven;
  process.election.prove_leadership([&](bool result) { proven = result; });
  until([&] { return proven.has_value(); });
  EXPECT_TRUE(*proven);
  EXPECT_EQ(process.leadership.token(), token);
  EXPECT_EQ(process.lost, 0);
}

// The state service accepts connections but never responds, as behind a network partition.
TEST_F(ElectionTest, AUserRequestFailsAtOnceWhileTheStateServiceIsSilent) {
  std::size_t requests = 0;
  net::HttpServer silent(io_, fakes::any_port(), {},
                         [&](net::Request&&, const net::Responder&) { ++requests; });
  StoreClient store(io_, silent.local_endpoint(), {1000, 1000}, 5);
  std::optional<Outcome> first;
  std::optional<Outcome> second;
  store.get("job/a", RequestPriority::user,
            [&](const GetResult& result) { first = result.outcome; });
  until([&] { return first.has_value(); });
  EXPECT_EQ(requests, 1U);
  store.get("job/a", RequestPriority::user,
            [&](const GetResult& result) { second = result.outcome; });
  until([&] { return second.has_value(); });
  EXPECT_EQ(*second, Outcome::unknown);
  EXPECT_EQ(requests, 1U) << "the request was sent although the state service is silent";
  std::optional<Outcome> background;
  store.get("job/a", RequestPriority::background,
            [&](const GetResult& result) { background = result.outcome; });
  until([&] { return requests == 2; });
  EXPECT_TRUE(store.silent(core::Clock::now()));
}

}  // namespace
}  // namespace violetpulley::store
