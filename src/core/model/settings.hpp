/// @file
/// Input of a new controller: the platform's settings, the operators' objectives, and the state
/// that a new leader reads from the state service.
#pragma once

#include "core/dispatch/socket_budget.hpp"
#include "core/model/actions.hpp"
#include "core/model/learned_state.hpp"

namespace violetpulley::core {

/// Shares of the allowed rate of cloud calls for requesting and for returning machines. The sum
/// exceeds 1 because both rarely need their full share at the same time.
inline constexpr double kScaleOutCallShare = 0.65;
inline constexpr double kScaleInCallShare = 0.5;

/// Objective for a class of jobs: done within this time after the submission.
struct CompletionObjective {
  std::string job_class;
  Seconds within{0};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job_class, s.within);
  }
};

/// Objective for late jobs of a class: done within this multiple of the time that the deadline
/// allows.
struct TardinessObjective {
  std::string job_class;
  double deadline_multiple = 1;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job_class, s.deadline_multiple);
  }
};

/// Settings of a controller, fixed for the whole time it leads.
struct ControllerSettings {
  std::vector<Team> teams;
  AgentTimes workers;
  Tuning tuning;
  double cloud_calls_per_s = 1;  ///< For requesting and returning machines, together.
  Seconds list_lag{10};          ///< How old the cloud's list of machines may be.
  std::vector<CompletionObjective> completion_objectives;
  std::vector<TardinessObjective> tardiness_objectives;
  WallTime wall_at_start{};  ///< Time of day at the controller's start.
  /// False after a recent resignation for isolation. If no other controller received heartbeats
  /// either, the machines are gone, and one leader has to wait until their leases have expired.
  bool resigns_when_isolated = true;
  SocketBudget sockets{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.teams, s.workers, s.tuning, s.cloud_calls_per_s, s.list_lag, s.completion_objectives,
      s.tardiness_objectives, s.wall_at_start, s.resigns_when_isolated, s.sockets);
  }
};

/// What a new leader reads from the state service.
struct RecoveredState {
  std::vector<MachineRecord> machines;
  std::vector<JobRecord> jobs;
  std::vector<ProgressRecord> progress;
  LearnedState learned_state;
  std::vector<PlacementRecord> placements;
  bool placements_marked = false;  ///< `placements` covers all gangs and services.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines, s.jobs, s.progress, s.learned_state, s.placements, s.placements_marked);
  }
};

}  // namespace violetpulley::core
