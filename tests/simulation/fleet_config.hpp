/// @file
/// Settings and results of a fleet simulation, as plain data.
#pragma once

#include "core/controller.hpp"

namespace violetpulley::core::fleet_simulation {

/// Times of the agents of the simulated fleet.
inline const AgentTimes kAgentTimes{Seconds(6), Seconds(31), Seconds(51), Seconds(35), Seconds(4)};
/// Name of the only machine type.
inline constexpr const char* kMachineType = "bench";

/// The fleet, its controllers and its work.
struct FleetConfig {
  std::size_t machines = 2000;
  std::size_t nodes = 5;
  std::size_t sockets = 3400;  ///< of each controller
  std::chrono::milliseconds event_processing_time{
      0};                                  ///< processor time of an event; 0: none is charged
  bool configures_sockets = true;          ///< off: the core assumes far more sockets than exist
  bool closes_command_connections = true;  ///< off: a connection once opened stays open
  std::size_t tasks_per_machine = 4;
  double backlog_share = 0.25;  ///< tasks beyond the fleet's capacity, as a part of it
  Seconds run_time{25};
};

/// What a run of the fleet came to.
struct FleetResult {
  std::size_t attempts_ended_by_lease = 0;  ///< tasks
  std::size_t started_attempts = 0;         ///< tasks
  std::size_t completed = 0;                ///< tasks
  std::size_t peak_sockets = 0;             ///< of any controller
  std::size_t refused_connections = 0;
  std::size_t max_commands_per_second = 0;  ///< command batches
  std::size_t requested_machines = 0;
  std::size_t returned_machines = 0;
  Seconds recovery_time{-1};               ///< since the last failover; negative: not recovered
  ReconciliationCost reconciliation_cost;  ///< of the last reconciliation
  ReconciliationStats stats;
  Seconds max_event_delay{0};  ///< longest wait of an event for the processor
};

}  // namespace violetpulley::core::fleet_simulation
