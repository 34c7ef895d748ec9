#include "core/machines/machine_watch.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kWatchInterval{500};
constexpr std::chrono::milliseconds kWatchIntervalWhileReconciling{200};
constexpr std::chrono::seconds kReleaseRetry{3};
constexpr std::size_t kMaxMachinesPerRelease = 100;  // PROTOCOL, POST /rentals/release
constexpr std::size_t kLateTogether = 3;             // machines of a type
constexpr double kMaxBootPatienceFactor = 2.5;       // times the usual patience
constexpr int kImagesPerPass = 20;  // their records only spare fetches after a takeover
// From the end of a leader to the next one's first look: its hold, what is read, and the return's
// way to the cloud (docs/safety.md, "A cancellation that an older leader knew").
constexpr Seconds kTakesOver{5};
}  // namespace

void MachineWatch::note_boots(TimePoint now) {
  boots_.clear();
  for (const auto& [id, machine] : fleet_.all()) {
    auto& type = boots_[machine.type];
    if (machine.up())
      type.youngest_up = std::max(type.youngest_up.value_or(machine.since), machine.since);
    else if (now - machine.since > to_duration(boot_patience(machine, 1)))
      ++type.late;
  }
}

Seconds MachineWatch::boot_of(const Machine& machine) const {
  const auto type = catalog_.types().find(machine.type);
  return type == catalog_.types().end() ? Seconds(60) : type->second.boot;
}

Seconds MachineWatch::boot_patience(const Machine& machine, double times) const {
  return boot_of(machine) * (settings_.tuning.boot_late_factor * times) +
         settings_.workers.heartbeat_interval;
}

// One that others pass never comes up, or so late that a new one is there sooner. Where several are
// late and none that was rented after them is up, a new one would be late as well: then they are
// waited for longer, since each that is returned and rented anew starts from the beginning.
bool MachineWatch::late_to_boot(const Machine& machine, TimePoint now) const {
  const Seconds waited = now - machine.since;
  if (waited <= boot_patience(machine, 1)) return false;
  const auto& type = boots_.at(machine.type);
  const bool passed = type.youngest_up && *type.youngest_up > machine.since;
  return passed || type.late < kLateTogether ||
         waited > boot_patience(machine, kMaxBootPatienceFactor);
}

void MachineWatch::request_release(Machine& machine, const std::string& cause, TimePoint now) {
  if (machine.releasing) return;
  fleet_.before_change(machine);
  machine.releasing = true;
  machine.release_cause = cause;
  machine.release_retry = now;
  out_.want_placing();
}

// A cancelled task that was told to stop long ago and is not proven gone: its machine hangs, or a
// start that was held on its way may bring it yet. It must be gone within `cancel_s`, however many
// others are silent, and a start that was lost would else hold its room for ever
// (docs/combined-failures.md). The cancellation may have been confirmed a serving time before this leader
// heard of it, so a machine that answers and does not show the task is given half a lease (seed
// 1758 of Meetings); one that does not answer runs its lease out unless it hangs.
bool MachineWatch::holds_unconfirmed_cancellation(const Machine& machine, TimePoint now) const {
  const auto lease = settings_.workers.lease;
  const auto patience = to_duration(reached(machine) ? lease / 2 : lease);
  // Of jobs that an older leader saw end; the wait began before we saw them.
  const auto foreign = recovery_.unknown_tasks_since(machine.id);
  if (foreign && now - *foreign > to_duration(lease / 2)) return true;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    const auto& assignment = entry.second;
    return assignment.orphaned && assignment.stop_since && now - *assignment.stop_since > patience;
  });
}

// Nobody has heard of it since the takeover, and a job that was cancelled under an older leader, of
// which no record is left, may have tasks there. That leader would have settled them a lease after
// the cancellation; so what is left of `cancel_s` counts from our takeover. A leader that hears
// nobody is cut off itself: then the workers that do not hang end their tasks with their leases.
bool MachineWatch::may_hold_cancelled(const Machine& machine, TimePoint now) const {
  const auto& times = settings_.workers;
  const auto patience =
      std::max(settings_.tuning.lost_after_failover, times.cancel - times.lease - kTakesOver);
  return reconciler_.silent(machine) && !failure_detector_.no_heartbeats(now) &&
         now - elected_at_ > to_duration(patience);
}

void MachineWatch::declare_dead(Machine& machine, TimePoint now) {
  if (!machine.releasing && recovery_.is_unconfirmed(machine.id))
    reconciler_.count(&ReconciliationStats::returned);
  request_release(machine, "silent", now);
}

bool MachineWatch::watch(TimePoint now, bool serving, TimePoint proved) {
  if (now - last_watch_ <
      (recovery_.recovering() ? kWatchIntervalWhileReconciling : kWatchInterval))
    return false;
  last_watch_ = now;
  reconciler_.judge(now);
  failure_detector_.observe_fleet(now, serving);
  note_boots(now);
  const auto& tuning = settings_.tuning;
  const bool fleet_responsive = failure_detector_.most_machines_responsive(now);
  out_.note_inspections(fleet_.all().size());
  int images_saved = 0;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up()) {
      if (late_to_boot(machine, now)) request_release(machine, "late to boot", now);
    } else {
      const auto last = machine.last_heartbeat.value_or(std::max(machine.since, elected_at_));
      const auto silence = failure_detector_.silence(machine, now);
      const auto silent_after = recovery_.is_unconfirmed(id)
                                    ? std::min(tuning.silent_after, tuning.lost_after_failover)
                                    : tuning.silent_after;
      if (fleet_responsive && reconciler_.unresponsive_too_long(machine)) declare_dead(machine, now);
      if (fleet_responsive && failure_detector_.inbound_partition_expired(machine, boot_of(machine), now))
        request_release(machine, "out of reach", now);
      if (fleet_responsive &&
          failure_detector_.outbound_partition_expired(machine, boot_of(machine), now))
        request_release(machine, "not reporting", now);
      if (silence > silent_after) {
        commands_.mark_due(machine);
        // After a takeover no older task starts until every machine is accounted for, so one that
        // does not answer is returned sooner.
        const auto patience =
            recovery_.is_unconfirmed(id) ? tuning.lost_after_failover : tuning.lost_after;
        // After a takeover most of 2,000 machines had not been asked yet when their time was over,
        // and a quarter of a healthy fleet was returned (docs/incidents/overload.md).
        const bool asked = !recovery_.is_unconfirmed(id) || reconciler_.silent(machine);
        if (fleet_responsive && silence > (asked ? patience : patience + tuning.lost_after))
          declare_dead(machine, now);
        // The lease of a machine that answers nothing has run out, and its tasks with it, unless a
        // newer leader renews it: one that is cut off and does not know yet that it was followed
        // would start them again (seed 1684 of the simulation). So nobody else may have led by the
        // time at which the lease ends.
        if (machine.confirmed && proved - last > to_duration(recovery_.full_lease()) &&
            !(machine.tasks.empty() && machine.task_statuses.empty())) {
          // One that hangs has not run its lease out by itself.
          if (CommandDispatcher::holds_cancelled_task(machine))
            request_release(machine, "silent with cancelled work", now);
          assignments_.lose_all(machine, now);
        }
      }
      if (holds_unconfirmed_cancellation(machine, now) || may_hold_cancelled(machine, now))
        request_release(machine, "with cancelled work", now);
      if (machine.quarantined && machine.tasks.empty()) request_release(machine, "sick", now);
      if (machine.images_changed && machine.registered && !machine.registering &&
          images_saved < kImagesPerPass) {
        ++images_saved;
        registry_.save(machine);
      }
      // Starts and stops that are still open are repeated.
      for (const auto& [key, assignment] : machine.tasks)
        if (!assignment.seen || assignment.stop) commands_.mark_due(machine);
      // Asked until it is known that it is reached: nothing starts there before.
      if (machine.confirmed && !reached(machine)) commands_.mark_due(machine);
    }
  }
  for (const auto& id : failure_detector_.machines_to_probe(now))
    commands_.mark_due(*fleet_.find(id));
  release_machines(now);
  if (const auto* cause = failure_detector_.isolation_cause(now))
    out_.push_back(Resign{cause, true});
  return true;
}

// Calls to the cloud are few a second: returns gather for as long as their share of them demands.
void MachineWatch::release_machines(TimePoint now) {
  const auto gap = Seconds(1 / (kScaleInCallShare * settings_.cloud_calls_per_s));
  if (now - last_release_ < to_duration(gap)) return;
  std::vector<MachineId> release;
  for (auto& [id, machine] : fleet_.all())
    if (machine.releasing && machine.release_retry && now >= *machine.release_retry) {
      fleet_.before_change(machine);
      machine.release_retry = now + kReleaseRetry;
      release.push_back(id);
    }
  if (!release.empty()) last_release_ = now;
  for (std::size_t at = 0; at < release.size(); at += kMaxMachinesPerRelease) {
    ScaleIn action;
    std::map<std::string, int> causes;
    for (auto i = at; i < std::min(release.size(), at + kMaxMachinesPerRelease); ++i) {
      action.machines.push_back(release[i]);
      ++causes[fleet_.find(release[i])->release_cause];
    }
    for (const auto& [cause, count] : causes)
      action.cause += (action.cause.empty() ? "" : ", ") + std::to_string(count) + " " + cause;
    out_.push_back(std::move(action));
  }
}

void MachineWatch::return_failed(Machine& machine, TimePoint now) {
  fleet_.before_change(machine);
  machine.release_retry = now + kReleaseRetry;
}

}  // namespace violetpulley::core
