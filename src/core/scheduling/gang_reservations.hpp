/// @file
/// Machines that gangs reserve until they can start. A machine is reserved for one gang at most,
/// and nothing but that gang may start there (`Machine::reserved_for`). Owns the reservations and
/// the regions in which a gang is short of machines in the current round.
#pragma once

#include <map>
#include <set>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// What one gang has reserved and requested. A slot is free capacity for one of its tasks.
struct GangReservation {
  /// The zone to reserve in; empty: any zone.
  std::string domain;
  std::set<MachineId> machines;
  /// Slots on machines that are being requested.
  TaskIndex requested = 0;
  /// Slots neither reserved nor requested nor about to become free again.
  TaskIndex missing = 0;
  TimePoint since{};
  /// When the gang last reserved a machine.
  TimePoint last_reserved{};

  /// Whether the gang lacks slots and no request of its own will bring any.
  bool is_short() const { return missing > 0 && requested == 0; }
  bool covers_zone(const std::string& zone) const { return domain.empty() || domain == zone; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.domain, s.machines, s.requested, s.missing, s.since, s.last_reserved);
  }
};

/// How many tasks of a job fit into free capacity; at most all of them.
TaskIndex slots_in(const Resources& free, const JobSpec& spec);

/// The reservations of all gangs.
class GangReservations {
 public:
  /// The gang's reservation, or null.
  GangReservation* find(const JobId& gang);
  const GangReservation* find(const JobId& gang) const;
  GangReservation& open(const JobId& gang, const std::string& domain, TimePoint now);
  /// Ends the gang's reservation, if there is one, and frees its machines.
  void close(Fleet& fleet, const JobId& gang);
  /// Reserves a machine for the gang, which must have a reservation.
  void reserve(Fleet& fleet, const JobId& gang, Machine& machine);
  /// Takes a machine out of the reservation that it belongs to.
  void release(Fleet& fleet, Machine& machine);

  /// Gangs come in the order of the queue. The first gang of a region that is short keeps its
  /// machines; those behind it free theirs, so that no two wait with half of their machines each.
  void new_round() { short_domains_.clear(); }
  void note_short(const std::string& domain) { short_domains_.insert(domain); }
  /// Whether a gang before this one is short in the region, or may be: empty means any zone.
  bool another_is_short(const std::string& domain) const;
  /// Gangs that are short may reserve machines in half of the zones; the rest is for gangs that
  /// find enough at once.
  bool may_be_short(const std::string& domain, std::size_t zones) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reservations_, s.short_domains_);
  }

 private:
  std::map<JobId, GangReservation> reservations_;
  std::set<std::string> short_domains_;
};

}  // namespace violetpulley::core
