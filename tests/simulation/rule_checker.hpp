/// @file
/// Checks the safety rules that must hold at every step of a simulated world (docs/safety.md). Owns
/// the longest time for which a task of a cancelled job stayed live.
#pragma once

#include "simulation/diagnosis.hpp"
#include "simulation/live_tasks.hpp"

namespace violetpulley::core::simulated {

/// Checks the rules ran_twice, ran_cancelled, wrong_place and quota. A violation fails the test.
class RuleChecker {
 public:
  RuleChecker(const Environment& environment, const JobFacts& facts, const Diagnosis& diagnosis)
      : environment_(environment), facts_(facts), diagnosis_(diagnosis) {}

  /// Checks the current step.
  void check(const LiveTasks& live);
  /// Longest time from a confirmed cancellation to the end of the job's last live task.
  Seconds longest_cancellation() const { return longest_cancellation_; }

 private:
  static void check_ran_once(const LiveTasks& live);
  void check_cancelled(const LiveTasks& live);
  void check_places(const LiveTasks& live) const;
  void check_quotas(const LiveTasks& live) const;

  const Environment& environment_;
  const JobFacts& facts_;
  const Diagnosis& diagnosis_;
  Seconds longest_cancellation_{0};
};

}  // namespace violetpulley::core::simulated
