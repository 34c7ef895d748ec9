/// @file
/// The periodic checks of machines, and the requests that return them to the cloud.
#include "core/machines/machine_watch.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kCheckInterval{500};
constexpr std::chrono::milliseconds kCheckIntervalWhileReconciling{200};
constexpr std::chrono::seconds kReleaseRetry{3};
constexpr std::size_t kMaxMachinesPerRelease = 100;  // PROTOCOL, POST /rentals/release
constexpr std::size_t kMassLateBootCount = 3;        // late machines of a type at once
constexpr double kMaxBootTimeoutFactor = 2.5;        // times the usual patience
constexpr int kMaxImageSavesPerPass = 20;  // these records only save fetches after a failover
constexpr Seconds kDefaultBootTime{60};    // of a machine type that the catalog does not list
// From the end of a leader to the first check of the next one: its store lease, reading the stored
// state, and the request to the cloud (docs/safety.md, "A cancellation that an older leader knew").
constexpr Seconds kFailoverTime{5};
}  // namespace

void MachineWatch::count_boots(TimePoint now) {
  boots_.clear();
  for (const auto& [id, machine] : fleet_.all()) {
    auto& type = boots_[machine.type];
    if (machine.up())
      type.youngest_up =
          std::max(type.youngest_up.value_or(machine.requested_at), machine.requested_at);
    else if (now - machine.requested_at > to_duration(boot_timeout(machine, 1)))
      ++type.late;
  }
}

Seconds MachineWatch::boot_time_of(const Machine& machine) const {
  const auto type = catalog_.types().find(machine.type);
  return type == catalog_.types().end() ? kDefaultBootTime : type->second.boot;
}

Seconds MachineWatch::boot_timeout(const Machine& machine, double factor) const {
  return boot_time_of(machine) * (settings_.tuning.boot_late_factor * factor) +
         settings_.workers.heartbeat_interval;
}

// A machine is late if machines requested after it are up already: it never comes up, or so late
// that a new machine would be up sooner. Where several machines of a type are late and no younger
// one is up, a new machine would be late as well. Then the patience is longer, since a machine that
// is requested anew starts its boot from the beginning.
bool MachineWatch::is_late_to_boot(const Machine& machine, TimePoint now) const {
  const Seconds waited = now - machine.requested_at;
  if (waited <= boot_timeout(machine, 1)) return false;
  const auto& type = boots_.at(machine.type);
  const bool is_younger_up = type.youngest_up && *type.youngest_up > machine.requested_at;
  return is_younger_up || type.late < kMassLateBootCount ||
         waited > boot_timeout(machine, kMaxBootTimeoutFactor);
}

void MachineWatch::request_release(Machine& machine, const std::string& cause, TimePoint now) {
  if (machine.releasing) return;
  fleet_.before_change(machine);
  machine.releasing = true;
  machine.release_cause = cause;
  machine.release_retry = now;
  out_.request_scheduling_round();
}

// A cancelled task whose stop was sent long ago and whose end is not proven: its machine hangs, or
// a delayed start command may still bring the task back. It must end within `cancel_s`, however
// many machines are silent, and a lost start would otherwise keep its resources for ever
// (docs/combined-failures.md). The cancellation may have been confirmed a serving time before it
// was known here, so a machine that answers and does not list the task gets half a lease (seed 1758
// of Meetings); a machine that does not answer runs its lease out unless it hangs.
bool MachineWatch::has_unconfirmed_cancellation(const Machine& machine, TimePoint now) const {
  const auto lease = settings_.workers.lease;
  const auto timeout = to_duration(is_reachable(machine) ? lease / 2 : lease);
  // Tasks of jobs that ended under an older leader: the time of the cancellation began before this
  // leader saw them listed.
  const auto unknown_since = recovery_.unknown_tasks_since(machine.id);
  if (unknown_since && now - *unknown_since > to_duration(lease / 2)) return true;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    const auto& assignment = entry.second;
    return assignment.orphaned && assignment.stop_since && now - *assignment.stop_since > timeout;
  });
}

// The machine has not answered since the election, and a job that was cancelled under an older
// leader, of which no record is left, may have tasks there. That leader would have proven
// the end of the tasks a lease after the cancellation, so the rest of `cancel_s` counts from our
// election. A leader without any heartbeats is cut off itself: then agents that do not hang end
// their tasks with their leases.
bool MachineWatch::may_run_cancelled_tasks(const Machine& machine, TimePoint now) const {
  const auto& times = settings_.workers;
  const auto timeout =
      std::max(settings_.tuning.lost_after_failover, times.cancel - times.lease - kFailoverTime);
  return reconciler_.silent(machine) && !failure_detector_.no_heartbeats(now) &&
         now - elected_at_ > to_duration(timeout);
}

void MachineWatch::declare_dead(Machine& machine, TimePoint now) {
  if (!machine.releasing && recovery_.is_unconfirmed(machine.id))
    reconciler_.count(&ReconciliationStats::declared_dead);
  request_release(machine, "silent", now);
}

bool MachineWatch::check_machines(TimePoint now, bool serving, TimePoint last_proven) {
  const auto interval = recovery_.recovering() ? kCheckIntervalWhileReconciling : kCheckInterval;
  if (now - last_check_ < interval) return false;
  last_check_ = now;
  reconciler_.judge_silent_machines(now);
  failure_detector_.observe_fleet(now, serving);
  count_boots(now);
  Pass pass{now, last_proven, failure_detector_.most_machines_responsive(now)};
  out_.note_inspections(fleet_.all().size());
  for (auto& [id, machine] : fleet_.all()) {
    if (machine.up())
      check_machine(machine, pass);
    else
      check_booting_machine(machine, now);
  }
  for (const auto& id : failure_detector_.machines_to_probe(now))
    commands_.mark_due(*fleet_.find(id));
  release_machines(now);
  if (const auto cause = failure_detector_.isolation_cause(now))
    out_.push_back(Resign{text_of(*cause), true});
  return true;
}

void MachineWatch::check_booting_machine(Machine& machine, TimePoint now) {
  if (is_late_to_boot(machine, now)) request_release(machine, "late to boot", now);
}

// A machine that is silent or partitioned is still subject to the later checks.
void MachineWatch::check_machine(Machine& machine, Pass& pass) {
  if (pass.fleet_responsive) release_if_cut_off(machine, pass.now);
  check_silence(machine, pass);
  if (has_unconfirmed_cancellation(machine, pass.now) || may_run_cancelled_tasks(machine, pass.now))
    request_release(machine, "with cancelled work", pass.now);
  if (machine.quarantined && machine.tasks.empty()) request_release(machine, "sick", pass.now);
  save_images(machine, pass);
  resend_commands(machine);
}

void MachineWatch::release_if_cut_off(Machine& machine, TimePoint now) {
  if (reconciler_.unresponsive_too_long(machine)) declare_dead(machine, now);
  if (failure_detector_.inbound_partition_expired(machine, boot_time_of(machine), now))
    request_release(machine, "out of reach", now);
  if (failure_detector_.outbound_partition_expired(machine, boot_time_of(machine), now))
    request_release(machine, "not reporting", now);
}

void MachineWatch::check_silence(Machine& machine, const Pass& pass) {
  const auto& tuning = settings_.tuning;
  const bool is_unconfirmed = recovery_.is_unconfirmed(machine.id);
  const auto silence = failure_detector_.silence(machine, pass.now);
  const auto silent_after = is_unconfirmed
                                ? std::min(tuning.silent_after, tuning.lost_after_failover)
                                : tuning.silent_after;
  if (silence <= silent_after) return;
  commands_.mark_due(machine);
  if (pass.fleet_responsive && silence > silence_limit(machine)) declare_dead(machine, pass.now);
  if (is_lease_expired(machine, pass.last_proven)) remove_expired_tasks(machine, pass.now);
}

Seconds MachineWatch::silence_limit(const Machine& machine) const {
  const auto& tuning = settings_.tuning;
  if (!recovery_.is_unconfirmed(machine.id)) return tuning.lost_after;
  // After a failover no older task starts until every machine is confirmed, so a machine that does
  // not answer is returned sooner. But only once it was queried: after a failover most of 2,000
  // machines had not been queried when their time was over, and a quarter of a healthy fleet was
  // returned (docs/incidents/overload.md).
  if (reconciler_.silent(machine)) return tuning.lost_after_failover;
  return tuning.lost_after_failover + tuning.lost_after;
}

// The lease of a machine that answers nothing has run out, and its tasks with it, unless a newer
// leader renews it: a leader that is cut off and does not know its successor yet would start them
// again (seed 1684 of the simulation). So no other node may have led until the end of the lease.
bool MachineWatch::is_lease_expired(const Machine& machine, TimePoint last_proven) const {
  const auto last_heartbeat =
      machine.last_heartbeat.value_or(std::max(machine.requested_at, elected_at_));
  return machine.confirmed && last_proven - last_heartbeat > to_duration(recovery_.full_lease());
}

void MachineWatch::remove_expired_tasks(Machine& machine, TimePoint now) {
  if (machine.tasks.empty() && machine.task_statuses.empty()) return;
  // A machine that hangs does not end its tasks with its lease.
  if (CommandDispatcher::holds_cancelled_task(machine))
    request_release(machine, "silent with cancelled work", now);
  assignments_.lose_all(machine, now);
}

void MachineWatch::save_images(Machine& machine, Pass& pass) {
  if (!machine.images_changed || !machine.registered || machine.registering) return;
  if (pass.images_saved >= kMaxImageSavesPerPass) return;
  ++pass.images_saved;
  registry_.save(machine);
}

void MachineWatch::resend_commands(const Machine& machine) {
  for (const auto& [key, assignment] : machine.tasks)
    if (!assignment.reported || assignment.stop) commands_.mark_due(machine);
  // Nothing starts on a machine until it has acknowledged something.
  if (machine.confirmed && !is_reachable(machine)) commands_.mark_due(machine);
}

// Requests to the cloud are limited to a few each second: returned machines are collected until the
// share of scaling in admits another request.
void MachineWatch::release_machines(TimePoint now) {
  const auto request_interval = Seconds(1 / (kScaleInCallShare * settings_.cloud_calls_per_s));
  if (now - last_release_ < to_duration(request_interval)) return;
  const auto due = take_due_releases(now);
  if (!due.empty()) last_release_ = now;
  for (std::size_t first = 0; first < due.size(); first += kMaxMachinesPerRelease) {
    const auto last = std::min(due.size(), first + kMaxMachinesPerRelease);
    push_scale_in({due.begin() + static_cast<std::ptrdiff_t>(first),
                   due.begin() + static_cast<std::ptrdiff_t>(last)});
  }
}

std::vector<MachineId> MachineWatch::take_due_releases(TimePoint now) {
  std::vector<MachineId> due;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.releasing || !machine.release_retry || now < *machine.release_retry) continue;
    fleet_.before_change(machine);
    machine.release_retry = now + kReleaseRetry;
    due.push_back(id);
  }
  return due;
}

void MachineWatch::push_scale_in(std::vector<MachineId> machines) {
  std::map<std::string, int> machines_by_cause;
  for (const auto& id : machines) ++machines_by_cause[fleet_.find(id)->release_cause];
  ScaleIn action;
  action.machines = std::move(machines);
  for (const auto& [cause, count] : machines_by_cause)
    action.cause += (action.cause.empty() ? "" : ", ") + std::to_string(count) + " " + cause;
  out_.push_back(std::move(action));
}

void MachineWatch::release_failed(Machine& machine, TimePoint now) {
  fleet_.before_change(machine);
  machine.release_retry = now + kReleaseRetry;
}

}  // namespace violetpulley::core
