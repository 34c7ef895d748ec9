#include "simulation/store_writer.hpp"

#include <gtest/gtest.h>

namespace violetpulley::core::simulated {
namespace {

constexpr double kMinWriteTime = 0.01;  // seconds
constexpr double kMaxWriteTime = 0.5;
constexpr double kMaxMarkWriteTime = 1.0;
constexpr double kMaxFinishWriteTime = 2.0;
constexpr double kMaxPlacementWriteTime = 2.0;
constexpr double kMaxPlacementWriteTimeWithoutFaults = 0.4;
constexpr Seconds kDeletionRetry{0.5};
constexpr double kLateFinishChance = 0.2;
constexpr double kMinLateFinishDelay = 2;  // seconds
constexpr double kMaxLateFinishDelay = 12;
constexpr Seconds kFinishTimeout{1.5};

}  // namespace

void StoreWriter::execute(FencingToken token, const SaveMachine& save) {
  store_.write(
      token, environment_.uniform_seconds(kMinWriteTime, kMaxWriteTime), [this, token, save] {
        const auto& record = save.record;
        const bool ok = store_.accepts(token) && !environment_.chance(environment_.message_loss());
        // The record of a provisioned machine has a page of its own, so a late write of it
        // does not replace the record of the registered machine.
        const bool provisioning_only = record.endpoint.empty();
        if (ok && (!provisioning_only || !store_.machines.contains(record.id)))
          store_.machines[record.id] = record;
        if (ok) leaders_.write_committed(token);
        if (auto* leader = leaders_.find(token))
          leaders_.feed(*leader, MachineSaved{record.id, !provisioning_only, ok});
      });
}

void StoreWriter::execute(FencingToken token, const DeleteMachine& deletion) {
  store_.write(token, environment_.uniform_seconds(kMinWriteTime, kMaxWriteTime),
               [this, token, deletion] {
                 if (!store_.accepts(token)) return;
                 store_.machines.erase(deletion.id);
                 leaders_.write_committed(token);
               });
}

void StoreWriter::execute(FencingToken token, const SaveProgress& save) {
  store_.write(token, environment_.uniform_seconds(kMinWriteTime, kMaxWriteTime),
               [this, token, save] {
                 const bool ok = store_.accepts(token);
                 if (ok) store_.progress[{save.record.job, save.record.chunk}] = save.record;
                 // The answer may be lost although the write took effect.
                 if (auto* leader = leaders_.find(token)) {
                   const bool answered = ok && !environment_.chance(environment_.message_loss());
                   if (answered) leaders_.write_committed(token);
                   leaders_.feed(*leader, ProgressSaved{save, answered});
                 }
               });
}

void StoreWriter::execute(FencingToken token, const DeleteProgress& deletion) {
  const auto erase = [this, token, deletion] {
    if (!store_.accepts(token)) return;
    for (const auto chunk : deletion.chunks) store_.progress.erase({deletion.job, chunk});
  };
  if (store_.refuses_leader)
    store_.write(token, kDeletionRetry, erase);
  else
    erase();
}

// Without an answer, the leader repeats the write. A late write of a former leader is rejected.
void StoreWriter::execute(FencingToken token, const SavePlacements& save) {
  const double longest =
      environment_.faults_active() ? kMaxPlacementWriteTime : kMaxPlacementWriteTimeWithoutFaults;
  store_.write(token, environment_.uniform_seconds(kMinWriteTime, longest), [this, token, save] {
    if (!store_.accepts(token)) return;
    save_newer_placements(token, save.record, save.version);
    leaders_.write_committed(token);
    if (auto* leader = leaders_.find(token))
      leaders_.feed(*leader, PlacementsSaved{save.record.job, save.version});
  });
}

// Keeps the newer version if writes arrive out of order, as the revision of the page does in the
// state service.
void StoreWriter::save_newer_placements(FencingToken token, const PlacementRecord& record,
                                        std::uint64_t version) {
  auto& newest = store_.placement_versions[record.job];
  const std::pair written{token, version};
  if (!jobs_.is_open(record.job) || written <= newest) return;
  newest = written;
  store_.placements[record.job] = record;
}

void StoreWriter::execute(FencingToken token, const MarkPlacements&) {
  store_.write(token, environment_.uniform_seconds(kMinWriteTime, kMaxMarkWriteTime),
               [this, token] {
                 if (!store_.accepts(token)) return;
                 store_.placements_marked = true;
                 ++placement_marks_;
               });
}

void StoreWriter::execute(FencingToken token, const FinishJob& finish) {
  if (late_writes_enabled_ && environment_.optional_fault_chance(kLateFinishChance))
    return finish_late(token, finish);
  store_.write(token, environment_.uniform_seconds(kMinWriteTime, kMaxFinishWriteTime),
               [this, token, finish] {
                 if (!finish_job(token, finish)) report_unfinished(token, finish);
               });
}

// The answer is lost and the write takes effect late, possibly after the leader has retried it.
void StoreWriter::finish_late(FencingToken token, const FinishJob& finish) {
  ++late_writes_;
  environment_.after(environment_.optional_fault_seconds(kMinLateFinishDelay, kMaxLateFinishDelay),
                     [this, token, finish] { finish_job(token, finish); });
  environment_.after(kFinishTimeout, [this, token, finish] { report_unfinished(token, finish); });
}

bool StoreWriter::finish_job(FencingToken token, const FinishJob& finish) {
  const auto job = store_.jobs.find(finish.job);
  if (!store_.accepts(token) || store_.outage || job == store_.jobs.end() ||
      job->second.revision != finish.revision)
    return false;
  // Rule not_done: a job may be reported as done only after all of its tasks have completed.
  for (TaskIndex i = 0; i < job->second.spec.tasks; ++i)
    EXPECT_TRUE(facts_.completed.contains({finish.job, i}))
        << "not_done " << finish.job << "/" << i;
  EXPECT_FALSE(facts_.cancelled_at.contains(finish.job))
      << "went_back: cancelled job reported done";
  facts_.finished.insert(finish.job);
  for (const auto chunk : finish.chunks) store_.progress.erase({finish.job, chunk});
  jobs_.close(finish.job);
  return true;
}

void StoreWriter::report_unfinished(FencingToken token, const FinishJob& finish) {
  if (auto* leader = leaders_.find(token))
    leaders_.feed(*leader, FinishAnswered{finish.job, environment_.now()});
}

}  // namespace violetpulley::core::simulated
