#include "core/jobs/jobs.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {

constexpr std::chrono::milliseconds kPersistInterval{1000};
constexpr std::size_t kMaxPlacements = 400;  // tasks whose machines fit into one placement record

// Calls `apply(index)` for each index of the ranges that is below `end`.
template <class Apply>
void for_each_index(const std::vector<IndexRange>& ranges, std::size_t end, const Apply& apply) {
  for (const auto& [first, last] : ranges)
    for (TaskIndex index = first; index <= last && index < end; ++index) apply(index);
}

}  // namespace

void Jobs::open(const JobRecord& record, TimePoint now) {
  const auto [entry, added] = jobs_.try_emplace(record.spec.id, record);
  if (!added) return;
  entry->second.opened_at = now;
  out_.request_scheduling_round();
}

void Jobs::close(const JobId& id) {
  const auto found = jobs_.find(id);
  auto& job = found->second;
  before_change(job);
  // Carrying out a `FinishJob` deletes the progress records, so they are left to one in flight.
  if (auto chunks = job.chunks_written(); !chunks.empty() && !job.finishing)
    out_.push_back(DeleteProgress{id, std::move(chunks)});
  progress_dirty_.erase(id);
  placements_dirty_.erase(id);
  complete_.erase(id);
  jobs_.erase(found);
  out_.request_scheduling_round();
}

void Jobs::restore_progress(const ProgressRecord& record) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) {
    out_.push_back(DeleteProgress{record.job, {record.chunk}});
    return;
  }
  auto& job = found->second;
  job.chunks_stored.insert(record.chunk);
  for_each_index(record.done, job.tasks.size(), [&](TaskIndex index) {
    task_done(job, index);
    job.tasks[index].persisted = true;
  });
  for_each_index(record.restarted, job.tasks.size(),
                 [&](TaskIndex index) { job.tasks[index].restarted = true; });
}

void Jobs::restore_placements(const std::vector<PlacementRecord>& records) {
  for (auto& [id, job] : jobs_) job.placements_complete = job.records_starts();
  for (const auto& record : records) {
    const auto found = jobs_.find(record.job);
    if (found == jobs_.end() || !found->second.records_starts()) continue;
    found->second.placements_complete = record.known;
    found->second.placed_on = record.machines;
  }
  placement_mark_ = PlacementMark::set;
}

void Jobs::progress_changed(Job& job, TaskIndex index) {
  before_change(job);
  job.chunks_dirty.insert(index / kProgressChunk);
  progress_dirty_.insert(job.spec().id);
}

void Jobs::task_done(Job& job, TaskIndex index) {
  before_change(job);
  job.set_done(index);
  if (job.complete()) complete_.insert(job.spec().id);
}

void Jobs::persist_progress(TimePoint now) {
  if (now - last_persist_ < kPersistInterval) return;
  last_persist_ = now;
  for (auto entry = progress_dirty_.begin(); entry != progress_dirty_.end();) {
    const auto found = jobs_.find(*entry);
    // The end of a complete job is recorded by `FinishJob`, so its progress need not be written.
    if (found == jobs_.end() || found->second.complete()) {
      entry = progress_dirty_.erase(entry);
      continue;
    }
    auto& job = found->second;
    before_change(job);
    save_dirty_chunks(job);
    entry = job.chunks_dirty.empty() ? progress_dirty_.erase(entry) : std::next(entry);
  }
}

// A dirty chunk with a write in flight stays dirty and is written again after that write.
void Jobs::save_dirty_chunks(Job& job) {
  for (auto chunk = job.chunks_dirty.begin(); chunk != job.chunks_dirty.end();) {
    if (job.chunks_in_flight.contains(*chunk)) {
      ++chunk;
      continue;
    }
    job.chunks_in_flight.insert(*chunk);
    const auto first = std::size_t{*chunk} * kProgressChunk;
    const auto tasks_in_chunk = std::min<std::size_t>(kProgressChunk, job.tasks.size() - first);
    out_.push_back(SaveProgress{job.progress(*chunk), tasks_in_chunk});
    chunk = job.chunks_dirty.erase(chunk);
  }
}

void Jobs::progress_saved(const SaveProgress& saved, bool ok) {
  const auto& record = saved.record;
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) {
    if (ok) out_.push_back(DeleteProgress{record.job, {record.chunk}});
    return;
  }
  auto& job = found->second;
  before_change(job);
  job.chunks_in_flight.erase(record.chunk);
  // A write that was reported as failed may still have reached the store.
  job.chunks_stored.insert(record.chunk);
  if (!ok) {
    progress_changed(job, record.chunk * kProgressChunk);
    return;
  }
  for_each_index(record.done, job.tasks.size(),
                 [&](TaskIndex index) { job.tasks[index].persisted = true; });
}

PlacementVersion Jobs::record_start(Job& job, TaskIndex index, const MachineId& machine) {
  before_change(job);
  job.placed_on.resize(job.tasks.size());
  // The version counts batches: all starts up to the next write share one version.
  if (placements_dirty_.insert(job.spec().id).second) ++job.placement_version;
  job.placed_on[index] = machine;
  return job.placement_version;
}

void Jobs::placements_saved(const JobId& id, PlacementVersion version) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  before_change(job);
  job.committed_placement_version = std::max(job.committed_placement_version, version);
}

void Jobs::persist_placements(bool all_confirmed) {
  if (all_confirmed && placement_mark_ == PlacementMark::absent) {
    placement_mark_ = PlacementMark::writing;
    record_all_assignments();
  }
  save_dirty_placements();
  if (placement_mark_ != PlacementMark::writing || !all_placements_committed()) return;
  placement_mark_ = PlacementMark::set;
  out_.push_back(MarkPlacements{});
}

void Jobs::record_all_assignments() {
  for (auto& [id, job] : jobs_) {
    if (!job.records_starts()) continue;
    for (TaskIndex index = 0; index < job.tasks.size(); ++index)
      if (job.tasks[index].phase == Phase::assigned)
        record_start(job, index, job.tasks[index].machine);
  }
}

void Jobs::save_dirty_placements() {
  for (const auto& id : placements_dirty_) {
    const auto& job = jobs_.at(id);
    const bool known = job.placed_on.size() <= kMaxPlacements;
    PlacementRecord record{id, known ? job.placed_on : std::vector<MachineId>{}, known};
    out_.push_back(SavePlacements{std::move(record), job.placement_version});
  }
  placements_dirty_.clear();
}

bool Jobs::all_placements_committed() const {
  return std::none_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    const auto& job = entry.second;
    return job.committed_placement_version < job.placement_version;
  });
}

void Jobs::finish_answered(const JobId& id, TimePoint retry) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  before_change(job);
  job.finishing = false;
  job.finish_retry = retry;
}

void Jobs::finish_completed_jobs(TimePoint now) {
  for (const auto& id : complete_) {
    auto& job = jobs_.at(id);
    if (job.finishing || now < job.finish_retry) continue;
    before_change(job);
    job.finishing = true;
    out_.push_back(FinishJob{id, job.record.revision, job.chunks_written()});
  }
}

}  // namespace violetpulley::core
