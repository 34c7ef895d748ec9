/// @file
/// The users of a simulated world, who submit jobs of all shapes and cancel some of them. Owns the
/// count of submitted jobs.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Submits and cancels random jobs.
class Users {
 public:
  Users(Environment& environment, const Store& store, JobRegistry& jobs)
      : environment_(environment), store_(store), jobs_(jobs) {}

  /// Advances the users by one step.
  void step();
  /// Stops the submission of jobs. Services run until `cancel_services`.
  void stop_submitting() { submitting_ = false; }
  /// Cancels all services.
  void cancel_services();

 private:
  JobSpec draw_job();
  JobSpec draw_array();
  void draw_constraints(JobSpec& spec);
  void make_service(JobSpec& spec);
  void make_gang(JobSpec& spec);
  void cancel_any();
  bool chance(double probability) { return environment_.chance(probability); }
  TaskIndex draw_count(double low, double high);

  Environment& environment_;
  const Store& store_;
  JobRegistry& jobs_;
  bool submitting_ = true;
  int submitted_ = 0;
};

}  // namespace violetpulley::core::simulated
