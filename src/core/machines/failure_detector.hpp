// Whom this leader hears, whom it reaches and whose lease it renews. These are three facts: a
// report proves what a machine was when it was sent, an answer to an order (or a report that shows
// the effect of one) that what we say arrives there, and only the answer to a report of the
// machine's own renews its lease (PROTOCOL, "Leases", "Delayed messages", "Outages and cuts";
// docs/safety.md, "Reports that prove less than they seem to", "Renewed is a third fact"). Owns the
// facts of every machine, and since when this leader could have heard anything; decides which
// machines are reached, which are out of reach or mute for so long that they are given up, and when
// the leader itself is the one that is cut off.
#pragma once

#include "core/machines/fleet.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

// Our word arrives there, as far as is known. A session that has grown proves that the tasks before
// it are gone, not that we reach the machine: that waits for proof.
inline bool reached(const Machine& machine) {
  return machine.last_acknowledged && !machine.unacknowledged_since;
}

// What a worker says: in a report of its own, or in the answer to an order.
enum class HeartbeatSource : std::uint8_t { heartbeat, answer };

class FailureDetector {
 public:
  FailureDetector(const ControllerSettings& settings, Fleet& fleet, TimePoint elected_at)
      : settings_(settings),
        fleet_(fleet),
        heartbeats_expected_since_(elected_at),
        renewals_expected_since_(elected_at) {}

  // A report or an answer newer than all seen of this machine.
  void record_heartbeat(Machine& machine, HeartbeatSource said, TimePoint now);
  // Something that we sent has arrived.
  void record_acknowledgement(Machine& machine, TimePoint now);
  // Orders that were sent then were not answered.
  void record_missed_response(Machine& machine, TimePoint sent);
  // Nothing is known of the machine's new session yet but that it exists.
  void agent_restarted(Machine& machine);

  // Workers come to another controller: if this one hears none, it is this one that is cut off.
  void note_peer_receives_heartbeats(TimePoint now) { peer_heartbeats_at_ = now; }
  bool no_heartbeats(TimePoint now) const;
  // No report of a machine's own has come for longer than an unanswered one may delay the next.
  bool no_lease_renewals(TimePoint now) const;

  // Looks at the fleet. `serving`: reports are taken in. Time in which they are not, or in which
  // this process stood still, is nobody's silence.
  void observe_fleet(TimePoint now, bool serving);

  // How long it has said nothing that could have been heard.
  Seconds silence(const Machine& machine, TimePoint now) const;
  // Machines that fall silent while others are heard are likely dead. With half of the fleet
  // silent, or with nobody heard for as long as many reports should have come, it is rather this
  // leader: in the first seconds of a cut the machines that had reported longest ago look dead, one
  // by one (docs/incidents/inc-c2d3.md).
  bool most_machines_responsive(TimePoint now) const;
  // It is heard, cannot be told anything, and is to be returned: tasks are stuck there and nothing
  // that runs there can end within its lease, or waiting has cost as much as another boot would.
  bool inbound_partition_expired(const Machine& machine, Seconds boot, TimePoint now) const;
  // It answers orders, reports to nobody, so that all that starts there ends with each lease, and
  // is to be returned: nothing that runs there can end within its lease, and waiting has cost as
  // much as another boot would.
  bool outbound_partition_expired(const Machine& machine, Seconds boot, TimePoint now) const;

  // This leader hears or reaches none of its machines, though it should: the cause, or null.
  const char* isolation_cause(TimePoint now) const;
  // Machines that are asked only to learn whether anybody is reached.
  std::vector<MachineId> machines_to_probe(TimePoint now) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.heartbeats_expected_since_, s.last_observation_, s.last_heartbeat_, s.last_acknowledged_,
      s.up_, s.responsive_, s.unacknowledged_, s.peer_heartbeats_at_, s.last_lease_renewal_,
      s.outbound_partitioned_, s.renewals_expected_since_, s.mass_outbound_partition_at_);
  }

 private:
  // Since `last`, as far as anything could have been noticed; without it since we listen.
  Duration since(const std::optional<TimePoint>& last, TimePoint now) const;
  Duration since_renewed(const std::optional<TimePoint>& last, TimePoint now) const;
  Duration gap(double heartbeats, Seconds least, Seconds most) const;
  Duration isolated_after() const;
  Seconds outbound_partition_after() const;
  bool many(std::size_t machines) const;

  const ControllerSettings& settings_;
  Fleet& fleet_;
  TimePoint heartbeats_expected_since_;  // the takeover at the earliest
  // The same for reports of the machines' own: where all are mute, they are heard only when asked,
  // which is no end of a cut each time.
  TimePoint renewals_expected_since_;
  TimePoint last_observation_{};
  std::optional<TimePoint> last_heartbeat_;      // any machine
  std::optional<TimePoint> last_lease_renewal_;  // any machine
  std::optional<TimePoint> last_acknowledged_;   // any machine
  std::size_t up_ = 0;                           // at the last look, as the next two
  std::size_t responsive_ = 0;
  std::size_t unacknowledged_ = 0;        // heard lately and not reached
  std::size_t outbound_partitioned_ = 0;  // heard lately, and not by reports
  std::optional<TimePoint>
      mass_outbound_partition_at_;  // when so many last were that it was rather a cut
  std::optional<TimePoint> peer_heartbeats_at_;
};

}  // namespace violetpulley::core
