/// @file
/// Which machine types, and which of spot and on-demand machines, are short for whom
/// (docs/design.md, "Scarce types", "On-demand machines", "Scarce places"): exceptions to the
/// design, decided here once a round for packing, scaling out and consolidation. Owns what the last
/// rounds have found.
#pragma once

#include "core/jobs/jobs.hpp"
#include "core/model/catalog.hpp"

namespace violetpulley::core {

/// Finds and remembers what is scarce.
class Scarcity {
 public:
  Scarcity(const Catalog& catalog, const Jobs& jobs) : catalog_(catalog), jobs_(jobs) {}

  /// Finds the exclusive types: those that some job's tasks cannot do without. Exception to the
  /// design: they are left to those tasks by tasks that fit another type.
  void update_exclusive_types(TimePoint now);
  /// Whether the job's tasks have to leave the type to others.
  bool reserved_for_others(const JobSpec& spec, const std::string& type) const;
  std::vector<std::string> types_reserved_for_others(const JobSpec& spec) const;

  /// Finds whether there are gangs and jobs that may use no spot machines.
  void update_job_kinds();
  void set_exclusive_demand_waiting(bool waiting) { exclusive_demand_waiting_ = waiting; }
  /// `waiting` tasks compete for `slots`, the tasks of the smallest size that fit now.
  void update_slot_scarcity(std::size_t waiting, std::size_t slots);

  /// Whether some waiting task does not fit every type.
  bool exclusive_demand_waiting() const { return exclusive_demand_waiting_; }
  /// Whether some job may not use spot machines.
  bool has_on_demand_only_jobs() const { return has_on_demand_only_jobs_; }
  bool has_gangs() const { return has_gangs_; }
  /// Whether many tasks wait for each free slot.
  bool slots_scarce() const { return slots_scarce_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.exclusive_types_, s.exclusive_demand_waiting_, s.has_on_demand_only_jobs_, s.has_gangs_,
      s.slots_scarce_);
  }

 private:
  /// Adds the types that the job's tasks fit, unless they fit all types or none.
  void add_exclusive_types(const JobSpec& spec, TimePoint now);

  const Catalog& catalog_;
  const Jobs& jobs_;
  /// When some open job last needed the type and could not use every other.
  std::map<std::string, TimePoint> exclusive_types_;
  bool exclusive_demand_waiting_ = false;
  bool has_on_demand_only_jobs_ = false;
  bool has_gangs_ = false;
  bool slots_scarce_ = false;
};

}  // namespace violetpulley::core
