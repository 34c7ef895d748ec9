/// @file
/// Opens, cancels and closes jobs in the store and publishes the changes to the leader. Stateless.
#pragma once

#include "simulation/leaders.hpp"

namespace violetpulley::core::simulated {

/// Changes the unfinished jobs in the store, as controllers do before they respond to users.
class JobRegistry {
 public:
  JobRegistry(Environment& environment, Store& store, Leaders& leaders, JobFacts& facts)
      : environment_(environment), store_(store), leaders_(leaders), facts_(facts) {}

  /// Stores a submitted job.
  void open(const JobSpec& spec);
  /// Cancels a job and records the time of the confirmation. Does nothing while the store is down.
  void cancel(const JobId& id);
  /// Cancels the first job in the store. Does nothing if there is none or the store is down.
  void cancel_first();
  /// Removes a completed or cancelled job from the store.
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
