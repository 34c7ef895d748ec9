#include "core/dispatch/task_starter.hpp"

#include "core/autoscaling/scaler.hpp"
#include "core/failover/assignments.hpp"
#include "core/machines/failure_detector.hpp"
#include "core/model/limits.hpp"
#include "core/scheduling/bin_packer.hpp"

namespace violetpulley::core {

bool zone_allowed(const JobSpec& spec, const ZoneUse& use, const std::string& zone) {
  const auto found = use.find(zone);
  const TaskIndex here = found == use.end() ? 0 : found->second;
  if (spec.same_zone) return use.empty() || (use.size() == 1 && here > 0);
  return !spec.spread || here + 1 <= max_tasks_in_zone(spec);
}

Seconds fetch_time(const JobSpec& spec, double gb_per_s) {
  return gb_per_s > 0 ? Seconds(spec.image_gb / gb_per_s) : Seconds(0);
}

bool TaskStarter::placeable(const Machine& machine, TimePoint now) const {
  if (!machine.up() || !machine.confirmed || !machine.registered || machine.releasing) return false;
  // All that starts on a mute machine ends with its lease.
  if (!reached(machine) || machine.outbound_partition_since) return false;
  if (machine.draining || machine.quarantined || machine.notice_ends) return false;
  return machine.last_heartbeat &&
         now - *machine.last_heartbeat < to_duration(settings_.tuning.silent_after);
}

bool TaskStarter::within_limit(const JobSpec& spec, std::size_t tasks) const {
  const auto found = catalog_.teams().find(spec.team);
  if (found == catalog_.teams().end()) return false;
  const auto more = spec.per_task * static_cast<double>(tasks);
  return (fleet_.team_use(spec.team) + recovery_.uncertain() + more)
      .fits_in(limit_of(found->second));
}

std::optional<Resources> TaskStarter::quota_left(const std::string& team) const {
  const auto found = catalog_.teams().find(team);
  if (found == catalog_.teams().end()) return std::nullopt;
  return limit_of(found->second) - fleet_.team_use(team) - recovery_.uncertain();
}

// Where every task of the job possibly is, for same_zone and spread; empty for other jobs.
ZoneUse TaskStarter::zone_use(const Job& job) const {
  ZoneUse use;
  if (!job.spec().same_zone && !job.spec().spread) return use;
  for (TaskIndex i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    // One that is held up may be where it was recorded.
    const bool held =
        task.phase == Phase::waiting && job.placements_complete && recovery_.held(job, i);
    if (task.phase != Phase::assigned && !held) continue;
    if (const auto* machine = fleet_.find(held ? job.placed[i] : task.machine))
      ++use[machine->zone];
  }
  return use;
}

// The one place where starts are made: limits and places are checked here, whatever chose them.
bool TaskStarter::start(Job& job, TaskIndex index, Machine& machine, Attempt attempt,
                        TimePoint now) {
  const auto& spec = job.spec();
  const auto& task = job.tasks[index];
  if (task.phase != Phase::waiting || recovery_.held(job, index)) return false;
  if (!machine.reserved_for.empty() && machine.reserved_for != spec.id) return false;
  if (!placeable(machine, now) || !spec.per_task.fits_in(machine.free())) return false;
  if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) return false;
  if (!zone_allowed(spec, zone_use(job), machine.zone) || !within_limit(spec)) return false;
  const TaskKey key{spec.id, index};
  if (machine.tasks.contains(key)) return false;
  fleet_.before_change(machine);
  jobs_.before_change(job);
  auto assignment = assignment_of(spec, attempt, forecaster_.estimate_left(job, index), now);
  assignment.saved = job.tasks[job.gang() ? 0 : index].saved;
  if (image_rank(machine, spec.image) < ImageRank::present)
    assignment.fetch = fetch_time(spec, machine.fetch_gb_per_s);
  if (settings_.tuning.commit_starts && job.records_starts())
    assignment.record = jobs_.record_start(job, index, machine.id);
  fleet_.touch_image(machine, spec.image, spec.image_gb, false);
  fleet_.assign(machine, key, std::move(assignment));
  job.set_assigned(index, machine.id);
  machine.idle_since.reset();
  commands_.want(machine);
  return true;
}

}  // namespace violetpulley::core
