/// @file
/// The machines of a simulated world. Owns the state of the agents.
#pragma once

#include "simulation/agent.hpp"
#include "simulation/environment.hpp"
#include "simulation/job_facts.hpp"

namespace violetpulley::core::simulated {

/// Number of a job's live tasks in each zone.
using ZoneCounts = std::map<std::string, TaskIndex>;

/// All machines that have been booted and have not been removed by the cloud.
class AgentFleet {
 public:
  AgentFleet(Environment& environment, const JobFacts& facts)
      : environment_(environment), facts_(facts) {}

  /// Adds a machine whose boot ends at `up_at`, and returns its id.
  MachineId boot(const std::string& type, const std::string& zone, bool spot, TimePoint up_at);
  /// Removes a machine that was returned to the cloud.
  void remove(const MachineId& id) { agents_.erase(id); }
  /// Returns the agent, or null if there is no such machine.
  SimulatedAgent* find(const MachineId& id);
  const SimulatedAgent* find(const MachineId& id) const;
  std::map<MachineId, SimulatedAgent>& all() { return agents_; }
  const std::map<MachineId, SimulatedAgent>& all() const { return agents_; }

  /// Sum of the resources of the machine's live tasks.
  Resources used(const SimulatedAgent& agent) const;
  /// Whether the machine's free resources suffice for one more task of the job.
  bool has_capacity(const SimulatedAgent& agent, const JobSpec& spec) const;
  /// Whether a task of the job could start on the machine now. `zones`: number of the job's live
  /// tasks in each zone.
  bool can_start(const JobSpec& spec, const SimulatedAgent& agent, const ZoneCounts& zones) const;

 private:
  Environment& environment_;
  const JobFacts& facts_;
  std::map<MachineId, SimulatedAgent> agents_;
  int booted_ = 0;
};

}  // namespace violetpulley::core::simulated
