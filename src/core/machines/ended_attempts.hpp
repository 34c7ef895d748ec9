/// @file
/// Attempts that have ended on a machine although their start was never answered. A delayed copy of
/// the start has no effect while the agent knows the attempt, but a machine that is back without
/// its tasks in the same agent epoch runs the attempt again (docs/safety.md, "An attempt that has
/// ended in doubt"). Owns these attempts until their machine has a new epoch or is gone, what they
/// count against the limits of their teams, and which machines are settled: these take no new tasks
/// and are to be returned, which rules the delayed starts out.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model/settings.hpp"

namespace violetpulley::core {

/// Time after which a settled machine is returned although other tasks run on it. A cancellation
/// may have been confirmed a serving time (`cancel_s` - `lease_s`) before it was known here.
inline Seconds max_retiring_time(const WorkerTimes& workers) { return workers.lease / 2; }

/// What has become of a task whose attempt has ended in doubt.
enum class EndedTask : std::uint8_t {
  done,      ///< Nothing waits for the task. It may run again, within its team's limit.
  held,      ///< The task runs again once its former attempt cannot.
  cancelled  ///< The task must not run again: its machine is returned within `cancel_s`.
};

/// An attempt that a delayed start may run again on its machine.
struct EndedAttempt {
  MachineId machine;
  Attempt attempt = 0;
  std::string team;
  Resources resources;
  EndedTask task = EndedTask::done;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.attempt, s.team, s.resources, s.task);
  }
};

/// The attempts that have ended in doubt, by their task. A task has at most one: it is held until
/// the first one is ruled out, or it is done.
class EndedAttempts {
 public:
  using Table = std::map<TaskKey, EndedAttempt>;
  /// A snapshot without any such attempt has no such part, as in versions before it.
  static constexpr bool kOmittedWhenEmpty = true;

  /// Adds an attempt. Its machine is settled unless the task is done.
  void add(const TaskKey& task, EndedAttempt ended, TimePoint now);
  /// The job was cancelled: the machines of all its attempts are settled.
  void cancel_job(const JobId& job, TimePoint now);
  /// The machine takes no new tasks from now on and is to be returned.
  void retire(const MachineId& machine, TimePoint now) { retiring_.try_emplace(machine, now); }
  /// The machine is gone or its agent has a new epoch, so no delayed start has an effect any more.
  /// Returns the tasks that were held.
  std::vector<TaskKey> clear_machine(const MachineId& machine);

  bool empty() const { return attempts_.empty() && retiring_.empty(); }
  const Table& attempts() const { return attempts_; }
  /// The entries of a job, as a range of `attempts`.
  std::pair<Table::const_iterator, Table::const_iterator> of_job(const JobId& job) const;
  /// Whether the machine is settled.
  bool is_retiring(const MachineId& machine) const { return retiring_.contains(machine); }
  /// The machines that are settled, and since when.
  const std::map<MachineId, TimePoint>& retiring() const { return retiring_; }
  /// Resources of the attempts of a team.
  Resources use_of(const std::string& team) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.attempts_, s.by_machine_, s.retiring_, s.use_by_team_);
  }

 private:
  void remove(Table::iterator entry);

  Table attempts_;
  std::map<MachineId, std::set<TaskKey>> by_machine_;  ///< the tasks of `attempts_`
  std::map<MachineId, TimePoint> retiring_;            ///< since when
  std::map<std::string, Resources> use_by_team_;       ///< sums over `attempts_`
};

}  // namespace violetpulley::core
