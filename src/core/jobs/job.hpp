/// @file
/// An unfinished job as the leader sees it: the phase of each task, which progress is stored, and
/// the failures so far. Keeps its own counters consistent; decides nothing.
#pragma once

#include <set>
#include <unordered_map>

#include "core/model/actions.hpp"

namespace violetpulley::core {

/// Longest pause of a job whose tasks fail; the job also avoids the machines on which they failed
/// for this time after the last failure.
inline constexpr Seconds kMaxFailureBackoff{64};

/// Phase of a task for the scheduler.
enum class Phase : std::uint8_t {
  waiting,   ///< Not on any machine, as far as this leader knows.
  assigned,  ///< Is or may be on `Task::machine`.
  done
};

/// A task of an unfinished job.
struct Task {
  Phase phase = Phase::waiting;
  bool restarted = false;   ///< By consolidation or preemption, which happens at most once.
  bool persisted = false;   ///< The end of the task is recorded in the store.
  MachineId machine;        ///< Empty unless assigned.
  std::string bound_to;     ///< Request or booting machine that the task waits for; empty: none.
  Seconds checkpointed{0};  ///< Run time that a restart need not repeat, thanks to a checkpoint.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.phase, s.restarted, s.persisted, s.machine, s.bound_to, s.checkpointed);
  }
};

/// An unfinished job.
struct Job {
  JobRecord record;
  bool from_former_leader = false;  ///< Accepted before this leader was elected.
  std::vector<Task> tasks;
  std::set<TaskIndex> waiting;           ///< Tasks in `Phase::waiting`.
  std::set<TaskIndex> chunks_dirty;      ///< Progress records that are out of date in the store.
  std::set<TaskIndex> chunks_in_flight;  ///< Progress records that are being written.
  std::set<TaskIndex> chunks_stored;     ///< Progress records that exist in the store.
  TaskIndex done_count = 0;              ///< Number of tasks in `Phase::done`.
  TaskIndex running_count = 0;           ///< Number of tasks reported as running.
  bool finishing = false;                ///< A `FinishJob` is in flight.
  TimePoint finish_retry{};              ///< No `FinishJob` before this time.
  TimePoint opened_at{};                 ///< When a leader first saw the job.
  std::set<MachineId> failed_on;
  int failures = 0;  ///< Failed tasks so far.
  TimePoint last_failure{};
  TimePoint backoff_until{};  ///< No starts before this time.
  Attempt attempt = 0;        ///< The attempt that all tasks of an assigned gang share.
  /// By task: the machine of the last start, as recorded or about to be recorded. Empty if nothing
  /// is recorded.
  std::vector<MachineId> placed_on;
  bool placements_complete = false;  ///< The records of former leaders cover all their starts.
  PlacementVersion placement_version = 0;            ///< Newest record that was requested.
  PlacementVersion committed_placement_version = 0;  ///< Newest record that is committed.
  bool has_started = false;                          ///< A task of the job has been on a machine.
  /// All tasks have failed, on several machines: most likely the job was submitted with a mistake.
  /// One task at a time is tried, until a task ends well.
  bool suspected_faulty = false;
  Seconds failure_backoff{0};  ///< Pause after the last failed try.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.from_former_leader, s.tasks, s.waiting, s.chunks_dirty, s.chunks_in_flight,
      s.chunks_stored, s.done_count, s.running_count, s.finishing, s.finish_retry, s.opened_at,
      s.failed_on, s.failures, s.backoff_until, s.attempt, s.placed_on, s.placements_complete,
      s.placement_version, s.committed_placement_version, s.has_started, s.suspected_faulty,
      s.failure_backoff, s.last_failure);
  }

  Job() : Job(JobRecord{}) {}
  /// All tasks wait.
  explicit Job(JobRecord job_record);

  const JobSpec& spec() const { return record.spec; }
  bool gang() const { return record.spec.shape == Shape::gang; }
  bool service() const { return record.spec.shape == Shape::service; }
  /// Whether starts of the job are recorded before they are sent: gangs and services have few
  /// starts, and long waits when a start is in doubt.
  bool records_starts() const { return gang() || service(); }
  /// Whether all tasks are done.
  bool complete() const { return done_count == tasks.size(); }

  /// Whether a task of the job failed on this machine recently, so that other machines go first.
  /// Where tasks failed on all machines that fit, the job would wait for ever beside free capacity,
  /// so failures are forgotten after the longest pause.
  bool avoids(const MachineId& machine, TimePoint now) const {
    return !suspected_faulty && now - last_failure < kMaxFailureBackoff &&
           failed_on.contains(machine);
  }

  /// Run time that a restart of the task need not repeat. A gang saves and restarts as a whole.
  Seconds saved_run_time(TaskIndex index) const { return tasks[gang() ? 0 : index].checkpointed; }

  /// Puts a task back into the queue; no effect on a task that is done.
  void set_waiting(TaskIndex index);
  void set_assigned(TaskIndex index, const MachineId& machine);
  /// No effect on a task that is done already.
  void set_done(TaskIndex index);

  /// Progress records of the job that are, or may yet be, in the store.
  std::vector<TaskIndex> chunks_written() const;
  /// The progress record of a chunk as the job is now.
  ProgressRecord progress(TaskIndex chunk) const;
};

}  // namespace violetpulley::core
