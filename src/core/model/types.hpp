/// @file
/// All value types that the whole core shares.
///
/// A type that is kept in snapshots and events names its fields in `fields`, in the order in which
/// they are written (src/history/pack.hpp): new fields go to the end, under a new version of the
/// format.
#pragma once

#include "core/model/command.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/identifiers.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/platform.hpp"
#include "core/model/resources.hpp"
#include "core/model/tuning.hpp"
