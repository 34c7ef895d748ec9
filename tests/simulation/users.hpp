/// @file
/// The users of a simulated world: they submit jobs of all shapes and cancel some. Owns the count
/// of submitted jobs.
#pragma once

#include "simulation/job_registry.hpp"

namespace violetpulley::core::simulated {

/// Draws jobs and cancellations.
class Users {
 public:
  Users(Environment& environment, const Store& store, JobRegistry& jobs)
      : environment_(environment), store_(store), jobs_(jobs) {}

  /// One step of the users.
  void step();
  /// From here on no job is submitted; services run until they are cancelled.
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
