/// @file
/// The live tasks of a simulated world at one moment. Holds no state of its own.
#pragma once

#include <vector>

#include "simulation/agent_fleet.hpp"

namespace violetpulley::core::simulated {

/// Live tasks of all machines that exist, by machine, by zone and by team.
struct LiveTasks {
  /// A live attempt on a machine. The agent is valid until the fleet changes.
  struct Entry {
    TaskKey key;
    const SimulatedAgent* agent;
  };

  std::vector<Entry> entries;  ///< in the order of the machines
  std::set<TaskKey> keys;
  std::map<JobId, ZoneCounts> zones;
  std::map<std::string, double> team_cpus;

  /// The zones of the job's live tasks; empty if the job has none.
  ZoneCounts zones_of(const JobId& id) const;
  /// CPUs that the team's live tasks use.
  double cpus_of(const std::string& team) const;
};

LiveTasks collect_live_tasks(const AgentFleet& fleet, const JobFacts& facts);

}  // namespace violetpulley::core::simulated
