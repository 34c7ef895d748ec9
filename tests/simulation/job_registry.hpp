/// @file
/// Opens, cancels and closes jobs in the store and publishes the changes to the leader. Owns no
/// state.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Changes of the store's unfinished jobs, as the controllers confirm them to users.
class JobRegistry {
 public:
  JobRegistry(Environment& environment, Store& store, Leaders& leaders, JobFacts& facts)
      : environment_(environment), store_(store), leaders_(leaders), facts_(facts) {}

  /// Accepts a job.
  void open(const JobSpec& spec);
  /// Confirms a cancellation, unless the store is down.
  void cancel(const JobId& id);
  /// Cancels the first job of the store; nothing if there is none or the store is down.
  void cancel_first();
  /// Removes a job that is done or cancelled.
  void close(const JobId& id);
  bool is_open(const JobId& id) const { return store_.jobs.contains(id); }

 private:
  void publish(Store::Callback deliver);

  Environment& environment_;
  Store& store_;
  Leaders& leaders_;
  JobFacts& facts_;
};

}  // namespace violetpulley::core::simulated
