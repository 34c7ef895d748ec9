/// @file
/// Returns machines on which a delayed start may run an ended attempt again, where something waits
/// for that or must be gone in time (docs/safety.md, "An attempt that has ended in doubt";
/// docs/design.md, "Held back"). Owns no state; decides which machines of `EndedAttempts` are
/// settled for waiting jobs, and when a settled machine is returned.
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

  /// Settles the machines that something waits for; called with each check of the machines.
  void settle_machines(TimePoint now);
  /// The settled machines that are to be returned now: nothing else runs on them, or the settling
  /// time is over.
  std::vector<MachineId> machines_to_return(TimePoint now) const;

 private:
  /// Machines whose agents have to remember too many attempts, all of which enter each heartbeat.
  void settle_for_heartbeat_size(TimePoint now);
  /// Machines of jobs whose zone the ended attempts decide.
  void settle_for_zones(TimePoint now);
  /// Machines of teams whose jobs wait for their limit because of ended attempts.
  void settle_for_team_limits(TimePoint now);
  /// What the waiting jobs of a team need that the ended attempts keep from them.
  Resources blocked_demand(const std::string& team, TimePoint now) const;
  /// Settles the machines with attempts of the team that cost least, until that makes `need` free.
  void settle_for_team(const std::string& team, Resources need, TimePoint now);
  std::size_t max_settling() const;

  const ControllerSettings& settings_;
  const Fleet& fleet_;
  const Jobs& jobs_;
  const TaskStarter& task_starter_;
  EndedAttempts& ended_attempts_;
};

}  // namespace violetpulley::core
