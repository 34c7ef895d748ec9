/// @file
/// The table of all unfinished jobs, and the writes that keep their progress, placements and ends
/// in the store (PROTOCOL, "Users"; DESIGN: the state service holds jobs). Owns every `Job`.
#pragma once

#include <functional>
#include <set>

#include "core/jobs/job.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

/// Holds the unfinished jobs and requests the writes of their state.
class Jobs {
 public:
  using Table = std::unordered_map<JobId, Job>;
  /// Called before a job is changed or erased.
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

  /// Sets the observer of changes, which an incremental snapshot needs to copy jobs before they
  /// change.
  void set_change_observer(BeforeChange observer) { before_change_ = std::move(observer); }
  /// Code outside of this class must call this function before it changes a job.
  void before_change(const Job& job) {
    if (before_change_) before_change_(job);
  }

  /// Adds a job. No effect if the job is known.
  void open(const JobRecord& record, TimePoint now);
  /// Erases the job, which must be known, and deletes its progress records.
  void close(const JobId& id);

  /// Applies a progress record that a former leader wrote.
  void restore_progress(const ProgressRecord& record);
  /// Applies the placement records of former leaders. Requires that the placement mark was set in
  /// the store: then a gang or service without a record was never started.
  void restore_placements(const std::vector<PlacementRecord>& records);

  void task_done(Job& job, TaskIndex index);
  /// Schedules a write of the progress record that contains the task.
  void progress_changed(Job& job, TaskIndex index);
  /// Handles the result of a `SaveProgress`. A failed write is repeated.
  void progress_saved(const SaveProgress& saved, bool ok);
  /// Handles a `FinishJob` that was not carried out: it is not repeated before `retry`.
  void finish_answered(const JobId& id, TimePoint retry);

  /// Requests a `FinishJob` for each job whose tasks are all done.
  void finish_completed_jobs(TimePoint now);
  /// Requests the writes of changed progress records, at most once per `kPersistInterval`.
  void persist_progress(TimePoint now);

  /// Records that the task is about to start on the machine. Returns the version of the placement
  /// record that must be committed before the start command is sent.
  PlacementVersion record_start(Job& job, TaskIndex index, const MachineId& machine);
  /// Handles the commit of a `SavePlacements`.
  void placements_saved(const JobId& id, PlacementVersion version);
  /// Requests the writes of changed placement records. `all_confirmed`: every machine has reported
  /// its tasks, so no unknown assignment exists. If the placement mark is absent then, all
  /// assignments are written, and the mark once they are committed.
  void persist_placements(bool all_confirmed);

  /// Marks a gang as broken: it has lost a task, so all of its other tasks must stop.
  void mark_gang_broken(const JobId& gang) { broken_gangs_.insert(gang); }
  /// Returns the broken gangs and clears the set.
  std::set<JobId> take_broken_gangs() { return std::exchange(broken_gangs_, {}); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.jobs_, s.progress_dirty_, s.complete_, s.broken_gangs_, s.last_persist_,
      s.placements_dirty_, s.placement_mark_);
  }

 private:
  /// State of the mark in the store that guarantees a placement record for every start of a gang or
  /// service.
  enum class PlacementMark { absent, writing, set };

  void save_dirty_chunks(Job& job);
  void record_all_assignments();
  void save_dirty_placements();
  bool all_placements_committed() const;

  Outbox& out_;
  Table jobs_;
  // Jobs with pending work are indexed by id, so that the cost of an event does not grow with the
  // number of jobs.
  std::set<JobId> progress_dirty_;
  std::set<JobId> complete_;
  std::set<JobId> broken_gangs_;
  TimePoint last_persist_{};
  std::set<JobId> placements_dirty_;
  PlacementMark placement_mark_ = PlacementMark::absent;
  BeforeChange before_change_;
};

}  // namespace violetpulley::core
