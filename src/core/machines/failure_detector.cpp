#include "core/machines/failure_detector.hpp"

#include <algorithm>

#include "core/dispatch/command_dispatcher.hpp"

namespace violetpulley::core {

namespace {
// A process that looks every half second and did not for this long stood still.
constexpr std::chrono::milliseconds kPauseThreshold{1500};
// Reports come independently of each other: with so many expected and none heard, chance is out of
// the question for the one (about 1 in 3,000), and for the other even over a whole year.
constexpr double kExpectedForSilence = 8;
constexpr double kExpectedForIsolation = 20;
constexpr Seconds kMinSilence{1};
constexpr Seconds kMinIsolation{2.5};
constexpr Seconds kProbeRetry{3};  // an unanswered ask, the pause after it, and another one
// PROTOCOL, "Workers": a report is given up after 4 s, the next controller is tried 1 s later, and
// it may name another one, which takes up to half a second.
constexpr Seconds kNextControllerDelay{5.5};
constexpr std::size_t kProbes = 4;
constexpr std::chrono::seconds kPeerHeartbeatMemory{4};
}  // namespace

// After a cut of this leader its machines are heard again one by one, and each has been out of
// reach for as long as the cut: neither is their fault (docs/incidents/hunt-fa96.md, where 137
// healthy machines were returned at the end of one).
void FailureDetector::record_heartbeat(Machine& machine, HeartbeatSource said, TimePoint now) {
  fleet_.before_change(machine);
  if (said == HeartbeatSource::heartbeat) {
    machine.last_lease_renewal = last_lease_renewal_ = now;
    machine.outbound_partition_since.reset();
  }
  if (last_heartbeat_ && no_heartbeats(now)) heartbeats_expected_since_ = now;
  if (last_heartbeat_ && now - *last_heartbeat_ > isolated_after() + to_duration(kProbeRetry))
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
  if (!serving || (last_observation_ != TimePoint{} && now - last_observation_ > kPauseThreshold))
    heartbeats_expected_since_ = renewals_expected_since_ = now;
  last_observation_ = now;
  up_ = responsive_ = unacknowledged_ = outbound_partitioned_ = 0;
  const auto silent_after = settings_.tuning.silent_after;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing) continue;
    ++up_;
    if (!machine.last_heartbeat || silence(machine, now) >= silent_after) continue;
    ++responsive_;
    if (machine.unacknowledged_since) ++unacknowledged_;
    if (const auto mute = since_renewed(machine.last_lease_renewal, now);
        !machine.outbound_partition_since && mute > to_duration(outbound_partition_after()))
      fleet_.set(machine, &Machine::outbound_partition_since, {now - mute});
    if (machine.outbound_partition_since) ++outbound_partitioned_;
  }
  if (many(outbound_partitioned_)) mass_outbound_partition_at_ = now;
}

Duration FailureDetector::since(const std::optional<TimePoint>& last, TimePoint now) const {
  return now - std::max(last.value_or(heartbeats_expected_since_), heartbeats_expected_since_);
}

Duration FailureDetector::since_renewed(const std::optional<TimePoint>& last, TimePoint now) const {
  return now - std::max(last.value_or(renewals_expected_since_), renewals_expected_since_);
}

Seconds FailureDetector::silence(const Machine& machine, TimePoint now) const {
  return since(machine.last_heartbeat.value_or(machine.since), now);
}

// The time in which so many reports should have come.
Duration FailureDetector::gap(double heartbeats, Seconds least, Seconds most) const {
  const auto each =
      settings_.workers.heartbeat_interval / static_cast<double>(std::max<std::size_t>(1, up_));
  return to_duration(std::clamp(each * heartbeats, least, std::max(least, most)));
}

// With nothing to tell, a healthy machine is quiet for as long as its reports may be apart.
Duration FailureDetector::isolated_after() const {
  return to_duration(std::max(settings_.tuning.silent_after,
                              settings_.workers.heartbeat_interval * 1.25 + kCommandTravelTime));
}

// One report of a healthy machine may stay unanswered.
Seconds FailureDetector::outbound_partition_after() const {
  return std::max(settings_.tuning.silent_after,
                  settings_.workers.heartbeat_interval * 1.25 + kNextControllerDelay);
}

// So many at once: it is rather this leader, or a cut.
bool FailureDetector::many(std::size_t machines) const {
  return static_cast<double>(machines) >
         std::max(1.0, static_cast<double>(up_) * settings_.tuning.max_declared_dead_share);
}

bool FailureDetector::no_lease_renewals(TimePoint now) const {
  return since_renewed(last_lease_renewal_, now) > to_duration(outbound_partition_after());
}

bool FailureDetector::no_heartbeats(TimePoint now) const {
  return since(last_heartbeat_, now) >=
         gap(kExpectedForSilence, kMinSilence, Seconds(isolated_after()));
}

bool FailureDetector::most_machines_responsive(TimePoint now) const {
  return (responsive_ * 2 >= up_ || up_ == 1) && !no_heartbeats(now);
}

bool FailureDetector::inbound_partition_expired(const Machine& machine, Seconds boot,
                                                TimePoint now) const {
  if (!machine.unacknowledged_since || !machine.confirmed) return false;
  // One that says nothing either is silent, and judged as that.
  if (!machine.last_heartbeat ||
      now - *machine.last_heartbeat > to_duration(settings_.tuning.silent_after))
    return false;
  const Seconds out = now - *machine.unacknowledged_since;
  if (out < settings_.tuning.lost_after) return false;
  // Where many are out of reach at once, it is rather this leader, or a cut that ends: their leases
  // run out by themselves, and nobody is in a hurry.
  if (many(unacknowledged_) && out < settings_.workers.lease + boot) return false;
  const auto lease_left = machine.last_acknowledged
                              ? settings_.workers.lease - Seconds(now - *machine.last_acknowledged)
                              : Seconds(0);
  bool stuck = false;
  for (const auto& [key, assignment] : machine.tasks) {
    if (!assignment.seen || assignment.stop)
      stuck = true;
    else if (remaining_of(assignment, now) < lease_left)
      return false;
  }
  return stuck || out > boot;
}

bool FailureDetector::outbound_partition_expired(const Machine& machine, Seconds boot,
                                                 TimePoint now) const {
  if (!machine.outbound_partition_since || !machine.confirmed) return false;
  const Seconds out = now - *machine.outbound_partition_since;
  // At the end of a cut their reports come one by one: the last of them are no few that are mute.
  const bool cut = mass_outbound_partition_at_ &&
                   now - *mass_outbound_partition_at_ < to_duration(outbound_partition_after());
  if (out < boot || (cut && out < settings_.workers.lease + boot)) return false;
  const auto lease_left = settings_.workers.lease - out;
  return std::none_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    return !entry.second.stop && remaining_of(entry.second, now) < lease_left;
  });
}

const char* FailureDetector::isolation_cause(TimePoint now) const {
  if (up_ < 2 || now - heartbeats_expected_since_ < kMinIsolation) return nullptr;
  // One that gave up lately does so again only if others do hear.
  const bool others = peer_heartbeats_at_ && now - *peer_heartbeats_at_ < kPeerHeartbeatMemory;
  if (!settings_.resigns_when_isolated && !others) return nullptr;
  // One that has heard nobody yet has to wait until its followers' workers come to it.
  const auto patience = last_heartbeat_
                            ? gap(kExpectedForIsolation, kMinIsolation, Seconds(isolated_after()))
                            : to_duration(settings_.tuning.silent_after * 1.5);
  if (since(last_heartbeat_, now) > patience) return "no machine is heard from";
  if (last_heartbeat_ && unacknowledged_ >= std::min(kProbes, up_) &&
      since(last_acknowledged_, now) >
          to_duration(settings_.workers.heartbeat_interval + kProbeRetry))
    return "its machines are heard, and none of them is reached";
  if (others && no_lease_renewals(now))
    return "its machines answer, and report to other controllers";
  return nullptr;
}

std::vector<MachineId> FailureDetector::machines_to_probe(TimePoint now) const {
  std::vector<MachineId> probes;
  // A leader that hears no reports asks before it takes itself for deaf.
  const bool due = no_heartbeats(now) || since(last_acknowledged_, now) >=
                                             to_duration(settings_.workers.heartbeat_interval);
  if (up_ < 2 || !due) return probes;
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing || !machine.confirmed || !machine.last_heartbeat)
      continue;
    if (machine.unacknowledged_since || silence(machine, now) >= settings_.tuning.silent_after)
      continue;
    probes.push_back(id);
    if (probes.size() == kProbes) break;
  }
  return probes;
}

}  // namespace violetpulley::core
