#include "store/leader_key.hpp"

namespace violetpulley::store {

namespace {
// Field names in the stored value.
constexpr const char* kMember = "member";
constexpr const char* kPeerAddress = "mesh";
constexpr const char* kLease = "hold";
}  // namespace

Json encode_leader_key(const LeaderInfo& leader) {
  return Json{
      {kMember, leader.member}, {kPeerAddress, leader.peer_address}, {kLease, leader.lease}};
}

LeaderInfo decode_leader_key(const Json& value, Revision revision) {
  try {
    return {value.at(kMember).get<std::string>(), value.at(kPeerAddress).get<std::string>(),
            value.at(kLease).get<LeaseId>(), revision};
  } catch (const Json::exception& problem) {
    throw DecodeError(problem.what());
  }
}

}  // namespace violetpulley::store
