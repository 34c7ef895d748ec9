/// @file
/// Divides the request limits of the state service among the controllers. Stateless.
#pragma once

#include "config/settings.hpp"
#include "store/store_client.hpp"

namespace violetpulley {

/// Returns the request rates of this node. The leader writes the state of the whole cluster; the
/// other nodes accept, cancel and look up jobs.
store::StoreShare store_share(const config::Settings& settings, bool leading);

}  // namespace violetpulley
