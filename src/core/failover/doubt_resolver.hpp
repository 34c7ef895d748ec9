/// @file
/// Returns machines on which a delayed start command may run an ended attempt again and whose
/// agents do not see a higher fencing token in time, if waiting jobs depend on that attempt or it
/// must end within a time limit (docs/safety.md, "An attempt that has ended in doubt";
/// docs/design.md, "Held back"). A retiring machine takes no new tasks and is returned. Owns no
/// state; decides which machines of `EndedAttempts` are retired for waiting jobs, and when a
/// retiring machine is returned.
#pragma once

#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

/// Retires machines for waiting jobs and selects the retiring machines to return.
class DoubtResolver {
 public:
  DoubtResolver(const ControllerSettings& settings, const Fleet& fleet, const Jobs& jobs,
                const TaskStarter& task_starter, EndedAttempts& ended_attempts,
                const MachineTokens& tokens)
      : settings_(settings),
        fleet_(fleet),
        jobs_(jobs),
        task_starter_(task_starter),
        ended_attempts_(ended_attempts),
        tokens_(tokens) {}

  /// Retires the machines whose return waiting jobs depend on; called in each check of the
  /// machines.
  void retire_machines(TimePoint now);
  /// The retiring machines that are to be returned now: they have no other tasks, or
  /// `max_retiring_time` is over.
  std::vector<MachineId> machines_to_return(TimePoint now) const;

 private:
  /// Whether a higher token was sent to the machine and has not been seen there in time. Without
  /// tokens that can be raised, only the return of the machine ends the doubt, so this holds at
  /// once.
  bool is_fence_overdue(const MachineId& machine, TimePoint now) const;
  /// Retires machines with held or cancelled tasks whose agents have not seen a higher token in
  /// time.
  void retire_for_missing_fences(TimePoint now);
  /// Retires machines whose agents remember too many in-doubt attempts: each heartbeat lists all of
  /// them.
  void retire_for_heartbeat_size(TimePoint now);
  /// Retires machines whose ended attempts restrict the zones in which a waiting job may run.
  void retire_for_zones(TimePoint now);
  /// Retires machines with ended attempts of teams whose limit would otherwise admit waiting jobs.
  void retire_for_team_limits(TimePoint now);
  /// Total demand of the team's waiting jobs that would fit the team's limit if its ended attempts
  /// did not count.
  Resources blocked_demand(const std::string& team, TimePoint now) const;
  /// Retires machines with ended attempts of the team, cheapest first, until they free `need`.
  void retire_for_team(const std::string& team, Resources need, TimePoint now);
  /// Maximum number of machines that are retired for team limits at the same time.
  std::size_t retiring_limit() const;

  const ControllerSettings& settings_;
  const Fleet& fleet_;
  const Jobs& jobs_;
  const TaskStarter& task_starter_;
  EndedAttempts& ended_attempts_;
  const MachineTokens& tokens_;
};

}  // namespace violetpulley::core
