/// @file
/// All unfinished jobs, and when their progress and ends are written to the store (PROTOCOL,
/// "Users"; DESIGN: the state service holds jobs). Owns every `Job`.
#pragma once

#include <functional>
#include <set>

#include "core/jobs/job.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

/// The table of unfinished jobs with the writes that they need.
class Jobs {
 public:
  using Table = std::unordered_map<JobId, Job>;
  /// Called before a job changes or is erased.
  using BeforeChange = std::function<void(const Job&)>;

  explicit Jobs(Outbox& out) : out_(out) {}

  Table::iterator find(const JobId& id) { return jobs_.find(id); }
  Table::const_iterator find(const JobId& id) const { return jobs_.find(id); }
  Table::iterator begin() { return jobs_.begin(); }
  Table::const_iterator begin() const { return jobs_.begin(); }
  Table::iterator end() { return jobs_.end(); }
  Table::const_iterator end() const { return jobs_.end(); }
  /// Throws std::out_of_range if the job is unknown.
  Job& at(const JobId& id) { return jobs_.at(id); }
  const Job& at(const JobId& id) const { return jobs_.at(id); }
  const Table& table() const { return jobs_; }

  /// Registers the observer that a snapshot needs while it is taken in parts.
  void set_change_observer(BeforeChange observer) { before_change_ = std::move(observer); }
  /// Must be called before every change of a job from outside of this class.
  void before_change(const Job& job) {
    if (before_change_) before_change_(job);
  }

  /// Adds a job; no effect if the job is known.
  void open(const JobRecord& record, TimePoint now);
  /// Erases the job, which must be known, and deletes its progress records.
  void close(const JobId& id);

  /// Takes over a progress record of a former leader.
  void restore_progress(const ProgressRecord& record);
  /// Takes over the placement records of former leaders, whose mark was set: a job without a record
  /// was never started.
  void restore_placements(const std::vector<PlacementRecord>& records);

  /// Marks the task as done.
  void task_done(Job& job, TaskIndex index);
  /// Schedules a write of the progress record that covers the task.
  void progress_changed(Job& job, TaskIndex index);
  /// Result of a `SaveProgress`; a failed write is repeated.
  void progress_saved(const SaveProgress& saved, bool ok);
  /// A `FinishJob` was not carried out: the next try is not before `retry`.
  void finish_answered(const JobId& id, TimePoint retry);

  /// Requests the end of each job whose tasks are all done.
  void finish_completed_jobs(TimePoint now);
  /// Requests the progress writes that are due, once per `kPersistInterval`.
  void persist_progress(TimePoint now);

  /// Records that the task is about to be started on the machine; returns the version of the record
  /// that must be committed before the start is sent.
  PlacementVersion record_start(Job& job, TaskIndex index, const MachineId& machine);
  /// Result of a `SavePlacements` that was committed.
  void placements_saved(const JobId& id, PlacementVersion version);
  /// Requests writes of placements that changed. `all_confirmed`: every machine has answered, so
  /// the known assignments are all that there are; then all of them are written, and the mark
  /// follows as soon as they are committed.
  void persist_placements(bool all_confirmed);

  /// Notes a gang that has lost a task, so that all its tasks must end.
  void note_broken_gang(const JobId& gang) { broken_gangs_.insert(gang); }
  /// Returns the noted gangs and forgets them.
  std::set<JobId> take_broken_gangs() { return std::exchange(broken_gangs_, {}); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.jobs_, s.progress_dirty_, s.complete_, s.broken_gangs_, s.last_persist_,
      s.placements_dirty_, s.placement_mark_);
  }

 private:
  /// State of the mark that every start of a gang or service has its record.
  enum class PlacementMark { absent, writing, set };

  void save_dirty_chunks(Job& job);
  void record_all_assignments();
  void save_dirty_placements();
  bool all_placements_committed() const;

  Outbox& out_;
  Table jobs_;
  // Jobs with writes that are due, so that an event costs what it changes and not a pass over all
  // jobs.
  std::set<JobId> progress_dirty_;
  std::set<JobId> complete_;
  std::set<JobId> broken_gangs_;
  TimePoint last_persist_{};
  std::set<JobId> placements_dirty_;
  PlacementMark placement_mark_ = PlacementMark::absent;
  BeforeChange before_change_;
};

}  // namespace violetpulley::core
