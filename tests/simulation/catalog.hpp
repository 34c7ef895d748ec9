/// @file
/// Constants of every simulated world: times, machine types and teams. Stateless.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.hpp"

namespace violetpulley::core::simulated {

/// Heartbeat interval, lease and the other times of the simulated agents.
inline const AgentTimes kAgentTimes{Seconds(3), Seconds(27), Seconds(47), Seconds(35), Seconds(4)};
/// Length of a simulation step.
inline constexpr std::chrono::milliseconds kStep{100};
/// Start time of every world.
inline constexpr TimePoint kStartTime = TimePoint{} + std::chrono::hours(1);
/// Upper bound of the additional delay with which a slow state service delivers a change of a job.
inline constexpr std::chrono::milliseconds kMaxChangeDelay{4200};

/// Machine types of the cloud: "small" in zones "a" and "b", "large" in zone "a".
const std::vector<MachineType>& machine_types();
/// Returns the machine type with that name.
const MachineType& machine_type(const std::string& name);
/// The teams "blue" and "red" with their limits.
const std::vector<Team>& teams();
/// CPU limit of the team; 0 if there is no such team.
double max_cpus_of(const std::string& name);

}  // namespace violetpulley::core::simulated
