/// @file
/// Times that the platform prescribes for agents, and constants that operators may tune.
#pragma once

#include <cstddef>

#include "core/model/identifiers.hpp"

namespace violetpulley::core {

/// Times of the agents, from the platform's settings file.
struct AgentTimes {
  Seconds heartbeat_interval{3};
  Seconds lease{27};      ///< An agent without an answer for this long ends its tasks.
  Seconds cancel{47};     ///< A cancelled task must have ended within this time.
  Seconds gang_wait{35};  ///< A gang's task exits after waiting this long for the other tasks.
  Seconds gang_peer{4};   ///< The tasks of a gang notice a lost task within this time.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.heartbeat_interval, s.lease, s.cancel, s.gang_wait, s.gang_peer);
  }
};

/// Tunable constants and their defaults; operators may override them in their YAML settings.
struct Tuning {
  /// Run-time bin i spans 2^(i-1) to 2^i times this unit.
  Seconds bin_unit{1};
  /// Longest time between two scheduling rounds, and shortest time between two scaling rounds.
  Seconds round_interval{2};
  /// Shortest time between two scheduling rounds when a job or capacity has appeared.
  Seconds min_round_interval{0.1};
  /// Time for which a machine must stay underused before it is drained.
  Seconds consolidation_wait{30};
  /// A machine is underused if the used share of every resource is below this.
  double consolidation_threshold = 0.5;
  /// Time for which an empty machine is kept.
  Seconds idle_wait{25};
  /// A machine is returned if it boots for longer than this multiple of the usual boot time.
  double boot_late_factor = 2.0;
  /// Time for which a refused offering is not requested again.
  Seconds refused_cooldown{15};
  /// Silence after which a machine takes no new tasks and is probed.
  Seconds silent_after{7};
  /// Silence after which a machine is returned, if most other machines respond.
  Seconds lost_after{9};
  /// Longest time for which a machine that leaves the queries of a new leader unanswered is waited
  /// for.
  Seconds lost_after_failover{5};
  /// Tasks bound to a booting machine may use capacity that becomes free earlier.
  bool bound_tasks_may_move = true;
  /// Errors of several jobs in a row after which a machine is quarantined.
  int quarantine_errors = 3;
  /// Waiting time after which expensive machines are requested for a job that may use spot
  /// machines.
  Seconds on_demand_wait{40};
  /// Time for which an empty expensive machine is kept.
  Seconds on_demand_idle_wait{10};
  /// Starts of gangs and services are committed before they are sent.
  bool commit_starts = false;
  /// Maximum number of command batches in flight; 0: limited by the socket shares only.
  std::size_t max_commands_in_flight = 0;
  /// Largest share of silent machines for which machine failures are assumed. Above this share a
  /// network partition is more likely, and silent machines are not returned early.
  double max_declared_dead_share = 0.25;
  /// Assumed share of machines that are alive among those that left two queries unanswered.
  double assumed_alive_share = 0.1;
  /// Objective for the time until a job starts, whatever its size.
  Seconds begin_within{240};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.bin_unit, s.round_interval, s.min_round_interval, s.consolidation_wait,
      s.consolidation_threshold, s.idle_wait, s.boot_late_factor, s.refused_cooldown,
      s.silent_after, s.lost_after, s.lost_after_failover, s.bound_tasks_may_move,
      s.quarantine_errors, s.on_demand_wait, s.on_demand_idle_wait, s.commit_starts,
      s.max_commands_in_flight, s.max_declared_dead_share, s.assumed_alive_share, s.begin_within);
  }
};

}  // namespace violetpulley::core
