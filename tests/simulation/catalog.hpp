/// @file
/// The fixed setting of every simulated world: times, machine types, teams. Holds no state.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// Heartbeat interval, lease and the other times of the simulated agents.
inline const AgentTimes kAgentTimes{Seconds(3), Seconds(27), Seconds(47), Seconds(35), Seconds(4)};
/// Length of a step of the world.
inline constexpr std::chrono::milliseconds kStep{100};
/// Time at which every world begins.
inline constexpr TimePoint kStartTime = TimePoint{} + std::chrono::hours(1);
/// A slow state service delivers a change of a job by at most this much later than a quick one.
inline constexpr std::chrono::milliseconds kMaxChangeDelay{4200};

/// Machine types of the cloud: "small" in the zones "a" and "b", "large" in "a".
const std::vector<MachineType>& machine_types();
/// The machine type of that name.
const MachineType& machine_type(const std::string& name);
/// The teams "blue" and "red" and their limits.
const std::vector<Team>& teams();
/// Limit of the team in CPUs.
double max_cpus_of(const std::string& name);

}  // namespace violetpulley::core::simulated
