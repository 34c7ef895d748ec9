/// @file
/// Keys and key prefixes in the state service. They are part of the stored data, which an upgraded
/// deployment must still find, so they keep their values when names in the code change
/// (docs/glossary.md).
#pragma once

#include <string>

namespace violetpulley::store {

/// Written by the leader and attached to its lease. Its revision is the leader's fencing token.
inline constexpr const char* kLeaderKey = "leader";
/// The cloud's catalog as last read by a leader.
inline constexpr const char* kCatalogKey = "catalog";

/// `job/<id>`: an unfinished job.
inline constexpr const char* kJobPrefix = "job/";
/// `end/<id>`: the final state of a job, created by the transaction that deletes `job/<id>`.
inline constexpr const char* kEndPrefix = "end/";

/// Prefixes of the leader's record tables, each followed by a page number.
/// @{
inline constexpr const char* kMachinesPrefix = "machines/";
inline constexpr const char* kProvisioningPrefix = "rented/";
inline constexpr const char* kProgressPrefix = "progress/";
inline constexpr const char* kPlacementsPrefix = "placed/";
/// @}

/// Exists while the placement records cover every start of gangs and services.
inline const std::string kPlacementsMark = "placements-marked";

/// Prefix of the learned state: `belief/head` and `belief/<slot>/<n>`.
inline const std::string kLearnedStatePrefix = "belief/";

}  // namespace violetpulley::store
