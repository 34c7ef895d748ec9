// Which types and kinds are short for whom (docs/design.md, "Scarce types", "Ordinary machines",
// "Scarce places"): exceptions to the design, decided here once a round for packing, renting and
// clearing. Owns what the last rounds saw.
#pragma once

#include "core/jobs/jobs.hpp"
#include "core/model/catalog.hpp"

namespace violetpulley::core {

class Scarcity {
 public:
  Scarcity(const Catalog& catalog, const Jobs& jobs) : catalog_(catalog), jobs_(jobs) {}

  // Exception to the design: types that some jobs' tasks cannot do without are left to those by
  // tasks that fit another type.
  void note_exclusive_types(TimePoint now);
  bool reserved_for_others(const JobSpec& spec, const std::string& type) const;
  std::vector<std::string> types_for_others(const JobSpec& spec) const;

  void note_jobs();
  void note_waiting(bool exclusive) { exclusive_demand_waiting_ = exclusive; }
  void note_places(std::size_t waiting, std::size_t places);

  bool exclusive_demand_waiting() const {
    return exclusive_demand_waiting_;
  }  // some waiting task does not fit every type
  bool ordinary_work() const { return ordinary_work_; }  // some job may not use spot machines
  bool gangs() const { return gangs_; }                  // some job is a gang
  bool places_scarce() const { return scarce_; }         // many tasks wait for each free place

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.exclusive_types_, s.exclusive_demand_waiting_, s.ordinary_work_, s.gangs_, s.scarce_);
  }

 private:
  const Catalog& catalog_;
  const Jobs& jobs_;
  std::map<std::string, TimePoint> exclusive_types_;  // types that some tasks cannot do without
  bool exclusive_demand_waiting_ = false;
  bool ordinary_work_ = false;
  bool gangs_ = false;
  bool scarce_ = false;
};

}  // namespace violetpulley::core
