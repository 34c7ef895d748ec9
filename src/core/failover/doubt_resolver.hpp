/// @file
/// Returns machines on which a delayed start command may run an ended attempt again, if waiting
/// jobs depend on that attempt or it must end within a time limit (docs/safety.md, "An attempt that
/// has ended in doubt"; docs/design.md, "Held back"). A settled machine takes no new tasks and is
/// returned. Owns no state; decides which machines of `EndedAttempts` are settled for waiting
/// jobs, and when a settled machine is returned.
#pragma once

#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

/// Settles machines for waiting jobs and returns the settled machines.
class DoubtResolver {
 public:
  DoubtResolver(const ControllerSettings& settings, const Fleet& fleet, const Jobs& jobs,
                const TaskStarter& task_starter, EndedAttempts& ended_attempts)
      : settings_(settings),
        fleet_(fleet),
        jobs_(jobs),
        task_starter_(task_starter),
        ended_attempts_(ended_attempts) {}

  /// Settles the machines whose return waiting jobs depend on; called in each check of the
  /// machines.
  void settle_machines(TimePoint now);
  /// The settled machines that are to be returned now: they have no other tasks, or the settling
  /// time is over.
  std::vector<MachineId> machines_to_return(TimePoint now) const;

 private:
  /// Settles machines whose agents remember too many attempts in doubt: each heartbeat lists them.
  void settle_for_heartbeat_size(TimePoint now);
  /// Settles machines whose ended attempts restrict the zones in which a waiting job may run.
  void settle_for_zones(TimePoint now);
  /// Settles machines with ended attempts of teams whose limit would otherwise admit waiting jobs.
  void settle_for_team_limits(TimePoint now);
  /// Total demand of the team's waiting jobs that would fit the team's limit if its ended attempts
  /// did not count.
  Resources blocked_demand(const std::string& team, TimePoint now) const;
  /// Settles machines with ended attempts of the team, cheapest first, until they free `need`.
  void settle_for_team(const std::string& team, Resources need, TimePoint now);
  std::size_t max_settling() const;

  const ControllerSettings& settings_;
  const Fleet& fleet_;
  const Jobs& jobs_;
  const TaskStarter& task_starter_;
  EndedAttempts& ended_attempts_;
};

}  // namespace violetpulley::core
