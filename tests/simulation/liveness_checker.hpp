/// @file
/// Detects tasks that wait although capacity is free, after the last fault of a simulated world.
/// Owns the waiting times.
#pragma once

#include "simulation/diagnosis.hpp"
#include "simulation/live_tasks.hpp"

namespace violetpulley::core::simulated {

/// Measures how long tasks of arrays and services wait although a working machine has capacity for
/// them and the limit of their team allows them. Uses the true state of the world, not the state
/// that the leader knows.
class LivenessChecker {
 public:
  LivenessChecker(const Environment& environment, const AgentFleet& fleet, const Store& store,
                  const Leaders& leaders, const JobFacts& facts, const Diagnosis& diagnosis)
      : environment_(environment),
        fleet_(fleet),
        store_(store),
        leaders_(leaders),
        facts_(facts),
        diagnosis_(diagnosis) {}

  /// Checks the current step. While a fault lasts, all waiting times are reset.
  void check(const LiveTasks& live);
  /// Longest waiting time.
  Seconds longest_wait() const { return longest_wait_; }
  /// Describes the task that waited longest; empty if its wait was short.
  const std::string& wait_report() const { return wait_report_; }

 private:
  /// Whether a fault still has effects. Faults may outlast their injection.
  bool fault_lasts() const;
  void check_job(const JobSpec& spec, const LiveTasks& live, std::map<TaskKey, TimePoint>& waiting);
  bool has_capacity_for(const JobSpec& spec, const LiveTasks& live) const;
  void record_wait(const TaskKey& key, TimePoint since, const ZoneCounts& zones);

  const Environment& environment_;
  const AgentFleet& fleet_;
  const Store& store_;
  const Leaders& leaders_;
  const JobFacts& facts_;
  const Diagnosis& diagnosis_;
  std::map<TaskKey, TimePoint> waiting_since_;
  Seconds longest_wait_{0};
  std::string wait_report_;
};

}  // namespace violetpulley::core::simulated
