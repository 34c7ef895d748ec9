// Machines that gangs collect before they start. A machine belongs to one collection at most, and
// nothing but that gang may start there (Machine::reserved_for).
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

struct GangReservation {
  std::string region;  // the zone to collect in; empty: any
  std::set<MachineId> machines;
  TaskIndex asked = 0;    // places on machines that are being rented
  TaskIndex missing = 0;  // places neither claimed nor asked for nor coming back
  TimePoint since{};
  TimePoint grown{};  // when it last claimed a machine

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.region, s.machines, s.asked, s.missing, s.since, s.grown);
  }
};

// How many tasks of a job fit into what a machine has free.
TaskIndex places_on(const Resources& free, const JobSpec& spec);

class GangReservations {
 public:
  GangReservation* find(const JobId& gang);
  GangReservation& open(const JobId& gang, const std::string& region, TimePoint now);
  void close(Fleet& fleet, const JobId& gang);
  void claim(Fleet& fleet, const JobId& gang, Machine& machine);
  void release(Fleet& fleet, Machine& machine);

  // Gangs come in the order of the queue. The first one of a region that cannot get on keeps what
  // it has; those behind it hand theirs over, so that no two wait with half of their machines each.
  void new_round() { short_regions_.clear(); }
  void note_short(const std::string& region) { short_regions_.insert(region); }
  bool another_is_short(const std::string& region) const;
  // Gangs that are short may hold the machines of half of the zones; the rest is for those that
  // find enough at once.
  bool may_be_short(const std::string& region, std::size_t zones) const {
    return !another_is_short(region) && short_regions_.size() < std::max<std::size_t>(1, zones / 2);
  }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reservations_, s.short_regions_);
  }

 private:
  std::map<JobId, GangReservation> reservations_;
  std::set<std::string> short_regions_;
};

}  // namespace violetpulley::core
