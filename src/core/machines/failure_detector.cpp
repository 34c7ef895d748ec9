/// @file
/// Time limits after which a machine or this leader counts as partitioned, and their evaluation.
#include "core/machines/failure_detector.hpp"

#include <algorithm>

#include "core/dispatch/command_dispatcher.hpp"

namespace violetpulley::core {

namespace {
// The fleet is observed every 500 ms; a gap longer than this means that this process was suspended.
constexpr std::chrono::milliseconds kSuspensionThreshold{1500};
// Heartbeats of different machines are independent. The probability of receiving none of 8 expected
// heartbeats by chance is about 1 in 3,000; none of 20 does not occur by chance within a year.
constexpr double kMissedHeartbeatsForSilence = 8;
constexpr double kMissedHeartbeatsForIsolation = 20;
constexpr Seconds kMinSilence{1};
constexpr Seconds kMinIsolation{2.5};
// A new leader waits this multiple of `silent_after` for its first heartbeat, since agents that
// report to other controllers have to find the new leader first.
constexpr double kFirstHeartbeatFactor = 1.5;
// A healthy agent may exceed the heartbeat interval by this factor.
constexpr double kIntervalTolerance = 1.25;
// Covers an unanswered probe, the pause after it, and a second probe.
constexpr Seconds kProbeTimeout{3};
// PROTOCOL, "Workers": an agent abandons a heartbeat after 4 s and tries the next controller 1 s
// later; a redirect by that controller takes up to 0.5 s.
constexpr Seconds kNextControllerDelay{5.5};
constexpr std::size_t kMaxProbes = 4;
constexpr std::chrono::seconds kPeerHeartbeatValidity{4};
}  // namespace

const char* text_of(IsolationCause cause) {
  switch (cause) {
    case IsolationCause::no_heartbeats:
      return "no machine is heard from";
    case IsolationCause::no_acknowledgements:
      return "its machines are heard, and none of them is reached";
    case IsolationCause::no_lease_renewals:
      return "its machines answer, and report to other controllers";
  }
  return "";
}

// After a network partition of this leader the heartbeats of its machines resume one by one, and
// each machine has been unacknowledged for as long as the partition lasted. Neither is a fault of
// the machine, so both times are reset. Otherwise the leader returns healthy machines at the end of
// the partition: 137 machines in docs/incidents/hunt-fa96.md.
void FailureDetector::record_heartbeat(Machine& machine, HeartbeatSource source, TimePoint now) {
  fleet_.before_change(machine);
  if (source == HeartbeatSource::periodic) {
    machine.last_lease_renewal = last_lease_renewal_ = now;
    machine.outbound_partition_since.reset();
  }
  if (last_heartbeat_ && no_heartbeats(now)) heartbeats_expected_since_ = now;
  if (last_heartbeat_ && now - *last_heartbeat_ > isolated_after() + to_duration(kProbeTimeout))
    renewals_expected_since_ = now;
  if (machine.unacknowledged_since && machine.last_heartbeat &&
      now - *machine.last_heartbeat > to_duration(settings_.tuning.silent_after))
    machine.unacknowledged_since = now;
  machine.last_heartbeat = now;
  last_heartbeat_ = now;
}

void FailureDetector::record_acknowledgement(Machine& machine, TimePoint now) {
  fleet_.before_change(machine);
  machine.last_acknowledged = now;
  machine.unacknowledged_since.reset();
  last_acknowledged_ = now;
}

void FailureDetector::record_missed_response(Machine& machine, TimePoint sent) {
  if (machine.unacknowledged_since) return;
  fleet_.before_change(machine);
  machine.unacknowledged_since = sent;
}

void FailureDetector::agent_restarted(Machine& machine) {
  fleet_.before_change(machine);
  machine.last_acknowledged.reset();
}

void FailureDetector::observe_fleet(TimePoint now, bool serving) {
  const bool was_suspended =
      last_observation_ != TimePoint{} && now - last_observation_ > kSuspensionThreshold;
  if (!serving || was_suspended) heartbeats_expected_since_ = renewals_expected_since_ = now;
  last_observation_ = now;
  up_ = responsive_ = unacknowledged_ = outbound_partitioned_ = 0;
  for (auto& [id, machine] : fleet_.all())
    if (machine.up() && !machine.releasing) observe_machine(machine, now);
  if (is_mass_event(outbound_partitioned_)) mass_outbound_partition_at_ = now;
}

void FailureDetector::observe_machine(Machine& machine, TimePoint now) {
  ++up_;
  if (!machine.last_heartbeat || silence(machine, now) >= settings_.tuning.silent_after) return;
  ++responsive_;
  if (machine.unacknowledged_since) ++unacknowledged_;
  const auto without_renewal = time_since_renewal(machine.last_lease_renewal, now);
  if (!machine.outbound_partition_since &&
      without_renewal > to_duration(outbound_partition_after()))
    fleet_.set(machine, &Machine::outbound_partition_since, {now - without_renewal});
  if (machine.outbound_partition_since) ++outbound_partitioned_;
}

Duration FailureDetector::time_since_heartbeat(const std::optional<TimePoint>& last,
                                               TimePoint now) const {
  return now - std::max(last.value_or(heartbeats_expected_since_), heartbeats_expected_since_);
}

Duration FailureDetector::time_since_renewal(const std::optional<TimePoint>& last,
                                             TimePoint now) const {
  return now - std::max(last.value_or(renewals_expected_since_), renewals_expected_since_);
}

Seconds FailureDetector::silence(const Machine& machine, TimePoint now) const {
  return time_since_heartbeat(machine.last_heartbeat.value_or(machine.requested_at), now);
}

Duration FailureDetector::expected_time_for(double heartbeats, Seconds min, Seconds max) const {
  const auto mean_gap =
      settings_.workers.heartbeat_interval / static_cast<double>(std::max<std::size_t>(1, up_));
  return to_duration(std::clamp(mean_gap * heartbeats, min, std::max(min, max)));
}

Duration FailureDetector::isolated_after() const {
  return to_duration(
      std::max(settings_.tuning.silent_after,
               settings_.workers.heartbeat_interval * kIntervalTolerance + kCommandTravelTime));
}

// The limit tolerates one heartbeat without a response, which also healthy machines may have.
Seconds FailureDetector::outbound_partition_after() const {
  return std::max(settings_.tuning.silent_after,
                  settings_.workers.heartbeat_interval * kIntervalTolerance + kNextControllerDelay);
}

bool FailureDetector::is_mass_event(std::size_t machines) const {
  return static_cast<double>(machines) >
         std::max(1.0, static_cast<double>(up_) * settings_.tuning.max_declared_dead_share);
}

bool FailureDetector::no_lease_renewals(TimePoint now) const {
  return time_since_renewal(last_lease_renewal_, now) > to_duration(outbound_partition_after());
}

bool FailureDetector::no_heartbeats(TimePoint now) const {
  return time_since_heartbeat(last_heartbeat_, now) >=
         expected_time_for(kMissedHeartbeatsForSilence, kMinSilence, Seconds(isolated_after()));
}

bool FailureDetector::most_machines_responsive(TimePoint now) const {
  return (responsive_ * 2 >= up_ || up_ == 1) && !no_heartbeats(now);
}

bool FailureDetector::inbound_partition_expired(const Machine& machine, Seconds boot_time,
                                                TimePoint now) const {
  if (!machine.unacknowledged_since || !machine.confirmed) return false;
  // A machine that sends no heartbeats either is handled by the check for silent machines.
  if (!machine.last_heartbeat ||
      now - *machine.last_heartbeat > to_duration(settings_.tuning.silent_after))
    return false;
  const Seconds unacknowledged = now - *machine.unacknowledged_since;
  if (unacknowledged < settings_.tuning.lost_after) return false;
  // If many machines are unacknowledged at once, the cause is more likely this leader or a network
  // partition that will end. The leases run out without any action, so waiting is safe.
  if (is_mass_event(unacknowledged_) && unacknowledged < settings_.workers.lease + boot_time)
    return false;
  const auto lease_left = machine.last_acknowledged
                              ? settings_.workers.lease - Seconds(now - *machine.last_acknowledged)
                              : Seconds(0);
  bool has_stuck_task = false;
  for (const auto& [key, assignment] : machine.tasks) {
    if (!assignment.reported || assignment.stop)
      has_stuck_task = true;
    else if (remaining_of(assignment, now) < lease_left)
      return false;
  }
  return has_stuck_task || unacknowledged > boot_time;
}

bool FailureDetector::outbound_partition_expired(const Machine& machine, Seconds boot_time,
                                                 TimePoint now) const {
  if (!machine.outbound_partition_since || !machine.confirmed) return false;
  const Seconds partitioned = now - *machine.outbound_partition_since;
  // At the end of a network partition the heartbeats resume one by one: the last partitioned
  // machines still belong to the mass event although they are few.
  const bool is_part_of_mass_event =
      mass_outbound_partition_at_ &&
      now - *mass_outbound_partition_at_ < to_duration(outbound_partition_after());
  if (partitioned < boot_time) return false;
  if (is_part_of_mass_event && partitioned < settings_.workers.lease + boot_time) return false;
  const auto lease_left = settings_.workers.lease - partitioned;
  return std::none_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    return !entry.second.stop && remaining_of(entry.second, now) < lease_left;
  });
}

std::optional<IsolationCause> FailureDetector::isolation_cause(TimePoint now) const {
  if (up_ < 2 || now - heartbeats_expected_since_ < kMinIsolation) return std::nullopt;
  // A leader that resigned recently resigns again only if other controllers receive heartbeats.
  const bool peers_receive_heartbeats =
      peer_heartbeats_at_ && now - *peer_heartbeats_at_ < kPeerHeartbeatValidity;
  if (!settings_.resigns_when_isolated && !peers_receive_heartbeats) return std::nullopt;
  const auto timeout = last_heartbeat_
                           ? expected_time_for(kMissedHeartbeatsForIsolation, kMinIsolation,
                                               Seconds(isolated_after()))
                           : to_duration(settings_.tuning.silent_after * kFirstHeartbeatFactor);
  if (time_since_heartbeat(last_heartbeat_, now) > timeout) return IsolationCause::no_heartbeats;
  if (last_heartbeat_ && unacknowledged_ >= std::min(kMaxProbes, up_) &&
      time_since_heartbeat(last_acknowledged_, now) >
          to_duration(settings_.workers.heartbeat_interval + kProbeTimeout))
    return IsolationCause::no_acknowledgements;
  if (peers_receive_heartbeats && no_lease_renewals(now)) return IsolationCause::no_lease_renewals;
  return std::nullopt;
}

std::vector<MachineId> FailureDetector::machines_to_probe(TimePoint now) const {
  std::vector<MachineId> probes;
  // A leader that receives no heartbeats sends probes before it considers itself isolated.
  const bool is_due = no_heartbeats(now) || time_since_heartbeat(last_acknowledged_, now) >=
                                                to_duration(settings_.workers.heartbeat_interval);
  if (up_ < 2 || !is_due) return probes;
  for (const auto& [id, machine] : fleet_.all()) {
    if (!can_probe(machine, now)) continue;
    probes.push_back(id);
    if (probes.size() == kMaxProbes) break;
  }
  return probes;
}

bool FailureDetector::can_probe(const Machine& machine, TimePoint now) const {
  if (!machine.up() || machine.releasing || !machine.confirmed || !machine.last_heartbeat)
    return false;
  return !machine.unacknowledged_since && silence(machine, now) < settings_.tuning.silent_after;
}

}  // namespace violetpulley::core
