/// @file
/// Attempts that have ended on a machine although a copy of their start may still be carried out
/// there. The copy has no effect while the agent remembers the attempt, but an agent that has lost
/// its tasks within the same epoch runs the attempt again (docs/safety.md, "An attempt that has
/// ended in doubt"). Owns these attempts until their agent has seen a higher fencing token or has a
/// new epoch, or their machine is gone; the resources that they count against the limits of their
/// teams; and the set of retiring machines. A retiring machine takes no new tasks and is returned
/// to the cloud; after its return no copy of a start can have an effect.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/dispatch/machine_tokens.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// Longest time for which a retiring machine is kept because other tasks run on it. The limit is
/// short since a cancellation may have been confirmed to the user up to `cancel_s` - `lease_s`
/// before this leader learned of it.
inline Seconds max_retiring_time(const AgentTimes& workers) { return workers.lease / 2; }

/// Time within which an agent that is reached sees a higher token.
inline Seconds max_fencing_time(const AgentTimes& workers) { return workers.lease / 4; }

/// State of a task with an ended attempt that may run again.
enum class EndedTask : std::uint8_t {
  done,      ///< The task is done. A delayed start may repeat it, within its team's limit.
  held,      ///< The task restarts once its earlier attempt cannot run again.
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

/// The ended attempts that may run again, by task. A task has at most one such attempt: while it
/// has one, it is either done or cancelled, or it is held and starts no other attempt.
class EndedAttempts {
 public:
  using Table = std::map<TaskKey, EndedAttempt>;
  /// An empty table is left out of snapshots, so that these equal the snapshots of older versions.
  static constexpr bool kOmittedWhenEmpty = true;

  explicit EndedAttempts(MachineTokens& tokens) : tokens_(tokens) {}

  /// Adds an attempt, and requests that its agent sees a higher token. Without tokens that can be
  /// raised, its machine is retired unless the task is done.
  void add(const TaskKey& task, EndedAttempt ended, TimePoint now);
  /// Marks the attempts of a cancelled job as cancelled. Without tokens that can be raised, retires
  /// their machines.
  void cancel_job(const JobId& job, TimePoint now);
  /// Retires a machine: it takes no new tasks and is to be returned.
  void retire(const MachineId& machine, TimePoint now) { retiring_.try_emplace(machine, now); }
  /// Removes the attempts of a machine that is gone or whose agent has a new epoch, since delayed
  /// starts have no effect there any more. Returns the tasks that were held.
  std::vector<TaskKey> clear_machine(const MachineId& machine);

  /// Removes the attempts of the machine for which `is_over` holds. Returns the tasks that were
  /// held.
  using IsOver = std::function<bool(const TaskKey&, const EndedAttempt&)>;
  std::vector<TaskKey> remove_if(const MachineId& machine, const IsOver& is_over);

  /// Removes everything, before a snapshot is restored.
  void clear();
  bool empty() const { return attempts_.empty() && retiring_.empty(); }
  const Table& attempts() const { return attempts_; }
  /// Number of held tasks of a job.
  std::size_t held_tasks(const JobId& job) const;
  /// The entries of a job, as a range of `attempts`.
  std::pair<Table::const_iterator, Table::const_iterator> of_job(const JobId& job) const;
  bool is_retiring(const MachineId& machine) const { return retiring_.contains(machine); }
  /// The retiring machines, and the time from which each has been retiring.
  const std::map<MachineId, TimePoint>& retiring() const { return retiring_; }
  /// Sum of the resources of the team's attempts.
  Resources use_of(const std::string& team) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.attempts_, s.by_machine_, s.retiring_, s.use_by_team_);
  }

 private:
  void remove(Table::iterator entry);

  MachineTokens& tokens_;
  Table attempts_;
  std::map<MachineId, std::set<TaskKey>> by_machine_;  ///< the tasks of `attempts_`
  std::map<MachineId, TimePoint> retiring_;            ///< start of the retirement
  std::map<std::string, Resources> use_by_team_;       ///< sums over `attempts_`
};

}  // namespace violetpulley::core
