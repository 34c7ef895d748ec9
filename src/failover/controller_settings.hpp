// What a new leader's core is told about its deployment.
#pragma once

#include "config/settings.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::failover {

// `resigns_when_isolated`: off for one that gave up for that lately.
core::ControllerSettings controller_settings(const config::Settings& settings,
                                             const core::Tuning& tuning, core::WallTime now,
                                             bool resigns_when_isolated);

}  // namespace violetpulley::failover
