/// @file
/// Determines once a round which machine types, on-demand machines and free slots are scarce, for
/// packing, scaling out and consolidation. These are exceptions to the design (docs/design.md,
/// "Scarce types", "On-demand machines", "Scarce places"). Owns the results of the last rounds.
#pragma once

#include "core/jobs/jobs.hpp"
#include "core/model/catalog.hpp"

namespace violetpulley::core {

/// Determines and stores which resources are scarce.
class Scarcity {
 public:
  Scarcity(const Catalog& catalog, const Jobs& jobs) : catalog_(catalog), jobs_(jobs) {}

  /// Updates the exclusive types: machine types that some open job needs because its tasks do not
  /// fit every type. Exception to the design: tasks that fit another type do not use these types.
  void update_exclusive_types(TimePoint now);
  /// Whether the type is exclusive and the job's tasks can use a type that is not.
  bool reserved_for_others(const JobSpec& spec, const std::string& type) const;
  std::vector<std::string> types_reserved_for_others(const JobSpec& spec) const;

  /// Updates whether there are gangs, and jobs that may not use spot machines.
  void update_job_kinds();
  void set_exclusive_demand_waiting(bool waiting) { exclusive_demand_waiting_ = waiting; }
  /// Updates whether free slots are scarce. `waiting`: number of waiting tasks. `slots`: number of
  /// tasks of the smallest size that fit the free capacity.
  void update_slot_scarcity(std::size_t waiting, std::size_t slots);

  /// Whether some waiting task does not fit every type.
  bool exclusive_demand_waiting() const { return exclusive_demand_waiting_; }
  /// Whether some job may not use spot machines.
  bool has_on_demand_only_jobs() const { return has_on_demand_only_jobs_; }
  bool has_gangs() const { return has_gangs_; }
  /// Whether many waiting tasks compete for each free slot.
  bool slots_scarce() const { return slots_scarce_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.exclusive_types_, s.exclusive_demand_waiting_, s.has_on_demand_only_jobs_, s.has_gangs_,
      s.slots_scarce_);
  }

 private:
  /// Adds the types that the job's tasks fit as exclusive, unless they fit all types or none.
  void add_exclusive_types(const JobSpec& spec, TimePoint now);

  const Catalog& catalog_;
  const Jobs& jobs_;
  /// Exclusive types, with the last time at which an open job needed the type.
  std::map<std::string, TimePoint> exclusive_types_;
  bool exclusive_demand_waiting_ = false;
  bool has_on_demand_only_jobs_ = false;
  bool has_gangs_ = false;
  bool slots_scarce_ = false;
};

}  // namespace violetpulley::core
