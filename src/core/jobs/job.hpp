/// @file
/// An unfinished job in the leader's memory: the phase of each task, the state of its progress
/// records, and its failures. Keeps its counters consistent with the phases of its tasks; makes no
/// scheduling decisions.
#pragma once

#include <set>
#include <unordered_map>

#include "core/model/actions.hpp"

namespace violetpulley::core {

/// Upper bound of the backoff of a job whose tasks fail. The job also avoids the machines on which
/// its tasks failed for this time after the last failure.
inline constexpr Seconds kMaxFailureBackoff{64};

/// The scheduler's view of a task.
enum class Phase : std::uint8_t {
  waiting,   ///< Not known to be on any machine.
  assigned,  ///< Is, or may be, on `Task::machine`.
  done
};

/// A task of an unfinished job.
struct Task {
  Phase phase = Phase::waiting;
  bool restarted = false;   ///< By consolidation or preemption; happens at most once per task.
  bool persisted = false;   ///< The completion of the task is recorded in the store.
  MachineId machine;        ///< Empty unless the task is assigned.
  std::string bound_to;     ///< Scale-out request or booting machine that the task waits for.
  Seconds checkpointed{0};  ///< Run time that the last checkpoint covers.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.phase, s.restarted, s.persisted, s.machine, s.bound_to, s.checkpointed);
  }
};

/// An unfinished job.
struct Job {
  JobRecord record;
  bool from_former_leader = false;  ///< Opened before this leader was elected.
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
  std::set<MachineId> failed_on;         ///< Machines on which tasks of the job have failed.
  int failures = 0;                      ///< Number of task failures.
  TimePoint last_failure{};
  TimePoint backoff_until{};  ///< No task starts before this time.
  Attempt attempt = 0;        ///< The attempt that all tasks of an assigned gang share.
  /// The machine of each task's last start, by task index, as in the placement record that is
  /// stored or about to be stored. Empty if there is no record.
  std::vector<MachineId> placed_on;
  /// The placement records of former leaders cover all of their starts.
  bool placements_complete = false;
  PlacementVersion placement_version = 0;            ///< Newest version whose write was requested.
  PlacementVersion committed_placement_version = 0;  ///< Newest version that is committed.
  bool has_started = false;  ///< A task of the job has been assigned at least once.
  /// The job's tasks have failed on several machines and none has succeeded, so the job itself is
  /// probably faulty. Only one task at a time is started until a task succeeds or runs for long
  /// enough.
  bool suspected_faulty = false;
  Seconds failure_backoff{0};  ///< Backoff after the last failed attempt.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.record, s.from_former_leader, s.tasks, s.waiting, s.chunks_dirty, s.chunks_in_flight,
      s.chunks_stored, s.done_count, s.running_count, s.finishing, s.finish_retry, s.opened_at,
      s.failed_on, s.failures, s.backoff_until, s.attempt, s.placed_on, s.placements_complete,
      s.placement_version, s.committed_placement_version, s.has_started, s.suspected_faulty,
      s.failure_backoff, s.last_failure);
  }

  Job() : Job(JobRecord{}) {}
  /// Creates the job with all tasks in `Phase::waiting`.
  explicit Job(JobRecord job_record);

  const JobSpec& spec() const { return record.spec; }
  bool gang() const { return record.spec.shape == Shape::gang; }
  bool service() const { return record.spec.shape == Shape::service; }
  /// Whether starts of the job are recorded in the store before they are sent. Only for gangs and
  /// services: they start rarely, and after a failover they would wait long for an uncertain start
  /// to be resolved.
  bool records_starts() const { return gang() || service(); }
  bool complete() const { return done_count == tasks.size(); }

  /// Whether a task of the job has failed on this machine within `kMaxFailureBackoff`, so that the
  /// job must use other machines. The limit exists because a job whose tasks have failed on all
  /// machines that fit would otherwise never start again, even with free capacity.
  bool avoids(const MachineId& machine, TimePoint now) const {
    return !suspected_faulty && now - last_failure < kMaxFailureBackoff &&
           failed_on.contains(machine);
  }

  /// Run time that a restart of the task can skip thanks to a checkpoint. A gang checkpoints and
  /// restarts as a whole, so all of its tasks share the value of the first task.
  Seconds checkpointed_run_time(TaskIndex index) const {
    return tasks[gang() ? 0 : index].checkpointed;
  }

  /// Returns a task to `Phase::waiting`. No effect if the task is done.
  void set_waiting(TaskIndex index);
  void set_assigned(TaskIndex index, const MachineId& machine);
  /// No effect if the task is done already.
  void set_done(TaskIndex index);

  /// Chunks whose progress records are in the store or are being written to it.
  std::vector<TaskIndex> chunks_written() const;
  /// The progress record that describes the current state of the chunk.
  ProgressRecord progress(TaskIndex chunk) const;
};

}  // namespace violetpulley::core
