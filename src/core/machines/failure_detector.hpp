/// @file
/// Failure detection between this leader and its machines. Three facts about a machine are kept
/// apart: a heartbeat proves its state when the heartbeat was sent; an acknowledgement (a response
/// to commands, or a heartbeat that shows their effect) proves that what we send arrives; and only
/// our answer to a periodic heartbeat renews the lease of the machine (PROTOCOL, "Leases", "Delayed
/// messages", "Outages and cuts"; docs/safety.md, "Heartbeats that prove less than they seem to",
/// "Lease renewal is a third fact"). Owns these times of every machine, and since when this leader
/// could have received anything. Decides which machines are responsive, which are unacknowledged or
/// in an outbound partition for so long that they are returned, and when the leader itself is
/// isolated.
#pragma once

#include "core/machines/fleet.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// Whether our commands arrive at the machine, as far as is known. A grown epoch proves that the
/// earlier tasks have ended, not that commands arrive: that waits for an acknowledgement.
inline bool is_reachable(const Machine& machine) {
  return machine.last_acknowledged && !machine.unacknowledged_since;
}

/// How a heartbeat reached this leader.
enum class HeartbeatSource : std::uint8_t {
  periodic,          ///< sent by the agent on its own; our answer renews the lease
  command_response,  ///< returned on the connection of a command batch; renews nothing
};

/// Why this leader considers itself cut off from its machines.
enum class IsolationCause : std::uint8_t {
  no_heartbeats,        ///< nothing is received from any machine
  no_acknowledgements,  ///< heartbeats arrive, and no command is answered
  no_lease_renewals,    ///< commands are answered, and periodic heartbeats go to other controllers
};

/// Text of the cause for the log and for the stored Resign action; its bytes enter the histories.
const char* text_of(IsolationCause cause);

/// Records signs of life of the machines and judges silence, partitions and isolation by them.
class FailureDetector {
 public:
  FailureDetector(const ControllerSettings& settings, Fleet& fleet, TimePoint elected_at)
      : settings_(settings),
        fleet_(fleet),
        heartbeats_expected_since_(elected_at),
        renewals_expected_since_(elected_at) {}

  /// Records a heartbeat or a response newer than all earlier ones of this machine.
  void record_heartbeat(Machine& machine, HeartbeatSource source, TimePoint now);
  /// Records that something we sent has arrived at the machine.
  void record_acknowledgement(Machine& machine, TimePoint now);
  /// Records that the commands sent at `sent` were not answered.
  void record_missed_response(Machine& machine, TimePoint sent);
  /// The machine has a new epoch, in which nothing of ours has arrived yet.
  void agent_restarted(Machine& machine);

  /// A peer receives heartbeats of agents: if this leader receives none, it is isolated.
  void note_peer_receives_heartbeats(TimePoint now) { peer_heartbeats_at_ = now; }
  /// Whether no heartbeat has come for as long as several are expected to take.
  bool no_heartbeats(TimePoint now) const;
  /// Whether no periodic heartbeat has come for longer than an unanswered one may delay the next.
  bool no_lease_renewals(TimePoint now) const;

  /// Counts the responsive, unacknowledged and partitioned machines; called at a fixed interval.
  /// `serving`: whether heartbeats are accepted. Time in which they are not, or in which this
  /// process was suspended, counts as silence of no machine.
  void observe_fleet(TimePoint now, bool serving);

  /// Time without a heartbeat of the machine in which this leader could have received one.
  Seconds silence(const Machine& machine, TimePoint now) const;
  /// Whether a silent machine is likely dead. With half of the fleet silent, or without any
  /// heartbeat for as long as several are expected to take, this leader is more likely cut off: in
  /// the first seconds of a network partition the machines with the oldest heartbeats appear dead,
  /// one by one (docs/incidents/inc-c2d3.md).
  bool most_machines_responsive(TimePoint now) const;
  /// Whether a machine that sends heartbeats and acknowledges nothing is to be returned: tasks are
  /// stuck there and no running task can end within its lease, or waiting has cost as much as
  /// another boot would.
  bool inbound_partition_expired(const Machine& machine, Seconds boot_time, TimePoint now) const;
  /// Whether a machine that answers commands and sends no periodic heartbeats is to be returned.
  /// All that starts there ends with each lease. True if no running task can end within its lease
  /// and waiting has cost as much as another boot would.
  bool outbound_partition_expired(const Machine& machine, Seconds boot_time, TimePoint now) const;

  /// Why this leader is isolated from its machines; none if it is not.
  std::optional<IsolationCause> isolation_cause(TimePoint now) const;
  /// Machines that are sent an empty command batch to learn whether any machine acknowledges.
  std::vector<MachineId> machines_to_probe(TimePoint now) const;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.heartbeats_expected_since_, s.last_observation_, s.last_heartbeat_, s.last_acknowledged_,
      s.up_, s.responsive_, s.unacknowledged_, s.peer_heartbeats_at_, s.last_lease_renewal_,
      s.outbound_partitioned_, s.renewals_expected_since_, s.mass_outbound_partition_at_);
  }

 private:
  void observe_machine(Machine& machine, TimePoint now);
  bool can_probe(const Machine& machine, TimePoint now) const;
  /// Time since `last` in which a heartbeat could have been received; without `last`, since
  /// heartbeats are expected.
  Duration time_since_heartbeat(const std::optional<TimePoint>& last, TimePoint now) const;
  /// The same for periodic heartbeats.
  Duration time_since_renewal(const std::optional<TimePoint>& last, TimePoint now) const;
  /// Time in which so many heartbeats of the fleet are expected, within [min, max].
  Duration expected_time_for(double heartbeats, Seconds min, Seconds max) const;
  /// Longest time that a healthy machine without news may be silent.
  Duration isolated_after() const;
  /// Longest time between two periodic heartbeats of a healthy machine.
  Seconds outbound_partition_after() const;
  /// Whether so many machines are affected at once that this leader or the network is at fault.
  bool is_mass_event(std::size_t machines) const;

  const ControllerSettings& settings_;
  Fleet& fleet_;
  /// Start of the current time of listening; the election at the earliest.
  TimePoint heartbeats_expected_since_;
  /// The same for periodic heartbeats. Kept apart: in an outbound partition of all machines only
  /// responses to commands arrive, which must not count as the end of a partition each time.
  TimePoint renewals_expected_since_;
  TimePoint last_observation_{};
  std::optional<TimePoint> last_heartbeat_;      ///< of any machine
  std::optional<TimePoint> last_lease_renewal_;  ///< of any machine
  std::optional<TimePoint> last_acknowledged_;   ///< of any machine
  std::size_t up_ = 0;                           ///< machines, at the last observation
  std::size_t responsive_ = 0;                   ///< of these, not silent
  std::size_t unacknowledged_ = 0;               ///< of the responsive ones
  std::size_t outbound_partitioned_ = 0;         ///< of the responsive ones
  /// When an outbound partition last was a mass event.
  std::optional<TimePoint> mass_outbound_partition_at_;
  /// When a peer last said that it receives heartbeats.
  std::optional<TimePoint> peer_heartbeats_at_;
};

}  // namespace violetpulley::core
