// Unfinished jobs, what of them is done, and when that is written down (PROTOCOL, "Users"; DESIGN:
// the state service holds jobs). Owns every Job; decides when progress and ends go to the store.
#pragma once

#include <functional>
#include <set>

#include "core/jobs/job.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

class Jobs {
 public:
  using Table = std::unordered_map<JobId, Job>;

  explicit Jobs(Outbox& out) : out_(out) {}

  Table::iterator find(const JobId& id) { return jobs_.find(id); }
  Table::const_iterator find(const JobId& id) const { return jobs_.find(id); }
  Table::iterator begin() { return jobs_.begin(); }
  Table::const_iterator begin() const { return jobs_.begin(); }
  Table::iterator end() { return jobs_.end(); }
  Table::const_iterator end() const { return jobs_.end(); }
  Job& at(const JobId& id) { return jobs_.at(id); }
  const Job& at(const JobId& id) const { return jobs_.at(id); }
  const Table& table() const { return jobs_; }

  // The same for jobs as Fleet::touch for machines.
  using BeforeChange = std::function<void(const Job&)>;
  void set_change_observer(BeforeChange told) { before_change_ = std::move(told); }
  void before_change(const Job& job) {
    if (before_change_) before_change_(job);
  }

  void open(const JobRecord& record, TimePoint now);
  // Forgets the job and the records of its progress.
  void close(const JobId& id);
  // What an earlier leader wrote about a job's tasks.
  void restore_progress(const ProgressRecord& record);

  // What marked records tell of older leaders' starts; jobs without a record were never started.
  void restore_placements(const std::vector<PlacementRecord>& records);

  void task_done(Job& job, TaskIndex index);
  void progress_changed(Job& job, TaskIndex index);
  void progress_saved(const SaveProgress& saved, bool ok);
  void finish_answered(const JobId& id, TimePoint retry);

  // Writes that are due.
  void finish_complete(TimePoint now);
  void persist(TimePoint now);

  // The task is about to be started there; returns the version of the record that must be committed
  // first.
  std::uint64_t record_start(Job& job, TaskIndex index, const MachineId& machine);
  void placements_saved(const JobId& id, std::uint64_t version);
  // Writes placements that changed. `all_accounted`: every machine has answered, so that what the
  // tasks say of themselves is all that there is; then all of them are written, and the mark after
  // them.
  void persist_placements(bool all_accounted);

  // Gangs that have lost a task and must end whole.
  void note_broken(const JobId& gang) { broken_gangs_.insert(gang); }
  std::set<JobId> take_broken() { return std::exchange(broken_gangs_, {}); }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.jobs_, s.progress_dirty_, s.complete_, s.broken_gangs_, s.last_persist_,
      s.placements_dirty_, s.mark_);
  }

 private:
  Outbox& out_;
  Table jobs_;
  // What is due, so that an event costs what it changes and not a look at everything.
  std::set<JobId> progress_dirty_;
  std::set<JobId> complete_;
  std::set<JobId> broken_gangs_;
  TimePoint last_persist_{};
  enum class Mark { none, writing, set };
  std::set<JobId> placements_dirty_;
  Mark mark_ = Mark::none;
  BeforeChange before_change_;
};

}  // namespace violetpulley::core
