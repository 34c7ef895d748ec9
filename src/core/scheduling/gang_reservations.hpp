/// @file
/// Machines that are reserved for gangs until these can start. A machine is reserved for at most
/// one gang, and only that gang's tasks may start there (`Machine::reserved_for`). Owns the
/// reservations and the placement domains in which a gang lacks machines in the current round. A
/// placement domain is one zone, or any zone if its name is empty.
#pragma once

#include <map>
#include <set>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// What one gang has reserved and requested. A slot is capacity for one of its tasks.
struct GangReservation {
  /// The placement domain: the zone to reserve in, or empty for any zone.
  std::string domain;
  std::set<MachineId> machines;
  /// Slots on machines that are being requested from the cloud.
  TaskIndex requested = 0;
  /// Slots that are neither reserved nor requested nor about to be freed by ending tasks.
  TaskIndex missing = 0;
  TimePoint since{};
  /// When a machine was last added.
  TimePoint last_reserved{};

  /// Whether the gang lacks slots and has no request in flight that would provide them.
  bool is_short() const { return missing > 0 && requested == 0; }
  bool covers_zone(const std::string& zone) const { return domain.empty() || domain == zone; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.domain, s.machines, s.requested, s.missing, s.since, s.last_reserved);
  }
};

/// How many tasks of a job fit into the free capacity, at most the number of its tasks.
TaskIndex slots_in(const Resources& free, const JobSpec& spec);

/// The reservations of all gangs.
class GangReservations {
 public:
  /// The gang's reservation, or null.
  GangReservation* find(const JobId& gang);
  const GangReservation* find(const JobId& gang) const;
  GangReservation& open(const JobId& gang, const std::string& domain, TimePoint now);
  /// Ends the gang's reservation, if it has one, and frees its machines.
  void close(Fleet& fleet, const JobId& gang);
  /// Reserves a machine for the gang, which must have a reservation.
  void reserve(Fleet& fleet, const JobId& gang, Machine& machine);
  /// Removes a machine from the reservation that it belongs to.
  void release(Fleet& fleet, Machine& machine);

  /// Clears the domains in which gangs were short in the last round. Gangs are processed in queue
  /// order: the first one that is short in a domain keeps its machines, and later ones free theirs,
  /// so that no two gangs block each other with half of their machines each.
  void new_round() { short_domains_.clear(); }
  /// Records that a gang of this round is short in the domain.
  void mark_short(const std::string& domain) { short_domains_.insert(domain); }
  /// Whether an earlier gang of this round is short in a domain that overlaps with this one. The
  /// empty domain overlaps with every domain.
  bool earlier_gang_is_short(const std::string& domain) const;
  /// Whether one more gang may hold an incomplete reservation in the domain. Incomplete
  /// reservations may cover half of the zones; the other zones remain for gangs that fit at once.
  bool allows_incomplete_reservation(const std::string& domain, std::size_t zones) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.reservations_, s.short_domains_);
  }

 private:
  std::map<JobId, GangReservation> reservations_;
  std::set<std::string> short_domains_;
};

}  // namespace violetpulley::core
