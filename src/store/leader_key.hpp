/// @file
/// The value of the leader key and its stored form.
#pragma once

#include "store/store_types.hpp"

namespace violetpulley::store {

/// The leader, as its key says.
struct LeaderInfo {
  std::string member;
  std::string peer_address;  ///< where other controllers reach the leader
  LeaseId lease = 0;         ///< the lease that the key is attached to
  Revision revision = 0;     ///< of the key: the leader's fencing token
};

/// The stored value; the revision is none of it.
Json encode_leader_key(const LeaderInfo& leader);
/// Throws DecodeError.
LeaderInfo decode_leader_key(const Json& value, Revision revision);

}  // namespace violetpulley::store
