#include "node/store_share.hpp"

#include <algorithm>

namespace violetpulley {

namespace {

// Shares of the request limits that the platform sets. The nodes rarely receive bursts of
// submissions at the same time, so the shares may add up to more than the limit: a request that the
// state service refuses with 429 is repeated.
constexpr double kSingleNodeShare = 0.9;
constexpr double kLeaderReadShare = 0.5;
constexpr double kLeaderWriteShare = 0.6;
constexpr double kFollowersReadShare = 0.8;   // of all followers together
constexpr double kFollowersWriteShare = 0.9;  // of all followers together
constexpr double kMaxFollowerShare = 0.45;    // of one follower

store::StoreShare leader_share(bool single_node) {
  if (single_node) return {kSingleNodeShare, kSingleNodeShare};
  return {kLeaderReadShare, kLeaderWriteShare};
}

store::StoreShare follower_share(double followers) {
  return {std::min(kMaxFollowerShare, kFollowersReadShare / followers),
          std::min(kMaxFollowerShare, kFollowersWriteShare / followers)};
}

}  // namespace

store::StoreShare store_share(const config::Settings& settings, bool leading) {
  const auto nodes = static_cast<double>(settings.nodes());
  const double followers = std::max(1.0, nodes - 1);
  const auto share = leading ? leader_share(nodes <= 1) : follower_share(followers);
  return {settings.state_requests_per_s * share.requests_per_s,
          settings.state_writes_per_s * share.writes_per_s};
}

}  // namespace violetpulley
