#include "core/scheduling/scheduler.hpp"

#include <algorithm>

#include "core/jobs/each_assignment.hpp"

namespace violetpulley::core {

namespace {

/// After it was opened, a job does not use exclusive types for this time, even if no task that
/// needs them is waiting.
constexpr std::chrono::seconds kExclusiveTypeDelay{20};

/// Limit of starts per round: this many for each command batch that may be in flight, but at least
/// `kMinStarts`.
constexpr std::size_t kMinStarts = 200;
constexpr std::size_t kStartsPerCommandBatch = 2;

/// A job that has waited for this long may use capacity that is withheld for more suitable work, so
/// that no task waits for 90 s while a machine has free capacity for it (docs/design.md, "Held
/// back").
constexpr Seconds kMaxHoldBackTime{75};

/// How long a job waits for machines that hold its image, as a multiple of the image's fetch time.
/// Where many tasks wait for each free slot, the wait is longer: a fetch delays all of them, and a
/// machine with the image soon has a free slot.
constexpr double kImageWaitInFetchTimes = 0.3;
constexpr double kImageWaitInFetchTimesIfScarce = 5;

/// If the fetch takes less than this fraction of a task's run time, a job does not wait for
/// machines that hold the image. With a much larger fraction, arrays of long tasks also fetch the
/// image instead of waiting.
constexpr double kMinFetchShareToWait = 0.05;

/// Once a task of a job that is suspected to be faulty has run for this long, the suspicion ends.
/// Short enough that, together with the longest of the other waits, no task waits for 90 s.
constexpr Seconds kHealthyRunTime{30};

/// Exceeds any task's need, in each dimension.
constexpr double kInfiniteNeed = 1e18;

/// Upper bound of the slots that are counted on one machine.
constexpr std::size_t kMaxCountedTasks = 100'000;

/// The smallest need of all waiting tasks, separately in each dimension.
Resources smallest_need(const std::vector<Candidate>& queue) {
  Resources smallest{kInfiniteNeed, kInfiniteNeed, kInfiniteNeed};
  for (const auto& candidate : queue) {
    const auto& need = candidate.job->spec().per_task;
    smallest = {std::min(smallest.cpus, need.cpus), std::min(smallest.gpus, need.gpus),
                std::min(smallest.memory_gb, need.memory_gb)};
  }
  return smallest;
}

/// Number of waiting tasks of arrays and services.
std::size_t waiting_tasks_without_gangs(const std::vector<Candidate>& queue) {
  std::size_t waiting = 0;
  for (const auto& candidate : queue)
    if (!candidate.job->gang()) waiting += candidate.job->waiting.size();
  return waiting;
}

}  // namespace

void Scheduler::run_round_if_due(TimePoint now) {
  const bool round_due = now - last_round_ >= to_duration(settings_.tuning.round_interval);
  const bool quick_round_due =
      out_.scheduling_round_requested() &&
      now - last_round_ >= to_duration(settings_.tuning.min_round_interval);
  if (!round_due && !quick_round_due) return;
  last_round_ = now;
  out_.scheduling_round_started();
  run_round(now);
}

void Scheduler::run_round(TimePoint now) {
  if (catalog_.types().empty()) return;
  recovery_.refresh();
  scarcity_.update_exclusive_types(now);
  starvation_guard_.new_round();
  scarcity_.update_job_kinds();
  const auto queue = candidate_queue_.build(now);
  clear_suspected_jobs(queue, now);
  scarcity_.set_exclusive_demand_waiting(
      std::any_of(queue.begin(), queue.end(),
                  [&](const Candidate& candidate) { return needs_exclusive_type(candidate); }));
  const auto smallest = smallest_need(queue);
  BinPacker packer(settings_.tuning.bin_unit, now);
  const auto schedulable = schedulable_machines(queue, smallest, now);
  update_slot_scarcity(queue, smallest, schedulable);
  if (scarcity_.has_gangs()) packer.preserve_empty_machines();
  for (auto* machine : schedulable) packer.add_machine(*machine);
  place_bound_groups(packer, now);
  gang_scheduler_.new_round();
  place_queue(packer, queue, schedulable, now);
  starvation_guard_.reserve_machine(queue, now);
  if (remaining_starts_ > 0) uncordon_draining(queue, now);
  preemption_.preempt_for_services(queue, now);
  out_.count_inspections(fleet_.all().size() + packer.inspections());
  reconciler_.accrue_waiting_cost(now);
  scale_out(queue, now);
}

void Scheduler::clear_suspected_jobs(const Queue& queue, TimePoint now) {
  for (const auto& candidate : queue) {
    auto& job = *candidate.job;
    if (!job.suspected_faulty || !has_healthy_task(job, now)) continue;
    jobs_.before_change(job);
    job.suspected_faulty = false;
  }
}

bool Scheduler::has_healthy_task(const Job& job, TimePoint now) const {
  if (job.waiting.size() == job.tasks.size()) return false;
  bool healthy = false;
  for_each_assignment(
      fleet_, job, [&](const Machine&, const TaskKey&, const Assignment& assignment) {
        healthy = healthy || (assignment.running_since &&
                              now - *assignment.running_since >= to_duration(kHealthyRunTime));
      });
  return healthy;
}

bool Scheduler::needs_exclusive_type(const Candidate& candidate) const {
  const auto& need = candidate.job->spec().per_task;
  return std::any_of(catalog_.types().begin(), catalog_.types().end(),
                     [&](const auto& entry) { return !need.fits_in(entry.second.capacity); });
}

// Leaves out machines on which not even the smallest waiting task fits, to reduce the cost of a
// round: in a large fleet nearly all machines are full.
std::vector<Machine*> Scheduler::schedulable_machines(const Queue& queue,
                                                      const Resources& smallest_need,
                                                      TimePoint now) {
  std::vector<Machine*> schedulable;
  if (queue.empty()) return schedulable;
  for (auto& [id, machine] : fleet_.all())
    if (smallest_need.fits_in(machine.free()) && task_starter_.accepts_new_tasks(machine, now))
      schedulable.push_back(&machine);
  return schedulable;
}

// Counts slots instead of machines, since a large machine has capacity for many tasks.
void Scheduler::update_slot_scarcity(const Queue& queue, const Resources& smallest_need,
                                     const std::vector<Machine*>& schedulable) {
  const auto waiting = waiting_tasks_without_gangs(queue);
  JobSpec smallest;
  smallest.per_task = smallest_need;
  smallest.tasks = static_cast<TaskIndex>(std::min(waiting, kMaxCountedTasks));
  std::size_t slots = 1;
  for (const auto* machine : schedulable) slots += slots_in(machine->free(), smallest);
  scarcity_.update_slot_scarcity(waiting, slots);
}

// Places bound groups on the machines that were requested for them, before any other task.
void Scheduler::place_bound_groups(BinPacker& packer, TimePoint now) {
  const auto is_ready = [&](const MachineId& id) {
    const auto* machine = fleet_.find(id);
    return machine == nullptr || task_starter_.accepts_new_tasks(*machine, now);
  };
  bindings_.place_ready_groups(is_ready, [&](Job& job, TaskIndex index, const MachineId& id) {
    auto* machine = fleet_.find(id);
    if (machine != nullptr &&
        task_starter_.start(job, index, *machine, task_starter_.next_attempt(), now))
      packer.task_placed(*machine);
  });
}

// Makes two passes over the queue. The first one uses only machines that hold or are fetching the
// job's image, except for jobs whose wait for such a machine is over (`image_wait_over`). The
// second one uses all machines.
void Scheduler::place_queue(BinPacker& packer, const Queue& queue,
                            const std::vector<Machine*>& schedulable, TimePoint now) {
  remaining_starts_ = std::max(kMinStarts, kStartsPerCommandBatch * commands_.window().size());
  for (const auto pass : {ImagePass::holders_only, ImagePass::all_machines})
    for (const auto& candidate : queue) {
      if (starvation_guard_.blocked_by_quota_reservation(candidate)) continue;
      if (candidate.job->gang() && pass == ImagePass::holders_only)
        gang_scheduler_.place(candidate, schedulable, now);
      if (!packer.empty()) place_job(packer, candidate, pass, now);
      if (candidate.starving) starvation_guard_.reserve_quota_if_blocked(*candidate.job, now);
    }
}

void Scheduler::place_job(BinPacker& packer, const Candidate& candidate, ImagePass pass,
                          TimePoint now) {
  if (!may_place(candidate)) return;
  const auto rules = placement_rules(candidate, pass, now);
  while (start_tasks(packer, candidate, rules, now)) {
  }
}

bool Scheduler::may_place(const Candidate& candidate) const {
  const auto& job = *candidate.job;
  if (job.gang() || job.waiting.empty() || remaining_starts_ == 0) return false;
  if (!task_starter_.within_limit(job.spec())) return false;
  // Only the first task of a starving job is prioritized; its other tasks take their usual
  // position.
  if (candidate.starving && job.has_started) return false;
  const bool has_task_assigned = job.waiting.size() < job.tasks.size();
  return !(job.suspected_faulty && has_task_assigned);
}

Scheduler::PlacementRules Scheduler::placement_rules(const Candidate& candidate, ImagePass pass,
                                                     TimePoint now) const {
  const auto& job = *candidate.job;
  const auto& spec = job.spec();
  PlacementRules rules;
  rules.one_task_only = candidate.starving || job.suspected_faulty;
  rules.zone_constrained = spec.same_zone || spec.spread;
  // Exception to the design: empty on-demand machines are withheld for work that may not use spot
  // machines (docs/design.md, "On-demand machines").
  rules.excludes_empty_expensive = scarcity_.has_on_demand_only_jobs() && spec.spot_allowed &&
                                   forecaster_.age(job, now) < settings_.tuning.on_demand_wait;
  if (pass == ImagePass::holders_only && !image_wait_over(candidate, now))
    rules.min_image_rank = ImageRank::fetching;
  if (avoids_exclusive_types(candidate, now))
    rules.excluded_types = scarcity_.types_reserved_for_others(spec);
  return rules;
}

bool Scheduler::image_wait_over(const Candidate& candidate, TimePoint now) const {
  const auto& job = *candidate.job;
  const auto fetch = max_fetch_time(job.spec());
  const double wait_in_fetch_times =
      scarcity_.slots_scarce() ? kImageWaitInFetchTimesIfScarce : kImageWaitInFetchTimes;
  return candidate.starving || fetch < candidate.estimate * kMinFetchShareToWait ||
         now - job.opened_at > to_duration(fetch * wait_in_fetch_times);
}

bool Scheduler::avoids_exclusive_types(const Candidate& candidate, TimePoint now) const {
  const auto& job = *candidate.job;
  return !candidate.starving && forecaster_.age(job, now) < kMaxHoldBackTime &&
         (scarcity_.exclusive_demand_waiting() || now - job.opened_at < kExclusiveTypeDelay);
}

Seconds Scheduler::max_fetch_time(const JobSpec& spec) const {
  Seconds longest{0};
  for (const auto& [name, type] : catalog_.types())
    if (spec.per_task.fits_in(type.capacity))
      longest = std::max(longest, fetch_time(spec, type.fetch_gb_per_s));
  return longest;
}

bool Scheduler::may_use(const Machine& machine, const Job& job, const PlacementRules& rules,
                        const ZoneUse& zones, TimePoint now) const {
  const auto& spec = job.spec();
  const auto& excluded = rules.excluded_types;
  if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) return false;
  if (!machine.reserved_for.empty() && machine.reserved_for != spec.id) return false;
  if (rules.excludes_empty_expensive && !machine.spot && machine.tasks.empty() &&
      catalog_.expensive(machine.type, machine.spot))
    return false;
  if (std::find(excluded.begin(), excluded.end(), machine.type) != excluded.end()) return false;
  return !job.avoids(machine.id, now) && zone_allowed(spec, zones, machine.zone);
}

bool Scheduler::may_start(const Job& job, TaskIndex index) const {
  if (!job.tasks[index].bound_to.empty() && !settings_.tuning.bound_tasks_may_move) return false;
  return !recovery_.is_blocked(job, index);
}

bool Scheduler::start_tasks(BinPacker& packer, const Candidate& candidate,
                            const PlacementRules& rules, TimePoint now) {
  auto& job = *candidate.job;
  const auto zones = task_starter_.zone_use(job);
  auto choices = packer.choices(
      job.spec(), candidate.estimate,
      [&](const Machine& machine) { return may_use(machine, job, rules, zones, now); },
      rules.min_image_rank);
  for (auto next = job.waiting.begin(); next != job.waiting.end();) {
    const auto index = *next++;  // a start erases the index from the set
    if (!may_start(job, index)) continue;
    auto* machine = choices.best();
    if (machine == nullptr ||
        !task_starter_.start(job, index, *machine, task_starter_.next_attempt(), now))
      return false;
    choices.task_placed(*machine);
    starvation_guard_.update_prioritized_starts(candidate);
    --remaining_starts_;
    if (remaining_starts_ == 0 || rules.one_task_only) return false;
    if (rules.zone_constrained) return true;
  }
  return false;
}

// A draining machine takes no new tasks, and its running tasks may run for long. If a job has
// waited for `kMaxHoldBackTime` and its tasks fit on a draining machine, the machine is uncordoned.
void Scheduler::uncordon_draining(const Queue& queue, TimePoint now) {
  std::vector<Machine*> draining;
  for (auto& [id, machine] : fleet_.all())
    if (machine.draining && !machine.releasing) draining.push_back(&machine);
  if (draining.empty()) return;
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    if (!may_uncordon_for(job, now)) continue;
    const auto& spec = job.spec();
    const auto zones = task_starter_.zone_use(job);
    const auto fits = [&](const Machine* machine) {
      return machine->draining && spec.per_task.fits_in(machine->free()) &&
             allowed_on(spec, machine->type, machine->zone, machine->spot) &&
             zone_allowed(spec, zones, machine->zone) && !job.avoids(machine->id, now);
    };
    const auto found = std::find_if(draining.begin(), draining.end(), fits);
    if (found == draining.end()) continue;
    fleet_.set(**found, &Machine::draining, false);
    fleet_.set(**found, &Machine::underused_since, {});
    out_.request_scheduling_round();
  }
}

bool Scheduler::may_uncordon_for(const Job& job, TimePoint now) const {
  if (job.gang() || job.waiting.empty()) return false;
  if (forecaster_.age(job, now) < kMaxHoldBackTime) return false;
  return task_starter_.startable_tasks(job) > 0 && task_starter_.within_limit(job.spec());
}

// Requests no machines while tasks are unplaced only because of the round's limit of starts, or
// before the fleet is known: right after all controllers have restarted, machines that have not
// sent a heartbeat yet would seem to be missing.
void Scheduler::scale_out(const Queue& queue, TimePoint now) {
  if (remaining_starts_ == 0)
    out_.request_scheduling_round();
  else if (reconciler_.fleet_known(now))
    scale_out_.round(queue, now);
}

}  // namespace violetpulley::core
