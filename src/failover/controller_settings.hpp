/// @file
/// The settings of a new leader's core, made from those of its deployment.
#pragma once

#include "config/settings.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::failover {

/// `now`: the time of day at the core's start. `resigns_when_isolated`: whether the leader resigns
/// when it is isolated; off for a node that did so lately.
core::ControllerSettings controller_settings(const config::Settings& settings,
                                             const core::Tuning& tuning, core::WallTime now,
                                             bool resigns_when_isolated);

}  // namespace violetpulley::failover
