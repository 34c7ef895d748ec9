// What workers report, and what that makes of tasks and machines (PROTOCOL, "POST /agent/beat",
// "Delayed messages"; DESIGN: rebuild from reports). Owns nothing: joins the parts it changes.
#pragma once

#include "core/failover/assignments.hpp"
#include "core/failover/reconciler.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/machines/machine_registry.hpp"
#include "core/scheduling/gang_scheduler.hpp"

namespace violetpulley::core {

class HeartbeatHandler {
 public:
  HeartbeatHandler(const ControllerSettings& settings, Outbox& out, const Catalog& catalog,
                   Fleet& fleet, FailureDetector& contact, Jobs& jobs, RunTimeEstimator& estimator,
                   const DeadlineForecaster& forecaster, Recovery& recovery, Reconciler& reconciler,
                   MachineRegistry& registry, CommandDispatcher& commands, Assignments& assignments,
                   GangScheduler& gangs, FencingToken token)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        failure_detector_(contact),
        jobs_(jobs),
        estimator_(estimator),
        forecaster_(forecaster),
        recovery_(recovery),
        reconciler_(reconciler),
        registry_(registry),
        commands_(commands),
        assignments_(assignments),
        gang_scheduler_(gangs),
        token_(token) {}

  // A report of the worker's own.
  void heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    handle(heartbeat, HeartbeatSource::heartbeat, now);
  }
  // `answer`: null if none came.
  void commands_answered(const MachineId& id, const Heartbeat* answer, TimePoint now);

 private:
  void handle(const Heartbeat& heartbeat, HeartbeatSource said, TimePoint now);
  void update_assignment(Machine& machine, const TaskStatus& entry, TimePoint now);
  void handle_task_exit(Machine& machine, const TaskStatus& entry, TimePoint now);
  void adopt(Machine& machine, const TaskStatus& entry, TimePoint now);
  void task_failed(Machine& machine, Job& job, TimePoint now);
  void all_failed(Job& job, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  FailureDetector& failure_detector_;
  Jobs& jobs_;
  RunTimeEstimator& estimator_;
  const DeadlineForecaster& forecaster_;
  Recovery& recovery_;
  Reconciler& reconciler_;
  MachineRegistry& registry_;
  CommandDispatcher& commands_;
  Assignments& assignments_;
  GangScheduler& gang_scheduler_;
  FencingToken token_;
};

}  // namespace violetpulley::core
