/// @file
/// Value of the leader key and its stored form. Stateless.
#pragma once

#include "store/store_types.hpp"

namespace violetpulley::store {

/// The leader as described by the leader key.
struct LeaderInfo {
  std::string member;
  std::string peer_address;  ///< Address at which other controllers reach the leader.
  LeaseId lease = 0;         ///< Lease that the key is attached to.
  Revision revision = 0;     ///< Revision of the key, which is the leader's fencing token.
};

/// Returns the stored value, which does not contain the revision.
Json encode_leader_key(const LeaderInfo& leader);
/// `revision` is the revision of the key. Throws DecodeError if the value is malformed.
LeaderInfo decode_leader_key(const Json& value, Revision revision);

}  // namespace violetpulley::store
