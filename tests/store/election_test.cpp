// Lives of processes: a key, a hold and a suspicion belong to one of them (docs/safety.md, "Back in
// a fraction of a second"), and what cannot be taken is answered at once. Against stand-ins on
// loopback; holds last so long that none runs out by itself.
#include "store/election.hpp"

#include <gtest/gtest.h>

#include "support/fake_services.hpp"

namespace violetpulley::store {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongHold{600'000};
const core::WorkerTimes kTimes{};

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

class Lives : public ::testing::Test {
 protected:
  // A key that an earlier process of this name wrote, whose hold has not run out.
  Revision former_life(const std::string& member) {
    Revision written = 0;
    client_.create_lease(kLongHold, [&](Outcome, std::uint64_t lease) {
      client_.commit(
          {{{"leader", 0}},
           {{"leader", Json{{"member", member}, {"mesh", "m"}, {"hold", lease}}, lease}}},
          Urgency::safety, [&](const TransactionResult& result) { written = result.revision; });
    });
    until([&] { return written != 0; });
    return written;
  }
  void until(const std::function<bool()>& done) { standins::run_until(io_, done); }

  asio::io_context io_;
  standins::StateService state_{io_};
  StoreClient client_{io_, net::parse_endpoint(state_.address()), {1000, 1000}, 3};
};

TEST_F(Lives, AProcessThatFindsItsOwnNameEndsItsFormerLifeAndStandsAnew) {
  const auto before = former_life("n-0");
  Process process(io_, state_.address(), "n-0");
  process.election.start();
  until([&] { return process.won == 1; });
  EXPECT_GT(process.leadership.token(), before);
}

// Again and again, while the others stand too: each life leads under a token of its own.
TEST_F(Lives, SeveralTimesInARowAndInTheMiddleOfAnElection) {
  Process other(io_, state_.address(), "n-1");
  auto last = former_life("n-0");
  other.election.start();
  for (int life = 0; life < 5; ++life) {
    Process process(io_, state_.address(), "n-0");
    process.election.start();
    until([&] { return process.won + other.won > 0; });
    const auto token = process.won > 0 ? process.leadership.token() : other.leadership.token();
    EXPECT_GT(token, last);
    EXPECT_FALSE(process.leadership.leading() && other.leadership.leading());
    last = token;
    if (other.won > 0) {
      other.election.resign("the test goes on", milliseconds(1));
      other.won = 0;
    }
    // The process ends here; its hold, if it leads, is left behind.
  }
}

TEST_F(Lives, ASuspicionEndsTheLifeItIsAboutAndNoLaterOne) {
  const auto first = former_life("n-0");
  Process peer(io_, state_.address(), "n-1");
  peer.election.start();
  until([&] { return peer.election.led_by("n-0") == first; });
  Process again(io_, state_.address(), "n-0");
  again.election.start();
  until([&] {
    // The sibling may be the quicker one: then it stands back for good.
    if (peer.leadership.leading()) peer.election.resign("stands back", kLongHold);
    return again.won == 1 && peer.election.led_by("n-0") > first;
  });
  peer.election.revoke_lease_of("n-0", first);
  // It would have been ended by the time at which this answer comes.
  std::optional<bool> ours;
  again.election.prove([&](bool proved) { ours = proved; });
  until([&] { return ours.has_value(); });
  EXPECT_TRUE(*ours);
  peer.election.revoke_lease_of("n-0", again.leadership.token());
  until([&] { return again.lost == 1; });
}

// The transaction that would have made it leader gets no answer and is carried out after the next.
TEST_F(Lives, ALeaderKeyThatIsWrittenLateFindsItsHoldGone) {
  const auto door = state_.add_door();
  Process process(io_, state_.address(door), "n-0");
  state_.execute_late(door, milliseconds(2500));
  process.election.start();
  until([&] { return process.store.silent(core::Clock::now()); });
  state_.execute_late(door, milliseconds(0));
  until([&] { return process.won == 1; });
  const auto token = process.leadership.token();
  until([&] { return state_.executed_late() > 0; });
  std::optional<bool> ours;
  process.election.prove([&](bool proved) { ours = proved; });
  until([&] { return ours.has_value(); });
  EXPECT_TRUE(*ours);
  EXPECT_EQ(process.leadership.token(), token);
  EXPECT_EQ(process.lost, 0);
}

// A state service that takes connections and says nothing, as one behind a cut.
TEST_F(Lives, AUsersRequestIsNotHeldWhileTheStateServiceIsSilent) {
  std::size_t came = 0;
  net::HttpServer mute(io_, standins::any_port(), {},
                       [&](net::Request&&, const net::Responder&) { ++came; });
  StoreClient store(io_, mute.local_endpoint(), {1000, 1000}, 5);
  std::optional<Outcome> first;
  std::optional<Outcome> second;
  store.get("job/a", Urgency::user, [&](const GetResult& result) { first = result.outcome; });
  until([&] { return first.has_value(); });
  EXPECT_EQ(came, 1U);
  store.get("job/a", Urgency::user, [&](const GetResult& result) { second = result.outcome; });
  until([&] { return second.has_value(); });
  EXPECT_EQ(*second, Outcome::unknown);
  EXPECT_EQ(came, 1U) << "it was answered without asking";
  std::optional<Outcome> background;
  store.get("job/a", Urgency::background,
            [&](const GetResult& result) { background = result.outcome; });
  until([&] { return came == 2; });
  EXPECT_TRUE(store.silent(core::Clock::now()));
}

}  // namespace
}  // namespace violetpulley::store
