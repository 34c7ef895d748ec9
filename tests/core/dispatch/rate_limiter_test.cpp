/// @file
/// Tests of the token bucket.
#include "core/dispatch/rate_limiter.hpp"

#include <gtest/gtest.h>

#include "support/sample_jobs.hpp"

namespace violetpulley::core {
namespace {

TEST(RateLimiter, AllowsABurstAndThenItsRate) {
  RateLimiter limiter(2.0, 2.0);
  auto now = kNow;
  EXPECT_TRUE(limiter.take(now));
  EXPECT_TRUE(limiter.take(now));
  EXPECT_FALSE(limiter.take(now));
  EXPECT_GT(limiter.time_until_available(now), Duration::zero());
  now += std::chrono::milliseconds(500);
  EXPECT_TRUE(limiter.take(now));
  EXPECT_FALSE(limiter.take(now));
}

}  // namespace
}  // namespace violetpulley::core
