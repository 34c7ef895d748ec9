/// @file
/// The leaders' writes to the state service of a simulated world. Owns only counts.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Performs writes, with delays, refusals and lost answers.
class StoreWriter {
 public:
  StoreWriter(Environment& environment, Store& store, Leaders& leaders, JobRegistry& jobs,
              JobFacts& facts)
      : environment_(environment), store_(store), leaders_(leaders), jobs_(jobs), facts_(facts) {}

  /// Makes some writes of the end of a job take effect long after their timeout.
  void enable_late_writes() { late_writes_enabled_ = true; }

  void execute(FencingToken token, const SaveMachine& save);
  void execute(FencingToken token, const DeleteMachine& deletion);
  void execute(FencingToken token, const SaveProgress& save);
  void execute(FencingToken token, const DeleteProgress& deletion);
  void execute(FencingToken token, const SavePlacements& save);
  void execute(FencingToken token, const MarkPlacements& mark);
  void execute(FencingToken token, const FinishJob& finish);

  /// Number of ends of jobs that were written late.
  std::size_t late_writes() const { return late_writes_; }
  /// How often the placements were marked as complete.
  std::size_t placement_marks() const { return placement_marks_; }

 private:
  void save_newer_placements(FencingToken token, const PlacementRecord& record,
                             std::uint64_t version);
  void finish_late(FencingToken token, const FinishJob& finish);
  /// Removes a completed job. Returns false if the store refused the write.
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
