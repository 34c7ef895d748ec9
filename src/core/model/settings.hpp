// What the core is told about its deployment: the platform's settings, the operators' aims, and
// what a takeover reads from the state service.
#pragma once

#include "core/dispatch/socket_budget.hpp"
#include "core/model/actions.hpp"
#include "core/model/learned_state.hpp"

namespace violetpulley::core {

inline constexpr double kScaleOutCallShare = 0.65;  // of the cloud calls
inline constexpr double kScaleInCallShare = 0.5;    // both rarely want all of theirs at once

// The operators' aim for a class of jobs: done within this time after submission.
struct CompletionObjective {
  std::string job_class;
  Seconds within{0};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job_class, s.within);
  }
};

// Done within this many times the job's deadline.
struct TardinessObjective {
  std::string job_class;
  double times = 1;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job_class, s.times);
  }
};

struct ControllerSettings {
  std::vector<Team> teams;
  WorkerTimes workers;
  Tuning tuning;
  double cloud_calls_per_s = 1;  // for rentals and returns
  Seconds list_lag{10};
  std::vector<CompletionObjective> completion_objectives;
  std::vector<TardinessObjective> tardiness_objectives;
  WallTime wall_at_start{};  // the time of day that belongs to the start's steady time
  // Off for one that gave up for that lately: if the others heard nothing either, the machines are
  // gone, and somebody has to wait until their leases have run out.
  bool resigns_when_isolated = true;
  SocketBudget sockets{};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.teams, s.workers, s.tuning, s.cloud_calls_per_s, s.list_lag, s.completion_objectives,
      s.tardiness_objectives, s.wall_at_start, s.resigns_when_isolated, s.sockets);
  }
};

// What a takeover reads from the store.
struct RecoveredState {
  std::vector<MachineRecord> machines;
  std::vector<JobRecord> jobs;
  std::vector<ProgressRecord> progress;
  LearnedState learned_state;
  std::vector<PlacementRecord> placements;
  bool placements_marked = false;  // the records tell of every start of gangs and services

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines, s.jobs, s.progress, s.learned_state, s.placements, s.placements_marked);
  }
};

}  // namespace violetpulley::core
