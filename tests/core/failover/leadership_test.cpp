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
  EXPECT_FALSE(leadership.may_serve(kNow)) << "the key is ours; others' cancellations are unknown";
  leadership.record_read_barrier(kNow);
  const auto limit = leadership.serving_time();
  EXPECT_LT(limit + times.lease, times.cancel);
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit - Seconds(0.1))));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(0.1))));
  // Neither time alone.
  leadership.record_proof(kNow + std::chrono::seconds(5));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(0.1))));
  leadership.record_read_barrier(kNow + std::chrono::seconds(9));
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit + Seconds(4))));
  EXPECT_FALSE(leadership.may_serve(kNow + to_duration(limit + Seconds(6))));
  // An answer that was overtaken takes nothing back.
  leadership.record_read_barrier(kNow + std::chrono::seconds(2));
  EXPECT_TRUE(leadership.may_serve(kNow + to_duration(limit + Seconds(4))));
  leadership.lost();
  EXPECT_FALSE(leadership.may_serve(kNow));
}

// From the sending of the last barrier to the end of the last lease it lets be renewed: every
// `cancel_s` that the settings' check takes leaves time to serve, and the sum holds.
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
