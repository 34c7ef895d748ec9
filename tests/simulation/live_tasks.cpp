#include "simulation/live_tasks.hpp"

namespace violetpulley::core::simulated {

ZoneCounts LiveTasks::zones_of(const JobId& id) const {
  const auto found = zones.find(id);
  return found == zones.end() ? ZoneCounts{} : found->second;
}

double LiveTasks::cpus_of(const std::string& team) const {
  const auto found = team_cpus.find(team);
  return found == team_cpus.end() ? 0 : found->second;
}

LiveTasks collect_live_tasks(const AgentFleet& fleet, const JobFacts& facts) {
  LiveTasks live;
  for (const auto& [id, agent] : fleet.all()) {
    if (agent.terminated) continue;
    for (const auto& [key, task] : agent.tasks) {
      if (!task.live()) continue;
      const auto& spec = facts.specs.at(key.first.job);
      live.entries.push_back({key.first, &agent});
      live.keys.insert(key.first);
      ++live.zones[key.first.job][agent.zone];
      live.team_cpus[spec.team] += spec.per_task.cpus;
    }
  }
  return live;
}

}  // namespace violetpulley::core::simulated
