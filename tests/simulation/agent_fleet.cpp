#include "simulation/agent_fleet.hpp"

#include <cstdio>

#include "core/autoscaling/scaler.hpp"
#include "simulation/catalog.hpp"

namespace violetpulley::core::simulated {

MachineId AgentFleet::boot(const std::string& type, const std::string& zone, bool spot,
                           TimePoint up_at) {
  char name[16];
  std::snprintf(name, sizeof name, "m-%06d", ++booted_);
  auto& agent = agents_[name];
  agent.id = name;
  agent.type = type;
  agent.zone = zone;
  agent.spot = spot;
  agent.up_at = up_at;
  agent.lease_renewed = up_at;
  agent.next_heartbeat = up_at;
  return name;
}

SimulatedAgent* AgentFleet::find(const MachineId& id) {
  const auto found = agents_.find(id);
  return found == agents_.end() ? nullptr : &found->second;
}

const SimulatedAgent* AgentFleet::find(const MachineId& id) const {
  const auto found = agents_.find(id);
  return found == agents_.end() ? nullptr : &found->second;
}

Resources AgentFleet::used(const SimulatedAgent& agent) const {
  Resources total;
  for (const auto& [key, task] : agent.tasks)
    if (task.live()) total += facts_.specs.at(key.first.job).per_task;
  return total;
}

bool AgentFleet::has_capacity(const SimulatedAgent& agent, const JobSpec& spec) const {
  return (used(agent) + spec.per_task).fits_in(machine_type(agent.type).capacity);
}

bool AgentFleet::can_start(const JobSpec& spec, const SimulatedAgent& agent,
                           const ZoneCounts& zones) const {
  const auto now = environment_.now();
  if (!agent.up(now) || agent.faulty || agent.reclaimed_at) return false;
  if (agent.hangs_or_partitioned(now)) return false;
  if (!allowed_on(spec, agent.type, agent.zone, agent.spot)) return false;
  const auto here = zones.find(agent.zone);
  if (spec.same_zone && !zones.empty() && here == zones.end()) return false;
  if (spec.spread && here != zones.end() && here->second + 1 > (spec.tasks + 1) / 2) return false;
  return has_capacity(agent, spec);
}

}  // namespace violetpulley::core::simulated
