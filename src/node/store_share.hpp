/// @file
/// How the controllers divide the request limits of the state service among themselves.
#pragma once

#include "config/settings.hpp"
#include "store/store_client.hpp"

namespace violetpulley {

/// Returns the pace of this node's requests. The leader writes for all; the other nodes accept,
/// cancel and read.
store::StoreShare store_share(const config::Settings& settings, bool leading);

}  // namespace violetpulley
