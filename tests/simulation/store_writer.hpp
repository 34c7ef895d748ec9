/// @file
/// The leaders' writes to the state service of a simulated world. Owns no record.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Carries writes out, with delays, refusals and lost answers.
class StoreWriter {
 public:
  StoreWriter(Environment& environment, Store& store, Leaders& leaders, JobRegistry& jobs,
              JobFacts& facts)
      : environment_(environment), store_(store), leaders_(leaders), jobs_(jobs), facts_(facts) {}

  /// Some ends of jobs are written long after the answer was given up.
  void enable_late_writes() { late_writes_enabled_ = true; }

  void execute(FencingToken token, const SaveMachine& save);
  void execute(FencingToken token, const DeleteMachine& deletion);
  void execute(FencingToken token, const SaveProgress& save);
  void execute(FencingToken token, const DeleteProgress& deletion);
  void execute(FencingToken token, const SavePlacements& save);
  void execute(FencingToken token, const MarkPlacements& mark);
  void execute(FencingToken token, const FinishJob& finish);

  /// Ends of jobs that were written late.
  std::size_t late_writes() const { return late_writes_; }
  /// Times at which the placements were marked as complete.
  std::size_t placement_marks() const { return placement_marks_; }

 private:
  void save_newer_placements(FencingToken token, const PlacementRecord& record,
                             std::uint64_t version);
  void finish_late(FencingToken token, const FinishJob& finish);
  /// False if the store refused to remove the job.
  bool finish_job(FencingToken token, const FinishJob& finish);
  void report_unfinished(FencingToken token, const FinishJob& finish);

  Environment& environment_;
  Store& store_;
  Leaders& leaders_;
  JobRegistry& jobs_;
  JobFacts& facts_;
  bool late_writes_enabled_ = false;
  std::size_t late_writes_ = 0;
  std::size_t placement_marks_ = 0;
};

}  // namespace violetpulley::core::simulated
