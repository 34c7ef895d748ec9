#include "core/jobs/jobs.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kPersistEvery{1000};
constexpr std::size_t kMaxPlacements = 400;  // tasks whose machines fit into one record
}  // namespace

void Jobs::open(const JobRecord& record, TimePoint now) {
  const auto [entry, added] = jobs_.try_emplace(record.spec.id, record);
  if (!added) return;
  entry->second.opened = now;
  out_.want_placing();
}

void Jobs::close(const JobId& id) {
  const auto found = jobs_.find(id);
  auto& job = found->second;
  before_change(job);
  // The end of a job that finishes takes them with it.
  if (auto chunks = job.chunks_written(); !chunks.empty() && !job.finishing)
    out_.push_back(DeleteProgress{id, std::move(chunks)});
  progress_dirty_.erase(id);
  placements_dirty_.erase(id);
  complete_.erase(id);
  jobs_.erase(found);
  out_.want_placing();
}

void Jobs::restore_progress(const ProgressRecord& progress) {
  const auto found = jobs_.find(progress.job);
  if (found == jobs_.end()) {
    out_.push_back(DeleteProgress{progress.job, {progress.chunk}});
    return;
  }
  auto& job = found->second;
  job.chunks_stored.insert(progress.chunk);
  const auto each = [&](const std::vector<IndexRange>& ranges, auto apply) {
    for (const auto& [first, last] : ranges)
      for (TaskIndex i = first; i <= last && i < job.tasks.size(); ++i) apply(i);
  };
  each(progress.done, [&](TaskIndex i) {
    task_done(job, i);
    job.tasks[i].persisted = true;
  });
  each(progress.restarted, [&](TaskIndex i) { job.tasks[i].restarted = true; });
}

void Jobs::restore_placements(const std::vector<PlacementRecord>& records) {
  for (auto& [id, job] : jobs_) job.placements_complete = job.records_starts();
  for (const auto& record : records) {
    const auto found = jobs_.find(record.job);
    if (found == jobs_.end() || !found->second.records_starts()) continue;
    found->second.placements_complete = record.known;
    found->second.placed = record.machines;
  }
  mark_ = Mark::set;
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

void Jobs::persist(TimePoint now) {
  if (now - last_persist_ < kPersistEvery) return;
  last_persist_ = now;
  for (auto entry = progress_dirty_.begin(); entry != progress_dirty_.end();) {
    const auto found = jobs_.find(*entry);
    if (found == jobs_.end() || found->second.complete()) {  // its end is written instead
      entry = progress_dirty_.erase(entry);
      continue;
    }
    auto& job = found->second;
    before_change(job);
    for (auto chunk = job.chunks_dirty.begin(); chunk != job.chunks_dirty.end();) {
      if (job.chunks_in_flight.contains(*chunk)) {
        ++chunk;
        continue;
      }
      job.chunks_in_flight.insert(*chunk);
      const auto first = std::size_t{*chunk} * kProgressChunk;
      out_.push_back(SaveProgress{job.progress(*chunk),
                                  std::min<std::size_t>(kProgressChunk, job.tasks.size() - first)});
      chunk = job.chunks_dirty.erase(chunk);
    }
    entry = job.chunks_dirty.empty() ? progress_dirty_.erase(entry) : std::next(entry);
  }
}

void Jobs::progress_saved(const SaveProgress& saved, bool ok) {
  const auto found = jobs_.find(saved.record.job);
  if (found == jobs_.end()) {
    if (ok) out_.push_back(DeleteProgress{saved.record.job, {saved.record.chunk}});
    return;
  }
  auto& job = found->second;
  before_change(job);
  job.chunks_in_flight.erase(saved.record.chunk);
  job.chunks_stored.insert(saved.record.chunk);
  if (!ok) {
    progress_changed(job, saved.record.chunk * kProgressChunk);
    return;
  }
  for (const auto& [first, last] : saved.record.done)
    for (TaskIndex i = first; i <= last; ++i) job.tasks[i].persisted = true;
}

std::uint64_t Jobs::record_start(Job& job, TaskIndex index, const MachineId& machine) {
  before_change(job);
  job.placed.resize(job.tasks.size());
  // The version counts batches: all starts until the next one is written share it.
  if (placements_dirty_.insert(job.spec().id).second) ++job.placement_version;
  job.placed[index] = machine;
  return job.placement_version;
}

void Jobs::placements_saved(const JobId& id, std::uint64_t version) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  before_change(found->second);
  found->second.committed_placement_version =
      std::max(found->second.committed_placement_version, version);
}

void Jobs::persist_placements(bool all_accounted) {
  if (all_accounted && mark_ == Mark::none) {
    mark_ = Mark::writing;
    for (auto& [id, job] : jobs_) {
      if (!job.records_starts()) continue;
      for (TaskIndex i = 0; i < job.tasks.size(); ++i)
        if (job.tasks[i].phase == Phase::assigned) record_start(job, i, job.tasks[i].machine);
    }
  }
  for (const auto& id : placements_dirty_) {
    const auto& job = jobs_.at(id);
    const bool known = job.placed.size() <= kMaxPlacements;
    out_.push_back(SavePlacements{{id, known ? job.placed : std::vector<MachineId>{}, known},
                                  job.placement_version});
  }
  placements_dirty_.clear();
  if (mark_ != Mark::writing) return;
  const bool open = std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
    return entry.second.committed_placement_version < entry.second.placement_version;
  });
  if (open) return;
  mark_ = Mark::set;
  out_.push_back(MarkPlacements{});
}

void Jobs::finish_answered(const JobId& id, TimePoint retry) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  before_change(found->second);
  found->second.finishing = false;
  found->second.finish_retry = retry;
}

void Jobs::finish_complete(TimePoint now) {
  for (const auto& id : complete_) {
    auto& job = jobs_.at(id);
    if (job.finishing || now < job.finish_retry) continue;
    before_change(job);
    job.finishing = true;
    out_.push_back(FinishJob{id, job.record.revision, job.chunks_written()});
  }
}

}  // namespace violetpulley::core
