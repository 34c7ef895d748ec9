/// @file
/// Configuration and results of a fleet simulation, as plain data.
#pragma once

#include "core/controller.hpp"

namespace violetpulley::core::fleet_simulation {

/// Times of the simulated agents.
inline const AgentTimes kAgentTimes{Seconds(6), Seconds(31), Seconds(51), Seconds(35), Seconds(4)};
/// Name of the only machine type.
inline constexpr const char* kMachineType = "bench";

/// Size of the fleet, limits of its controllers and workload.
struct FleetConfig {
  std::size_t machines = 2000;
  std::size_t nodes = 5;
  std::size_t sockets_per_node = 3400;
  std::chrono::milliseconds event_processing_time{0};  ///< processor time per event
  bool configures_sockets = true;                      ///< false: the core assumes far more sockets
  bool closes_command_connections = true;              ///< false: command connections stay open
  std::size_t tasks_per_machine = 4;
  double backlog_share = 0.25;  ///< tasks beyond the fleet's capacity, relative to it
  Seconds run_time{25};
};

/// Results of a run.
struct FleetResult {
  std::size_t attempts_ended_by_lease = 0;  ///< live when the agent's lease expired
  std::size_t started_attempts = 0;
  std::size_t completed = 0;     ///< tasks
  std::size_t peak_sockets = 0;  ///< maximum over the controllers
  std::size_t refused_connections = 0;
  std::size_t max_commands_per_second = 0;  ///< in command batches
  std::size_t requested_machines = 0;
  std::size_t returned_machines = 0;
  Seconds recovery_time{-1};               ///< of the last failover; negative: recovery not ended
  ReconciliationCost reconciliation_cost;  ///< of the last reconciliation
  ReconciliationStats stats;
  std::size_t max_listed_tasks = 0;  ///< in one heartbeat, exited ones included
  Seconds max_event_delay{0};        ///< longest wait of an event for the processor
};

}  // namespace violetpulley::core::fleet_simulation
