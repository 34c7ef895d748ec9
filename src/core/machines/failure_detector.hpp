/// @file
/// Failure detection between this leader and its machines. Three facts about a machine are tracked
/// separately: a heartbeat proves the state of the machine at the time it was sent; an
/// acknowledgement (a response to commands, or a heartbeat that shows their effect) proves that
/// messages from this leader arrive; and only the answer to a periodic heartbeat renews the lease
/// of the machine (PROTOCOL, "Leases", "Delayed messages", "Outages and cuts"; docs/safety.md,
/// "Heartbeats that prove less than they seem to", "Lease renewal is a third fact"). Owns these
/// times of every machine, and the time since which this leader could have received heartbeats.
/// Decides which machines are responsive, which have been unacknowledged or in an outbound
/// partition for so long that they are returned, and when the leader itself is isolated.
#pragma once

#include "core/machines/fleet.hpp"
#include "core/model/settings.hpp"

namespace violetpulley::core {

/// Whether commands are known to arrive at the machine. A new epoch proves that the earlier tasks
/// have ended, but not that commands arrive, so the machine must acknowledge a message first.
inline bool is_reachable(const Machine& machine) {
  return machine.last_acknowledged && !machine.unacknowledged_since;
}

/// How a heartbeat reached this leader.
enum class HeartbeatSource : std::uint8_t {
  periodic,          ///< sent by the agent periodically; the answer to it renews the lease
  command_response,  ///< returned on the connection of a command batch; does not renew the lease
};

/// Why this leader considers itself isolated from its machines.
enum class IsolationCause : std::uint8_t {
  no_heartbeats,        ///< no machine sends heartbeats to this leader
  no_acknowledgements,  ///< heartbeats arrive, but no command is answered
  no_lease_renewals,    ///< commands are answered, but periodic heartbeats go to other controllers
};

/// Text of the cause for the log and for the Resign action. The text is stored in histories and
/// must not change.
const char* text_of(IsolationCause cause);

/// Records heartbeats and acknowledgements of the machines, and detects silent machines, partitions
/// and the isolation of this leader.
class FailureDetector {
 public:
  FailureDetector(const ControllerSettings& settings, Fleet& fleet, TimePoint elected_at)
      : settings_(settings),
        fleet_(fleet),
        heartbeats_expected_since_(elected_at),
        renewals_expected_since_(elected_at) {}

  /// Records a heartbeat or a response newer than all earlier ones of this machine.
  void record_heartbeat(Machine& machine, HeartbeatSource source, TimePoint now);
  /// Records that a message of this leader has arrived at the machine.
  void record_acknowledgement(Machine& machine, TimePoint now);
  /// Records that the commands sent at `sent` were not answered.
  void record_missed_response(Machine& machine, TimePoint sent);
  /// Resets the acknowledgements of a machine with a new epoch, in which no message of this leader
  /// has arrived yet.
  void agent_restarted(Machine& machine);

  /// Records that a peer receives heartbeats of agents: a leader that receives none is isolated.
  void record_peer_receives_heartbeats(TimePoint now) { peer_heartbeats_at_ = now; }
  /// Whether no heartbeat has arrived in a time in which several are expected.
  bool no_heartbeats(TimePoint now) const;
  /// Whether no periodic heartbeat has arrived for longer than the longest regular gap between two
  /// of them, which includes one unanswered heartbeat.
  bool no_lease_renewals(TimePoint now) const;

  /// Counts the responsive, unacknowledged and partitioned machines; called at a fixed interval.
  /// `serving`: whether heartbeats are accepted. Time in which they are not accepted, or in which
  /// this process was suspended, does not count as silence of the machines.
  void observe_fleet(TimePoint now, bool serving);

  /// Time since the last heartbeat of the machine, without time in which this leader could not have
  /// received one.
  Seconds silence(const Machine& machine, TimePoint now) const;
  /// Whether most machines are responsive, so that a silent machine is likely dead. If more than
  /// half of the fleet is silent, or no heartbeat arrives in a time in which several are expected,
  /// this leader is more likely isolated: in the first seconds of a network partition the machines
  /// appear dead one by one, those with the oldest heartbeats first (docs/incidents/inc-c2d3.md).
  bool most_machines_responsive(TimePoint now) const;
  /// Whether a machine that sends heartbeats but acknowledges nothing is to be returned. True after
  /// `lost_after` if no running task can end within the lease and either a start or stop is pending
  /// there, or the machine has been unacknowledged for longer than the boot of another machine
  /// takes.
  bool inbound_partition_expired(const Machine& machine, Seconds boot_time, TimePoint now) const;
  /// Whether a machine that answers commands but sends no periodic heartbeats is to be returned.
  /// Its lease is not renewed, so every task there ends when the lease does. True if no running
  /// task can end within the lease and the partition has lasted as long as the boot of another
  /// machine takes.
  bool outbound_partition_expired(const Machine& machine, Seconds boot_time, TimePoint now) const;

  /// Why this leader is isolated from its machines; nullopt if it is not isolated.
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
  /// Time since `last`, or since heartbeats are expected if that is later or `last` is unset.
  Duration time_since_heartbeat(const std::optional<TimePoint>& last, TimePoint now) const;
  /// The same for periodic heartbeats.
  Duration time_since_renewal(const std::optional<TimePoint>& last, TimePoint now) const;
  /// Time in which the fleet is expected to send this number of heartbeats, clamped to [min, max].
  Duration expected_time_for(double heartbeats, Seconds min, Seconds max) const;
  /// Longest regular gap between two heartbeats of a healthy machine, including the time in
  /// transit.
  Duration isolated_after() const;
  /// Longest regular gap between two periodic heartbeats of a healthy machine, one of which may
  /// remain unanswered.
  Seconds outbound_partition_after() const;
  /// Whether so many machines are affected at once that the fault is more likely in this leader or
  /// in the network.
  bool is_mass_event(std::size_t machines) const;

  const ControllerSettings& settings_;
  Fleet& fleet_;
  /// Start of the current period in which heartbeats could be received; at the earliest the
  /// election.
  TimePoint heartbeats_expected_since_;
  /// The same for periodic heartbeats. A separate time is needed because in an outbound partition
  /// of all machines only responses to commands arrive, and these do not end the partition.
  TimePoint renewals_expected_since_;
  TimePoint last_observation_{};
  std::optional<TimePoint> last_heartbeat_;      ///< of any machine
  std::optional<TimePoint> last_lease_renewal_;  ///< of any machine
  std::optional<TimePoint> last_acknowledged_;   ///< of any machine
  // Numbers of machines at the last observation.
  std::size_t up_ = 0;                    ///< with an endpoint and not being returned
  std::size_t responsive_ = 0;            ///< up and not silent
  std::size_t unacknowledged_ = 0;        ///< responsive, but without acknowledgement
  std::size_t outbound_partitioned_ = 0;  ///< responsive, but in an outbound partition
  /// Last time at which so many machines were in an outbound partition that it was a mass event.
  std::optional<TimePoint> mass_outbound_partition_at_;
  /// When a peer last reported that it receives heartbeats.
  std::optional<TimePoint> peer_heartbeats_at_;
};

}  // namespace violetpulley::core
