/// @file
/// Checks before a start, and the assignment that it creates.
#include "core/dispatch/task_starter.hpp"

#include "core/autoscaling/scaler.hpp"
#include "core/failover/assignments.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/model/limits.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

bool zone_allowed(const JobSpec& spec, const ZoneUse& use, const std::string& zone) {
  const auto found = use.find(zone);
  const TaskIndex tasks_in_zone = found == use.end() ? 0 : found->second;
  if (spec.same_zone) return use.empty() || (use.size() == 1 && tasks_in_zone > 0);
  return !spec.spread || tasks_in_zone + 1 <= max_tasks_in_zone(spec);
}

Seconds fetch_time(const JobSpec& spec, double gb_per_s) {
  return gb_per_s > 0 ? Seconds(spec.image_gb / gb_per_s) : Seconds(0);
}

bool TaskStarter::accepts_new_tasks(const Machine& machine, TimePoint now) const {
  if (!machine.up() || !machine.confirmed || !machine.registered || machine.releasing) return false;
  // A machine behind an outbound partition does not get its lease renewed, so all tasks that start
  // there end when the lease expires.
  if (!is_reachable(machine) || machine.outbound_partition_since) return false;
  if (machine.draining || machine.quarantined || machine.notice_ends) return false;
  if (ended_attempts_.is_retiring(machine.id)) return false;
  return machine.last_heartbeat &&
         now - *machine.last_heartbeat < to_duration(settings_.tuning.silent_after);
}

Resources TaskStarter::possible_use(const std::string& team) const {
  return fleet_.team_use(team) + recovery_.possible_use() + ended_attempts_.use_of(team);
}

bool TaskStarter::fits_limit(const JobSpec& spec, std::size_t tasks, const Resources& use) const {
  const auto found = catalog_.teams().find(spec.team);
  if (found == catalog_.teams().end()) return false;
  return (use + spec.per_task * static_cast<double>(tasks)).fits_in(limit_of(found->second));
}

bool TaskStarter::within_limit(const JobSpec& spec, std::size_t tasks) const {
  return fits_limit(spec, tasks, possible_use(spec.team));
}

bool TaskStarter::within_limit_without_ended(const JobSpec& spec, std::size_t tasks) const {
  return fits_limit(spec, tasks, fleet_.team_use(spec.team) + recovery_.possible_use());
}

std::optional<Resources> TaskStarter::remaining_quota(const std::string& team) const {
  const auto found = catalog_.teams().find(team);
  if (found == catalog_.teams().end()) return std::nullopt;
  return limit_of(found->second) - possible_use(team);
}

ZoneUse TaskStarter::zone_use(const Job& job) const {
  ZoneUse use;
  if (!job.spec().same_zone && !job.spec().spread) return use;
  for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
    const auto& task = job.tasks[index];
    // A task that is blocked on reconciliation may run on the machine in its placement record.
    const bool blocked = task.phase == Phase::waiting && job.placements_complete &&
                         recovery_.blocked_on_reconciliation(job, index);
    if (task.phase != Phase::assigned && !blocked) continue;
    if (const auto* machine = fleet_.find(blocked ? job.placed_on[index] : task.machine))
      ++use[machine->zone];
  }
  recovery_.add_zones_of_copies(job, use);
  // Held tasks are assigned to their machines and thus already counted above.
  const auto [first, last] = ended_attempts_.of_job(job.spec().id);
  for (auto entry = first; entry != last; ++entry)
    if (const auto* machine = fleet_.find(entry->second.machine);
        machine != nullptr && entry->second.task == EndedTask::done)
      ++use[machine->zone];
  return use;
}

bool TaskStarter::may_start(const Job& job, TaskIndex index, const Machine& machine,
                            TimePoint now) const {
  const auto& spec = job.spec();
  if (job.tasks[index].phase != Phase::waiting) return false;
  if (is_blocked(job, index)) return false;
  if (!machine.reserved_for.empty() && machine.reserved_for != spec.id) return false;
  if (!accepts_new_tasks(machine, now)) return false;
  if (!spec.per_task.fits_in(machine.free())) return false;
  if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) return false;
  if (!zone_allowed(spec, zone_use(job), machine.zone)) return false;
  if (!within_limit(spec)) return false;
  return !machine.tasks.contains({spec.id, index});
}

Assignment TaskStarter::make_assignment(Job& job, TaskIndex index, const Machine& machine,
                                        Attempt attempt, TimePoint now) {
  const auto& spec = job.spec();
  auto assignment = assignment_of(spec, attempt, forecaster_.remaining_estimate(job, index), now);
  assignment.checkpointed = job.checkpointed_run_time(index);
  if (image_rank(machine, spec.image) < ImageRank::present)
    assignment.fetch = fetch_time(spec, machine.fetch_gb_per_s);
  if (settings_.tuning.commit_starts && job.records_starts())
    assignment.placement_version = jobs_.record_start(job, index, machine.id);
  return assignment;
}

bool TaskStarter::start(Job& job, TaskIndex index, Machine& machine, Attempt attempt,
                        TimePoint now) {
  if (!may_start(job, index, machine, now)) return false;
  const auto& spec = job.spec();
  fleet_.before_change(machine);
  jobs_.before_change(job);
  auto assignment = make_assignment(job, index, machine, attempt, now);
  fleet_.touch_image(machine, spec.image, spec.image_gb, false);
  fleet_.assign(machine, {spec.id, index}, std::move(assignment));
  job.set_assigned(index, machine.id);
  machine.idle_since.reset();
  commands_.mark_due(machine);
  audit_.task_placed({spec.id, index}, machine.id, attempt, tokens_.of(machine.id), now);
  return true;
}

}  // namespace violetpulley::core
