// What workers report, and what that makes of tasks and machines (PROTOCOL, "POST /agent/beat",
// "Delayed messages"; DESIGN: rebuild from reports). Owns nothing: joins the parts it changes.
#pragma once

#include "core/assignments.hpp"
#include "core/contact.hpp"
#include "core/gangs.hpp"
#include "core/reckoning.hpp"
#include "core/registry.hpp"

namespace violetpulley::core {

class Reports {
 public:
  Reports(const ControllerSettings& settings, Outbox& out, const Catalog& catalog, Fleet& fleet,
          Contact& contact, Jobs& jobs, Estimator& estimator, const Outlooks& outlooks,
          Recovery& recovery, Reckoning& reckoning, Registry& registry, Orders& orders,
          Assignments& assignments, Gangs& gangs, Token token)
      : settings_(settings),
        out_(out),
        catalog_(catalog),
        fleet_(fleet),
        contact_(contact),
        jobs_(jobs),
        estimator_(estimator),
        outlooks_(outlooks),
        recovery_(recovery),
        reckoning_(reckoning),
        registry_(registry),
        orders_(orders),
        assignments_(assignments),
        gangs_(gangs),
        token_(token) {}

  // A report of the worker's own.
  void report(const WorkerReport& report, TimePoint now) { take_in(report, Said::report, now); }
  // `answer`: null if none came.
  void orders_answered(const MachineId& id, const WorkerReport* answer, TimePoint now);

 private:
  void take_in(const WorkerReport& report, Said said, TimePoint now);
  void absorb_task(Machine& machine, const TaskReport& entry, TimePoint now);
  void absorb_exit(Machine& machine, const TaskReport& entry, TimePoint now);
  void adopt(Machine& machine, const TaskReport& entry, TimePoint now);
  void task_failed(Machine& machine, Job& job, TimePoint now);
  void all_failed(Job& job, TimePoint now);

  const ControllerSettings& settings_;
  Outbox& out_;
  const Catalog& catalog_;
  Fleet& fleet_;
  Contact& contact_;
  Jobs& jobs_;
  Estimator& estimator_;
  const Outlooks& outlooks_;
  Recovery& recovery_;
  Reckoning& reckoning_;
  Registry& registry_;
  Orders& orders_;
  Assignments& assignments_;
  Gangs& gangs_;
  Token token_;
};

}  // namespace violetpulley::core
