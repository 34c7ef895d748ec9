/// @file
/// Work that waits beside free capacity after the last fault of a simulated world. Owns the waiting
/// times.
#pragma once

#include "simulation/diagnosis.hpp"
#include "simulation/live_tasks.hpp"

namespace violetpulley::core::simulated {

/// Measures for how long a task of an array or a service has waited beside a machine that fits, has
/// capacity and works, its team being under its limit. Judges by the world itself, not by what the
/// leader knows.
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

  /// Checks the world at the present step; while a fault lasts, all waiting times begin anew.
  void check(const LiveTasks& live);
  /// Longest such waiting time.
  Seconds longest_wait() const { return longest_wait_; }
  /// What is known of the task that waited longest; empty if its wait was short.
  const std::string& wait_report() const { return wait_report_; }

 private:
  /// Faults that began before the injection ended may last.
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
