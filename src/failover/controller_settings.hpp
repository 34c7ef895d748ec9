/// @file
/// Derives the settings of a new leader's core from the settings of its deployment. Stateless.
#pragma once

#include "config/settings.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::failover {

/// `now` is the time of day at the core's start. `resigns_when_isolated` says whether the leader
/// resigns when it is isolated; it is false for a node that has recently resigned for that reason.
core::ControllerSettings controller_settings(const config::Settings& settings,
                                             const core::Tuning& tuning, core::WallTime now,
                                             bool resigns_when_isolated);

}  // namespace violetpulley::failover
