/// @file
/// The machines of a simulated world. Owns the agents.
#pragma once

#include "simulation/agent.hpp"
#include "simulation/environment.hpp"
#include "simulation/job_facts.hpp"

namespace violetpulley::core::simulated {

/// Number of a job's live tasks in each zone.
using ZoneCounts = std::map<std::string, TaskIndex>;

/// All machines that were booted and have not been returned.
class AgentFleet {
 public:
  AgentFleet(Environment& environment, const JobFacts& facts)
      : environment_(environment), facts_(facts) {}

  /// Adds a machine that is up at `up_at`.
  MachineId boot(const std::string& type, const std::string& zone, bool spot, TimePoint up_at);
  /// Takes a returned machine away.
  void remove(const MachineId& id) { agents_.erase(id); }
  /// The agent; null if there is no such machine.
  SimulatedAgent* find(const MachineId& id);
  const SimulatedAgent* find(const MachineId& id) const;
  std::map<MachineId, SimulatedAgent>& all() { return agents_; }
  const std::map<MachineId, SimulatedAgent>& all() const { return agents_; }

  /// Resources of the machine's live tasks.
  Resources used(const SimulatedAgent& agent) const;
  /// Whether the machine has capacity for one task more of that kind.
  bool has_capacity(const SimulatedAgent& agent, const JobSpec& spec) const;
  /// Whether a task of the job could start on the machine now. `zones`: of the job's live tasks.
  bool can_start(const JobSpec& spec, const SimulatedAgent& agent, const ZoneCounts& zones) const;

 private:
  Environment& environment_;
  const JobFacts& facts_;
  std::map<MachineId, SimulatedAgent> agents_;
  int booted_ = 0;
};

}  // namespace violetpulley::core::simulated
