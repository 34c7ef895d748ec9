#include "simulation/agent.hpp"

#include <algorithm>

namespace violetpulley::core::simulated {

void AgentTask::exit(ExitCause exit_cause) {
  state = TaskState::exited;
  cause = exit_cause;
}

bool SimulatedAgent::hangs_or_partitioned(TimePoint now) const {
  return hangs(now) || partitioned_inbound(now) || partitioned_outbound(now);
}

void SimulatedAgent::heartbeat_by(TimePoint time) {
  next_heartbeat = std::min(next_heartbeat, time);
}

void SimulatedAgent::terminate() {
  terminated = true;
  tasks.clear();
}

Heartbeat SimulatedAgent::make_heartbeat(TimePoint now) {
  Heartbeat heartbeat{id,
                      "10.0.0.1:" + std::to_string(endpoint_number),
                      type,
                      zone,
                      spot,
                      epoch,
                      ++heartbeat_sequence,
                      token,
                      {},
                      {}};
  if (reclaimed_at) heartbeat.notice = Seconds(*reclaimed_at - now);
  for (const auto& [key, task] : tasks)
    heartbeat.tasks.push_back({key.first, key.second, task.state, task.cause, task.checkpointed});
  return heartbeat;
}

}  // namespace violetpulley::core::simulated
