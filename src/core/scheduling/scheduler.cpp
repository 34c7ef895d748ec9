#include "core/scheduling/scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace violetpulley::core {

namespace {

constexpr std::chrono::seconds kReservationPatience{20};

// Starts in a round, at least and for each order list that may be under way.
constexpr std::size_t kMinStarts = 200;
constexpr std::size_t kStartsPerOrder = 2;

// Whatever room is kept for better use, a job that has waited for this takes what fits: then no
// task waits for 90 s beside a machine that has room (docs/design.md, "Held back").
constexpr Seconds kWaitedEnough{75};

// How long a task waits for a machine that holds its image, in fetches. Where many tasks wait for
// each place, a fetch takes room from all of them, and a holder is soon free.
constexpr double kHolderPatience = 0.3;
constexpr double kScarcePatience = 5;

// Where machines are scarce, the smallest gangs find places first, until others have waited for
// this.
constexpr Seconds kGangAges{20};

// A fetch under this part of the work is not worth waiting for a machine that holds the image.
// At 0.3, which also changed arrays of 30 s and more, vinsamlag fell from 0.693 to 0.643.
constexpr double kFetchThatCounts = 0.05;

// Whether a team's guarantee covers this use: a guarantee may be in processors, in GPUs or in both.
bool covers(const Team& team, const Resources& use) {
  const bool cpus = team.guaranteed_cpus > 0 || team.guaranteed_gpus > 0;
  return cpus &&
         (team.guaranteed_cpus <= 0 ||
          use.cpus <= team.guaranteed_cpus + Resources::kRoundingTolerance) &&
         use.gpus <= team.guaranteed_gpus + Resources::kRoundingTolerance;
}

}  // namespace

Seconds Scheduler::longest_fetch(const JobSpec& spec) const {
  Seconds longest{0};
  for (const auto& [name, type] : catalog_.types())
    if (spec.per_task.fits_in(type.capacity))
      longest = std::max(longest, fetch_time(spec, type.fetch_gb_per_s));
  return longest;
}

// The jobs with waiting tasks, in the order in which room goes to them.
std::vector<Candidate> Scheduler::waiting_jobs(TimePoint now) {
  std::vector<Job*> by_age;
  scarcity_.note_jobs();
  for (auto& [id, job] : jobs_) {
    if (job.waiting.empty() || now < job.backoff_until) continue;
    if (task_starter_.startable(job) == 0) continue;
    by_age.push_back(&job);
  }
  std::sort(by_age.begin(), by_age.end(), [](const Job* a, const Job* b) {
    return std::tie(a->record.submitted, a->spec().id) <
           std::tie(b->record.submitted, b->spec().id);
  });
  std::vector<Candidate> queue;
  auto starts_ahead = starvation_guard_.starts_allowed_ahead();
  std::map<std::string, Resources> claimed;
  for (auto* job : by_age) {
    const auto& spec = job->spec();
    const auto team = catalog_.teams().find(spec.team);
    auto& claim = claimed.try_emplace(spec.team, fleet_.team_use(spec.team)).first->second;
    const auto waiting = spec.per_task * static_cast<double>(job->waiting.size());
    claim += waiting;
    const bool guaranteed = team != catalog_.teams().end() && covers(team->second, claim);
    const auto estimate = forecaster_.estimate_left(*job, *job->waiting.begin());
    const double size = spec.per_task.gpus > 0 ? waiting.gpus : waiting.cpus;
    const bool aged = job->gang() ? forecaster_.age(*job, now) > kGangAges
                                  : starvation_guard_.prioritized_whole(*job, now);
    const bool starving = starts_ahead > 0 && starvation_guard_.starving(*job, now);
    if (starving) --starts_ahead;
    queue.push_back({job, estimate, guaranteed, forecaster_.forecast(*job, now),
                     estimate.count() * size, aged, starving});
  }
  // The design's order is longest first. Before it come priority, for the deadlines, and work
  // within a team's guarantee (docs/design.md, "Order of the queue").
  std::stable_sort(queue.begin(), queue.end(), [](const Candidate& a, const Candidate& b) {
    const auto& x = a.job->spec();
    const auto& y = b.job->spec();
    if (a.starving != b.starving) return a.starving;
    if (a.starving) return a.job->record.submitted < b.job->record.submitted;
    if (x.priority != y.priority) return x.priority > y.priority;
    if (a.aged != b.aged) return a.aged;
    if (a.aged) return a.job->record.submitted < b.job->record.submitted;
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.forecast != b.forecast) return a.forecast < b.forecast;
    return a.work < b.work;
  });
  return queue;
}

// Bound groups come first, on the machine that was rented for them.
void Scheduler::place_bound(BinPacker& packer, TimePoint now) {
  const auto ready = [&](const MachineId& id) {
    const auto* machine = fleet_.find(id);
    return machine == nullptr || task_starter_.placeable(*machine, now);
  };
  bindings_.settle(ready, [&](Job& job, TaskIndex index, const MachineId& id) {
    auto* machine = fleet_.find(id);
    if (machine != nullptr &&
        task_starter_.start(job, index, *machine, task_starter_.next_attempt(), now))
      packer.placed(*machine);
  });
}

void Scheduler::place_job(BinPacker& packer, const Candidate& candidate, bool holders_only,
                          TimePoint now) {
  auto& job = *candidate.job;
  const auto& spec = job.spec();
  if (job.gang() || job.waiting.empty() || starts_left_ == 0 || !task_starter_.within_limit(spec))
    return;
  const bool ahead = candidate.starving;  // with one task; its others go with everybody else's
  if (ahead && job.has_started) return;
  const bool tried = job.waiting.size() < job.tasks.size();
  if (job.suspected && tried) return;
  const bool one = ahead || job.suspected;
  // Waiting for a machine that holds the image pays only where the fetch is long against the work.
  const auto fetch = longest_fetch(spec);
  const double patience = scarcity_.places_scarce() ? kScarcePatience : kHolderPatience;
  const bool waited = ahead || fetch < candidate.estimate * kFetchThatCounts ||
                      now - job.opened > to_duration(fetch * patience);
  const int min_rank = holders_only && !waited ? 1 : 0;
  const bool patient =
      !ahead && forecaster_.age(job, now) < kWaitedEnough &&
      (scarcity_.exclusive_demand_waiting() || now - job.opened < kReservationPatience);
  const auto barred = patient ? scarcity_.types_for_others(spec) : std::vector<std::string>{};
  // Exception to the design: empty ordinary machines are left to work that may use no others
  // (docs/design.md, "Ordinary machines").
  const bool leaves_ordinary = scarcity_.ordinary_work() && spec.spot_allowed &&
                               forecaster_.age(job, now) < settings_.tuning.on_demand_patience;
  // Where a job is bound to zones, each start changes what the next one may use.
  const bool zoned = spec.same_zone || spec.spread;
  for (bool started = true; started;) {
    started = false;
    const auto zones = task_starter_.zone_use(job);
    auto choices = packer.choices(
        spec, candidate.estimate,
        [&](const Machine& m) {
          return allowed_on(spec, m.type, m.zone, m.spot) &&
                 (m.reserved_for.empty() || m.reserved_for == spec.id) &&
                 !(leaves_ordinary && !m.spot && m.tasks.empty() &&
                   catalog_.expensive(m.type, m.spot)) &&
                 std::find(barred.begin(), barred.end(), m.type) == barred.end() &&
                 !job.avoids(m.id, now) && zone_allowed(spec, zones, m.zone);
        },
        min_rank);
    for (auto next = job.waiting.begin(); next != job.waiting.end() && !(zoned && started);) {
      const auto index = *next++;  // a start takes it out of the set
      if (!job.tasks[index].bound.empty() && !settings_.tuning.bound_tasks_may_move) continue;
      if (recovery_.held(job, index)) continue;
      auto* machine = choices.best();
      if (machine == nullptr ||
          !task_starter_.start(job, index, *machine, task_starter_.next_attempt(), now))
        return;
      choices.placed(*machine);
      started = true;
      starvation_guard_.started(ahead);
      if (--starts_left_ == 0 || one) return;
    }
    if (!zoned) return;
  }
}

// Machines that are being cleared take no new tasks, for as long as what runs there runs on. Where
// a job has waited beside one and could have had its room, it is cleared no longer.
void Scheduler::uncordon_draining(const std::vector<Candidate>& queue, TimePoint now) {
  std::vector<Machine*> draining;
  for (auto& [id, machine] : fleet_.all())
    if (machine.draining && !machine.releasing) draining.push_back(&machine);
  if (draining.empty()) return;
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    const auto& spec = job.spec();
    if (job.gang() || job.waiting.empty() || forecaster_.age(job, now) < kWaitedEnough) continue;
    if (task_starter_.startable(job) == 0 || !task_starter_.within_limit(spec)) continue;
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
    out_.want_placing();
  }
}

void Scheduler::round(TimePoint now) {
  const bool round_due = now - last_place_ >= to_duration(settings_.tuning.round);
  const bool quick =
      out_.placing_wanted() && now - last_place_ >= to_duration(settings_.tuning.quick_round);
  if (!round_due && !quick) return;
  last_place_ = now;
  out_.placing_begins();
  place(now);
}

void Scheduler::place(TimePoint now) {
  if (catalog_.types().empty()) return;
  recovery_.refresh();
  scarcity_.note_exclusive_types(now);
  starvation_guard_.new_round();
  const auto queue = waiting_jobs(now);
  scarcity_.note_waiting(std::any_of(queue.begin(), queue.end(), [&](const Candidate& candidate) {
    return std::any_of(catalog_.types().begin(), catalog_.types().end(), [&](const auto& entry) {
      return !candidate.job->spec().per_task.fits_in(entry.second.capacity);
    });
  }));
  // Full machines are of no use to anybody: with a large fleet that is nearly all of them.
  Resources least{1e18, 1e18, 1e18};
  for (const auto& candidate : queue) {
    const auto& need = candidate.job->spec().per_task;
    least = {std::min(least.cpus, need.cpus), std::min(least.gpus, need.gpus),
             std::min(least.memory_gb, need.memory_gb)};
  }
  BinPacker packer(settings_.tuning.bin_unit, now);
  std::vector<Machine*> open;
  if (!queue.empty())
    for (auto& [id, machine] : fleet_.all())
      if (least.fits_in(machine.free()) && task_starter_.placeable(machine, now))
        open.push_back(&machine);
  std::size_t waiting = 0;
  for (const auto& candidate : queue)
    if (!candidate.job->gang()) waiting += candidate.job->waiting.size();
  JobSpec smallest;  // a large machine has room for many tasks: places count, not machines
  smallest.per_task = least;
  smallest.tasks = static_cast<TaskIndex>(std::min<std::size_t>(waiting, 100'000));
  std::size_t places = 1;
  for (const auto* machine : open) places += places_on(machine->free(), smallest);
  scarcity_.note_places(waiting, places);
  if (scarcity_.gangs()) packer.keep_whole();
  for (auto* machine : open) packer.offer(*machine);
  place_bound(packer, now);
  gang_scheduler_.new_round();
  starts_left_ = std::max(kMinStarts, kStartsPerOrder * commands_.window().size());
  // Two passes: room first goes to tasks whose image is there, whatever their place in the queue,
  // unless a task has waited for as long as its fetch takes; then to the others.
  for (const bool holders_only : {true, false})
    for (const auto& candidate : queue) {
      if (starvation_guard_.yields_quota(candidate)) continue;
      if (candidate.job->gang() && holders_only) gang_scheduler_.place(candidate, open, now);
      if (!packer.empty()) place_job(packer, candidate, holders_only, now);
      if (candidate.starving) starvation_guard_.note_not_started(*candidate.job, now);
    }
  starvation_guard_.reserve_machine(queue, now);
  if (starts_left_ > 0) uncordon_draining(queue, now);
  preemption_.preempt_for_services(queue, now);
  out_.note_inspections(fleet_.all().size() + packer.inspections());
  reconciler_.note_cost(now);
  // Nothing is rented before it is known what the fleet has: right after a start of all controllers
  // machines that had not been heard yet looked as if they were lacking.
  // Nor for tasks that only this round has left over.
  if (starts_left_ == 0)
    out_.want_placing();
  else if (reconciler_.fleet_known(now))
    scale_out_.round(queue, now);
}

}  // namespace violetpulley::core
