/// @file
/// How long a leader may serve after its last proof of leadership and its last read barrier.
#include "core/failover/leadership.hpp"

#include <gtest/gtest.h>

#include "support/sample_jobs.hpp"

namespace violetpulley::core {
namespace {

TEST(Leadership, ServesOnlyAsLongAsACancellationStillEndsInTime) {
  AgentTimes times{Seconds(3), Seconds(27), Seconds(47), Seconds(35), Seconds(4)};
  Leadership leadership(times, std::chrono::milliseconds(25));
  EXPECT_FALSE(leadership.may_serve(kNow));
  leadership.record_read_barrier(kNow);
  leadership.won(7, 1, kNow);
  EXPECT_FALSE(leadership.may_serve(kNow))
      << "cancellations confirmed by other nodes are not known yet";
  leadership.record_read_barrier(kNow);
  const auto limit = leadership.serving_time();
  EXPECT_LT(limit + times.lease, times.cancel);
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit - Seconds(0.1))));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(0.1))));
  // Proof and read barrier must both be recent.
  leadership.record_proof(kNow + std::chrono::seconds(5));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(0.1))));
  leadership.record_read_barrier(kNow + std::chrono::seconds(9));
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit + Seconds(4))));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(6))));
  // A late answer to an earlier read barrier does not shorten the time.
  leadership.record_read_barrier(kNow + std::chrono::seconds(2));
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit + Seconds(4))));
  leadership.lost();
  EXPECT_FALSE(leadership.may_serve(kNow));
}

// Every `cancel_s` that passes the check of the settings leaves time to serve, and the last lease
// renewed under a read barrier expires within `cancel_s` of the sending of the barrier.
TEST(Leadership, TheSmallestCancelTimeLeavesTimeToServe) {
  for (const double lease : {1.0, 24.0, 45.0})
    for (const int skew : {0, 25, 2000}) {
      AgentTimes times;
      times.lease = Seconds(lease);
      times.cancel = Leadership::min_cancel_time(times, std::chrono::milliseconds(skew));
      const Leadership leadership(times, std::chrono::milliseconds(skew));
      EXPECT_GT(leadership.serving_time(), Seconds(1.9));
      EXPECT_LE((leadership.serving_time() + times.lease) * 1.0005 + Seconds(0.45), times.cancel);
    }
}

}  // namespace
}  // namespace violetpulley::core
