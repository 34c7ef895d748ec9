#include "core/controller.hpp"

#include <algorithm>
#include <sstream>

#include "core/jobs/each_assignment.hpp"

namespace violetpulley::core {

Controller::Controller(ControllerSettings settings, FencingToken token, TimePoint now,
                       TimePoint former_leases_end, const RecoveredState& recovered)
    : settings_(std::move(settings)),
      catalog_(settings_),
      jobs_(out_),
      forecaster_(settings_, estimator_, now),
      failure_detector_(settings_, fleet_, now),
      recovery_(out_, fleet_, former_leases_end, settings_.workers.lease),
      registry_(out_, fleet_),
      commands_(settings_.sockets, settings_.tuning.max_commands_in_flight, out_, fleet_, jobs_),
      assignments_(out_, fleet_, jobs_, recovery_),
      task_starter_(settings_, catalog_, fleet_, jobs_, commands_, forecaster_, recovery_, token),
      reconciler_(settings_, catalog_, fleet_, jobs_, recovery_, commands_, task_starter_, now),
      offerings_(catalog_),
      bindings_(out_, jobs_),
      scarcity_(catalog_, jobs_),
      preemption_(settings_, out_, fleet_, jobs_, commands_, task_starter_, bindings_),
      gang_scheduler_(settings_, out_, catalog_, fleet_, jobs_, commands_, task_starter_,
                      forecaster_, offerings_, bindings_, preemption_),
      scale_out_(settings_, out_, catalog_, fleet_, jobs_, task_starter_, forecaster_, offerings_,
                 bindings_, scarcity_, gang_scheduler_, registry_, token),
      watch_(settings_, out_, catalog_, fleet_, failure_detector_, commands_, recovery_,
             reconciler_, assignments_, registry_, now),
      heartbeats_(settings_, out_, catalog_, fleet_, failure_detector_, jobs_, estimator_,
                  forecaster_, recovery_, reconciler_, registry_, commands_, assignments_,
                  gang_scheduler_, token),
      consolidation_(settings_, catalog_, fleet_, jobs_, commands_, bindings_, scarcity_, watch_),
      replica_consolidation_(settings_, out_, fleet_, jobs_, commands_, task_starter_, bindings_),
      starvation_guard_(settings_, fleet_, jobs_, task_starter_, forecaster_, bindings_),
      scheduler_(settings_, out_, catalog_, fleet_, jobs_, recovery_, reconciler_, commands_,
                 forecaster_, task_starter_, bindings_, scarcity_, preemption_, gang_scheduler_,
                 scale_out_, starvation_guard_) {
  for (const auto& record : recovered.jobs) {
    jobs_.open(record, now);
    jobs_.at(record.spec.id).from_former_leader = record.revision < token;
  }
  for (const auto& progress : recovered.progress) jobs_.restore_progress(progress);
  if (recovered.placements_marked) jobs_.restore_placements(recovered.placements);
  for (const auto& record : recovered.machines) {
    auto& machine = fleet_.add(record.id);
    machine.endpoint = record.endpoint;
    machine.type = record.type;
    machine.zone = record.zone;
    machine.spot = record.spot;
    machine.since = now;
    for (const auto& [name, gb] : record.images) machine.images.push_back({name, gb, true});
    if (!machine.up()) continue;
    machine.registered = true;
    machine.up_since = now;
    recovery_.add_unconfirmed(machine);
  }
  reconciler_.queue_unconfirmed();
  apply_learned_state(recovered.learned_state, now);
  recovery_.check(now);
}

void Controller::set_catalog(std::vector<MachineType> types) {
  catalog_.set_types(std::move(types));
  for (auto& [id, machine] : fleet_.all()) {
    fleet_.before_change(machine);
    catalog_.apply(machine);
  }
  out_.want_placing();
}

void Controller::job_closed(const JobId& id, TimePoint now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  each_on_machines(fleet_, found->second,
                   [&](Machine& machine, const TaskKey& key, Assignment& assignment) {
                     // A start that was not committed was never sent and never will be.
                     if (!commands_.committed(key, assignment))
                       return assignments_.drop(machine, key, now);
                     fleet_.before_change(machine);
                     assignment.orphaned = true;
                     commands_.stop(machine, assignment, now);
                   });
  gang_scheduler_.job_closed(id);
  jobs_.close(id);
}

void Controller::placements_saved(const JobId& id, std::uint64_t version) {
  jobs_.placements_saved(id, version);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  // What waited for it is sent now.
  each_on_machines(
      fleet_, found->second,
      [&](const Machine& machine, const TaskKey&, const Assignment&) { commands_.want(machine); });
}

void Controller::scale_in_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now) {
  for (const auto& id : machines) {
    auto* machine = fleet_.find(id);
    if (machine == nullptr) continue;
    if (!ok) {
      watch_.return_failed(*machine, now);
      continue;
    }
    // The answer proves that the machine and all that was on it are gone.
    assignments_.lose_all(*machine, now);
    gang_scheduler_.machine_gone(*machine);
    bindings_.machine_gone(id);
    recovery_.confirm(id);
    commands_.gone(*machine);
    registry_.released(id);
    fleet_.erase(id);
  }
  out_.want_placing();
}

void Controller::cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now) {
  for (const auto& listed : machines) {
    if (registry_.was_released(listed.id)) continue;
    auto* known = fleet_.find(listed.id);
    if (known == nullptr) {
      // Nobody here asked for it: a late request or an earlier leader's. It is used or returned.
      known = &fleet_.add(listed.id);
      known->type = listed.type;
      known->zone = listed.zone;
      known->spot = listed.spot;
      known->since = now - to_duration(listed.failed ? Seconds(0) : listed.age);
      catalog_.apply(*known);
    }
    if (listed.failed) watch_.request_release(*known, "stopped", now);
  }
}

void Controller::tick(TimePoint now, bool may_place, TimePoint proved) {
  recovery_.check(proved);
  reconciler_.query_machines(now);
  if (watch_.watch(now, may_place, proved)) consolidation_.consolidate(now);
  replica_consolidation_.consolidate(now);
  gang_scheduler_.restart_broken(now);
  if (may_place) scheduler_.round(now);
  jobs_.finish_complete(now);
  jobs_.persist(now);
  if (settings_.tuning.commit_starts) jobs_.persist_placements(!recovery_.recovering());
  commands_.send(now);
}

void Controller::before_changes(Fleet::BeforeChange machine, Jobs::BeforeChange job) {
  fleet_.set_change_observer(std::move(machine));
  jobs_.set_change_observer(std::move(job));
}

LearnedState Controller::learned_state(TimePoint now, WallTime wall) const {
  LearnedState out;
  out.as_of = wall;
  out.estimates = estimator_;
  const auto left = [now](TimePoint until) { return std::max(Seconds(0), Seconds(until - now)); };
  for (const auto& [id, job] : jobs_) {
    LearnedJob learned;
    learned.id = id;
    learned.waited = now - job.opened;
    for (TaskIndex i = 0; i < job.tasks.size(); ++i)
      if (job.tasks[i].saved > Seconds(0) && job.tasks[i].phase != Phase::done)
        learned.saved.emplace_back(i, job.tasks[i].saved);
    learned.failed_on.assign(job.failed_on.begin(), job.failed_on.end());
    learned.failures = job.failures;
    learned.pause = left(job.backoff_until);
    out.jobs.push_back(std::move(learned));
  }
  std::sort(out.jobs.begin(), out.jobs.end(),
            [](const LearnedJob& a, const LearnedJob& b) { return a.id < b.id; });
  for (const auto& [id, machine] : fleet_.all())
    if (machine.errors > 0 || machine.quarantined)
      out.machines.push_back({id,
                              machine.errors,
                              {machine.error_jobs.begin(), machine.error_jobs.end()},
                              machine.quarantined});
  for (const auto& [option, until] : offerings_.cooldowns())
    if (until > now) out.cooldowns.push_back({option, left(until)});
  return out;
}

// Only hints: placing prefers other machines, waits or asks later. Whatever the beliefs say, what
// is on machines follows from reports alone. Times are bounded by what the job itself tells, so
// that a wrong time of day does no harm.
void Controller::apply_learned_state(const LearnedState& learned_state, TimePoint now) {
  const auto elapsed = learned_state.elapsed(settings_.wall_at_start);
  estimator_ = learned_state.estimates;
  for (const auto& learned : learned_state.jobs) {
    const auto found = jobs_.find(learned.id);
    if (found == jobs_.end()) continue;
    auto& job = found->second;
    const auto most = std::max(Seconds(0), Seconds(settings_.wall_at_start - job.record.submitted));
    job.opened = now - to_duration(std::clamp(learned.waited + elapsed, Seconds(0), most));
    for (const auto& [index, saved] : learned.saved)
      if (index < job.tasks.size() && saved > Seconds(0)) job.tasks[index].saved = saved;
    job.failed_on.insert(learned.failed_on.begin(), learned.failed_on.end());
    job.failures = learned.failures;
    if (!learned.failed_on.empty()) job.last_failure = now;
    const auto pause = std::clamp(learned.pause - elapsed, Seconds(0), kLongestPause);
    job.backoff_until = now + to_duration(pause);
  }
  for (const auto& learned : learned_state.machines) {
    auto* machine = fleet_.find(learned.id);
    if (machine == nullptr) continue;
    machine->errors = learned.errors;
    machine->error_jobs.insert(learned.error_jobs.begin(), learned.error_jobs.end());
    machine->quarantined = learned.quarantined;
  }
  for (const auto& learned : learned_state.cooldowns) {
    const auto left = std::min(learned.left - elapsed, settings_.tuning.refused_cooldown);
    if (left > Seconds(0)) offerings_.start_cooldown(learned.option, now + to_duration(left));
  }
}

std::optional<JobCounts> Controller::counts(const JobId& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  return JobCounts{found->second.done, found->second.running};
}

std::string Controller::summary() const {
  std::size_t waiting = 0;
  std::size_t bound = 0;
  std::size_t unreported = 0;
  for (const auto& [id, job] : jobs_) {
    waiting += job.waiting.size();
    if (recovery_.blocked_on_reconciliation(job)) unreported += job.waiting.size();
    for (const auto index : job.waiting) bound += job.tasks[index].bound.empty() ? 0 : 1;
  }
  struct TypeUse {
    std::size_t up = 0;
    std::size_t booting = 0;
    std::size_t empty = 0;
    std::size_t reserved = 0;  // for gangs that collect machines
    Resources used;
    Resources capacity;
  };
  std::map<std::string, TypeUse> types;
  std::size_t draining = 0;
  std::size_t running = 0;
  std::size_t fetching = 0;
  for (const auto& [id, machine] : fleet_.all()) {
    auto& use = types[machine.type + (machine.spot ? " spot" : "")];
    ++(machine.up() ? use.up : use.booting);
    use.used += machine.used;
    if (machine.up()) use.capacity += machine.capacity;
    if (machine.up() && machine.tasks.empty()) ++use.empty;
    if (!machine.reserved_for.empty()) ++use.reserved;
    if (machine.draining) ++draining;
    for (const auto& [key, task] : machine.tasks) ++(task.running_since ? running : fetching);
  }
  std::ostringstream text;
  text << "jobs=" << jobs_.table().size() << " waiting=" << waiting << " bound=" << bound
       << " running=" << running << " fetching=" << fetching << " clearing=" << draining;
  for (const auto& [name, use] : types) {
    text << " [" << name << " " << use.up << "+" << use.booting << " cpus " << use.used.cpus << "/"
         << use.capacity.cpus;
    if (use.capacity.gpus > 0) text << " gpus " << use.used.gpus << "/" << use.capacity.gpus;
    text << " empty " << use.empty;
    if (use.reserved > 0) text << " reserved " << use.reserved;
    text << "]";
  }
  if (recovery_.recovering())
    text << " recovering, " << recovery_.unconfirmed_count() << " machines to answer, "
         << unreported << " of the waiting tasks may be on them";
  return text.str();
}

}  // namespace violetpulley::core
