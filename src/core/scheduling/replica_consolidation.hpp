/// @file
/// Consolidation (DESIGN) for replicas of services: drains underused machines that run nothing but
/// replicas. Replicas have no remaining run time to compare, and a move loses no work, but the
/// replica is unavailable meanwhile. So only whole machines are drained, replicas move only to
/// machines that hold the image and other replicas, and few replicas move at a time. Owns the time
/// of the last pass.
#pragma once

#include "core/dispatch/task_starter.hpp"
#include "core/scheduling/task_bindings.hpp"

namespace violetpulley::core {

/// Moves replicas of services to fewer machines.
class ReplicaConsolidation {
 public:
  ReplicaConsolidation(const ControllerSettings& settings, Outbox& out, Fleet& fleet,
                       const Jobs& jobs, CommandDispatcher& commands,
                       const TaskStarter& task_starter, const TaskBindings& bindings)
      : settings_(settings),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        commands_(commands),
        task_starter_(task_starter),
        bindings_(bindings) {}

  /// Makes a consolidation pass if one is due.
  void consolidate(TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.last_pass_);
  }

 private:
  /// The state of the fleet in one pass.
  struct FleetState {
    std::size_t running = 0;        // running replicas
    std::size_t moving = 0;         // replicas that are starting, stopping or waiting
    std::vector<Machine*> targets;  // machines with replicas only that may take more
    std::vector<Machine*> sparse;   // underused machines that may be drained
  };
  /// What the moves that were planned for the replicas of one machine would change.
  struct PlannedMoves {
    std::map<MachineId, Resources> use;  // capacity that replicas would take on their targets
    std::map<JobId, ZoneUse> zones;      // zones of the jobs' tasks after the moves
  };

  FleetState scan_fleet(TimePoint now);
  void scan_machine(Machine& machine, FleetState& state, TimePoint now);
  bool is_drainable(const Machine& machine, TimePoint now) const;
  bool can_move_all(const Machine& machine, const std::vector<Machine*>& targets) const;
  /// Stops the machine's replicas until `moving` has reached `max_moving`.
  void move_replicas(Machine& machine, std::size_t& moving, std::size_t max_moving, TimePoint now);
  /// Plans the move of a replica of the job. Returns false if there is no target.
  bool plan_move(const Job& job, const Machine& from, const std::vector<Machine*>& targets,
                 PlannedMoves& planned) const;
  /// A machine that could take a replica of the job: it runs other replicas, holds the image and is
  /// in a zone that the job allows. `zones`: of the job's other tasks. Null if there is no such
  /// machine.
  static Machine* find_target(const JobSpec& spec, const Machine& from,
                              const std::vector<Machine*>& targets, const PlannedMoves& planned,
                              ZoneUse& zones);

  const ControllerSettings& settings_;
  Outbox& out_;
  Fleet& fleet_;
  const Jobs& jobs_;
  CommandDispatcher& commands_;
  const TaskStarter& task_starter_;
  const TaskBindings& bindings_;
  TimePoint last_pass_{};
};

}  // namespace violetpulley::core
