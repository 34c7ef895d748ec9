/// @file
/// Tests of the fencing tokens of single machines: which may be used, and when an attempt is
/// fenced.
#include "core/dispatch/machine_tokens.hpp"

#include <gtest/gtest.h>

namespace violetpulley::core {
namespace {

constexpr FencingToken kLeaderToken = 40;
const MachineId kMachine = "m-1";
constexpr Attempt kAttempt = 7;

class MachineTokensTest : public ::testing::Test {
 protected:
  MachineTokensTest() { tokens_.record_proof(kLeaderToken); }

  MachineTokens tokens_{kLeaderToken};
};

TEST_F(MachineTokensTest, NoTokenIsUsedAboveTheHighestRevisionAtWhichTheKeyWasProven) {
  EXPECT_FALSE(tokens_.raise(kMachine));
  tokens_.record_proof(kLeaderToken + 2);
  tokens_.record_proof(kLeaderToken + 1);  // an older answer arrives later
  EXPECT_TRUE(tokens_.raise(kMachine));
  EXPECT_TRUE(tokens_.raise(kMachine));
  EXPECT_FALSE(tokens_.raise(kMachine));
  EXPECT_EQ(tokens_.of(kMachine), kLeaderToken + 2);
  EXPECT_EQ(tokens_.of("m-2"), kLeaderToken);
}

TEST_F(MachineTokensTest, AnAttemptIsFencedOnceItsAgentShowsATokenAboveThatOfItsStart) {
  tokens_.record_proof(kLeaderToken + 5);
  tokens_.start_sent(kMachine, kAttempt);
  tokens_.record_heartbeat(kMachine, kLeaderToken);
  EXPECT_TRUE(tokens_.may_run_again(kMachine, kAttempt));
  EXPECT_FALSE(tokens_.is_fenced_by_next_message(kMachine, kAttempt));
  tokens_.raise(kMachine);
  EXPECT_TRUE(tokens_.is_fenced_by_next_message(kMachine, kAttempt));
  EXPECT_TRUE(tokens_.may_run_again(kMachine, kAttempt)) << "nobody knows that the message arrived";
  tokens_.record_heartbeat(kMachine, kLeaderToken + 1);
  EXPECT_FALSE(tokens_.may_run_again(kMachine, kAttempt));
}

TEST_F(MachineTokensTest, AStartThatIsRepeatedUnderAHigherTokenNeedsAnEvenHigherOne) {
  tokens_.record_proof(kLeaderToken + 5);
  tokens_.start_sent(kMachine, kAttempt);
  tokens_.raise(kMachine);
  tokens_.start_sent(kMachine, kAttempt);
  tokens_.record_heartbeat(kMachine, kLeaderToken + 1);
  EXPECT_TRUE(tokens_.may_run_again(kMachine, kAttempt));
}

TEST_F(MachineTokensTest, ARequestIsOpenUntilTheAgentShowsAHigherToken) {
  const TimePoint now{};
  tokens_.start_sent(kMachine, kAttempt);
  tokens_.request_fence(kMachine, kAttempt, now);
  EXPECT_TRUE(tokens_.needs_raise(kMachine));
  EXPECT_EQ(tokens_.machines_to_raise(), std::vector{kMachine});
  tokens_.record_proof(kLeaderToken + 1);
  tokens_.raise(kMachine);
  EXPECT_FALSE(tokens_.needs_raise(kMachine));
  ASSERT_NE(tokens_.fence_request(kMachine), nullptr);
  tokens_.record_heartbeat(kMachine, kLeaderToken + 1);
  EXPECT_EQ(tokens_.fence_request(kMachine), nullptr);
}

TEST_F(MachineTokensTest, AGrownEpochFencesEveryAttempt) {
  tokens_.start_sent(kMachine, kAttempt);
  tokens_.epoch_grown(kMachine);
  EXPECT_FALSE(tokens_.may_run_again(kMachine, kAttempt));
}

TEST_F(MachineTokensTest, TheTokenOfAHeartbeatIsOursUpToTheProvenRevision) {
  tokens_.record_proof(kLeaderToken + 5);
  EXPECT_TRUE(tokens_.is_known(kLeaderToken + 5));
  EXPECT_FALSE(tokens_.is_known(kLeaderToken + 6));
  EXPECT_EQ(tokens_.record_heartbeat(kMachine, kLeaderToken + 3), ShownToken::not_chosen);
  EXPECT_EQ(tokens_.of(kMachine), kLeaderToken + 3) << "the agent refuses every lower token";
  EXPECT_EQ(tokens_.record_heartbeat(kMachine, kLeaderToken), ShownToken::lower);
  EXPECT_EQ(tokens_.record_heartbeat(kMachine, kLeaderToken + 3), ShownToken::expected);
}

TEST_F(MachineTokensTest, WithoutAProvenRevisionNothingIsFencedAndNothingIsRemembered) {
  MachineTokens tokens(kLeaderToken);
  tokens.start_sent(kMachine, kAttempt);
  tokens.record_heartbeat(kMachine, kLeaderToken);
  EXPECT_FALSE(tokens.enabled());
  EXPECT_TRUE(tokens.empty());
  EXPECT_FALSE(tokens.is_known(kLeaderToken + 1));
}

}  // namespace
}  // namespace violetpulley::core
