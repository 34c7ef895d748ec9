/// @file
/// The periodic checks of machines and the requests that return machines to the cloud.
#include "core/machines/machine_watch.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kCheckInterval{500};
constexpr std::chrono::milliseconds kCheckIntervalWhileReconciling{200};
constexpr std::chrono::seconds kReleaseRetry{3};
constexpr std::size_t kMaxMachinesPerRelease = 100;  // PROTOCOL, POST /rentals/release
// From this number of late machines of one type on, a new machine is expected to be late as well.
constexpr std::size_t kMassLateBootCount = 3;
// Multiple of the usual boot timeout that applies in that case.
constexpr double kMaxBootTimeoutFactor = 2.5;
// Records that change only in their images are written slowly: they only avoid image fetches after
// a failover.
constexpr int kMaxImageSavesPerPass = 20;
constexpr Seconds kDefaultBootTime{60};  // of a machine type that is not in the catalog
// Time from the end of a leader to the first check of the next one: the lease of the leader key,
// reading the stored state, and the request to the cloud (docs/safety.md, "A cancellation that an
// older leader knew").
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

// A machine that has exceeded the usual boot timeout is expected to come up later than a new
// machine would, or never. Exception: several machines of the type are late and no machine
// requested later is up. A new machine would then be late as well, and its boot would start from
// the beginning, so the timeout is longer.
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

// Whether a cancelled task was told to stop long ago and its end is not proven: its machine hangs,
// or a delayed start command may still run the task. The task must end within `cancel_s`, however
// many machines are silent, and a lost start would otherwise keep its resources indefinitely
// (docs/combined-failures.md). The cancellation may have been confirmed to the user up to
// `cancel_s` - `lease_s` before this leader learned of it. So a machine that answers and does not
// list the task is given half a lease: a whole lease could exceed `cancel_s`. A machine that does
// not answer is given a whole lease, at whose end it stops the task by itself unless it hangs.
bool MachineWatch::has_unconfirmed_cancellation(const Machine& machine, TimePoint now) const {
  const auto lease = settings_.workers.lease;
  const auto timeout = to_duration(is_reachable(machine) ? lease / 2 : lease);
  // The machine lists tasks of jobs that ended under a former leader: the cancellation was
  // confirmed before this leader first saw the tasks listed.
  const auto unknown_since = recovery_.unknown_tasks_since(machine.id);
  if (unknown_since && now - *unknown_since > to_duration(lease / 2)) return true;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
    const auto& assignment = entry.second;
    return assignment.orphaned && assignment.stop_since && now - *assignment.stop_since > timeout;
  });
}

// Whether the machine has not answered since the election, so that it may run tasks of a job that
// was cancelled under a former leader and of which no record is left. The former leader would have
// proven the end of these tasks one lease after the cancellation, so the rest of `cancel_s` counts
// from the election of this leader. A leader that receives no heartbeats at all is isolated itself;
// in that case agents that do not hang stop their tasks when their leases end.
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
  reconciler_.evaluate_silent_machines(now);
  failure_detector_.observe_fleet(now, serving);
  count_boots(now);
  Pass pass{now, last_proven, failure_detector_.most_machines_responsive(now)};
  out_.count_inspections(fleet_.all().size());
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

// The checks are independent: a machine that is silent or partitioned undergoes the later ones,
// too.
void MachineWatch::check_machine(Machine& machine, Pass& pass) {
  if (pass.fleet_responsive) release_if_partitioned(machine, pass.now);
  check_silence(machine, pass);
  if (has_unconfirmed_cancellation(machine, pass.now) || may_run_cancelled_tasks(machine, pass.now))
    request_release(machine, "with cancelled work", pass.now);
  if (machine.quarantined && machine.tasks.empty()) request_release(machine, "sick", pass.now);
  save_images(machine, pass);
  resend_commands(machine);
}

void MachineWatch::release_if_partitioned(Machine& machine, TimePoint now) {
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
  // not answer a query is returned sooner. A machine that was not queried yet keeps the longer
  // limit: with 2,000 machines most had not been queried when the shorter limit was over, and a
  // quarter of a healthy fleet was returned (docs/incidents/overload.md).
  if (reconciler_.silent(machine)) return tuning.lost_after_failover;
  return tuning.lost_after_failover + tuning.lost_after;
}

// When the lease of a silent machine ends, its tasks have ended, unless a newer leader has renewed
// the lease. A leader that is isolated and does not know of its successor would then start the
// tasks a second time. So the lease counts as expired only if it is proven that no other node led
// before its end.
bool MachineWatch::is_lease_expired(const Machine& machine, TimePoint last_proven) const {
  const auto last_heartbeat =
      machine.last_heartbeat.value_or(std::max(machine.requested_at, elected_at_));
  return machine.confirmed && last_proven - last_heartbeat > to_duration(recovery_.full_lease());
}

void MachineWatch::remove_expired_tasks(Machine& machine, TimePoint now) {
  if (machine.tasks.empty() && machine.task_statuses.empty()) return;
  // A machine that hangs does not end its tasks when its lease ends.
  if (CommandDispatcher::holds_cancelled_task(machine))
    request_release(machine, "silent with cancelled work", now);
  assignments_.requeue_all(machine, EndProof::lease_expired, now);
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
  // No task starts on a machine that has not acknowledged a message: a command batch probes it.
  if (machine.confirmed && !is_reachable(machine)) commands_.mark_due(machine);
}

// The cloud limits the number of calls per second. Machines to return are collected until the share
// of the calls that is set aside for scaling in permits another request.
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
