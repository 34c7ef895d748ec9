/// @file
/// Snapshot of the live tasks of a simulated world. Stateless.
#pragma once

#include <vector>

#include "simulation/agent_fleet.hpp"

namespace violetpulley::core::simulated {

/// Live tasks of all machines that have not been terminated, by machine, zone and team.
struct LiveTasks {
  /// A live attempt on a machine. `agent` is valid until the fleet changes.
  struct Entry {
    TaskKey key;
    const SimulatedAgent* agent;
  };

  std::vector<Entry> entries;  ///< ordered by machine
  std::set<TaskKey> keys;
  std::map<JobId, ZoneCounts> zones;
  std::map<std::string, double> team_cpus;

  /// Number of the job's live tasks in each zone; empty if the job has none.
  ZoneCounts zones_of(const JobId& id) const;
  /// CPUs in use by the team's live tasks.
  double cpus_of(const std::string& team) const;
};

LiveTasks collect_live_tasks(const AgentFleet& fleet, const JobFacts& facts);

}  // namespace violetpulley::core::simulated
