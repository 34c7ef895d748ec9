#include <algorithm>
#include <cmath>
#include <limits>

#include "core/clearing.hpp"
#include "core/controller.hpp"

namespace violetpulley::core {

namespace {

constexpr std::size_t kMostLeftovers = 1500;
constexpr double kDearFactor = 1.8;
constexpr std::chrono::minutes kNarrowRemembered{5};
constexpr std::chrono::seconds kReservationPatience{20};

Seconds fetch_time(const JobSpec& spec, double gb_per_s) {
  return gb_per_s > 0 ? Seconds(spec.image_gb / gb_per_s) : Seconds(0);
}

}  // namespace

bool Controller::placeable(const Machine& machine, TimePoint now) const {
  if (!machine.up() || !machine.confirmed || !machine.registered || machine.releasing) return false;
  if (machine.clearing || machine.quarantined || machine.notice_ends) return false;
  return machine.heard && now - *machine.heard < to_duration(settings_.tuning.silent_after);
}

// What may be on machines beyond what is known: on a machine that has not answered yet, as much as
// it holds; the same while one lists tasks whose job has ended and whose team is unknown.
Resources Controller::uncertain_use() const {
  Resources total;
  for (const auto& [id, machine] : fleet_.all()) {
    const bool foreign =
        std::any_of(machine.reported.begin(), machine.reported.end(), [&](const TaskReport& entry) {
          return entry.state != TaskState::exited && !machine.tasks.contains(entry.task);
        });
    if (foreign || unconfirmed_.contains(id)) total += machine.capacity;
  }
  return total;
}

bool Controller::within_limit(const JobSpec& spec) const {
  const auto found = teams_.find(spec.team);
  if (found == teams_.end()) return false;
  const auto& team = found->second;
  if (team.max_cpus <= 0 && team.max_gpus <= 0) return true;
  const auto use = fleet_.team_use(spec.team) + uncertain_ + spec.per_task;
  return (team.max_cpus <= 0 || use.cpus <= team.max_cpus + Resources::kSlack) &&
         (team.max_gpus <= 0 || use.gpus <= team.max_gpus + Resources::kSlack);
}

// same_zone and spread, against every task of the job that is possibly on a machine.
bool Controller::zone_allowed(const Job& job, const std::string& zone) const {
  const auto& spec = job.spec();
  if (!spec.same_zone && !spec.spread) return true;
  TaskIndex here = 0;
  for (const auto& task : job.tasks) {
    if (task.phase != Phase::assigned) continue;
    const auto* machine = fleet_.find(task.machine);
    if (machine == nullptr) continue;
    if (machine->zone == zone)
      ++here;
    else if (spec.same_zone)
      return false;
  }
  return !spec.spread || here + 1 <= (spec.tasks + 1) / 2;
}

// The one place where starts are made: limits and places are checked here, whatever chose them.
bool Controller::start_task(Job& job, TaskIndex index, Machine& machine, TimePoint now) {
  const auto& spec = job.spec();
  const auto& task = job.tasks[index];
  if (task.phase != Phase::waiting || (recovering_ && job.carried_over)) return false;
  if (!placeable(machine, now) || !spec.per_task.fits_in(machine.free())) return false;
  if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) return false;
  if (!zone_allowed(job, machine.zone) || !within_limit(spec)) return false;
  const TaskKey key{spec.id, index};
  if (machine.tasks.contains(key)) return false;
  Assignment assignment;
  assignment.attempt = next_attempt_++;
  assignment.resources = spec.per_task;
  assignment.team = spec.team;
  assignment.job_class = spec.job_class;
  assignment.image = spec.image;
  assignment.estimate = estimator_.estimate(spec);
  assignment.placed = now;
  if (image_rank(machine, spec.image) < 2)
    assignment.fetch = fetch_time(spec, machine.fetch_gb_per_s);
  fleet_.touch_image(machine, spec.image, spec.image_gb, false);
  fleet_.assign(machine, key, std::move(assignment));
  job.set_assigned(index, machine.id);
  machine.idle_since.reset();
  machine.orders_due = true;
  return true;
}

Seconds Controller::longest_fetch(const JobSpec& spec) const {
  Seconds longest{0};
  for (const auto& [name, type] : types_)
    if (spec.per_task.fits_in(type.capacity))
      longest = std::max(longest, fetch_time(spec, type.fetch_gb_per_s));
  return longest;
}

Seconds Controller::age(const Job& job, TimePoint now) const {
  const Seconds before = settings_.wall_at_start - job.record.submitted;
  // Never less than what was seen here: a wrong time of day must not hold a job back.
  return std::max(Seconds(now - job.opened), before + Seconds(now - takeover_));
}

// Until the job's deadline or the next aim of its class that it can still meet; infinite if none.
Seconds Controller::time_left(const Job& job, TimePoint now) const {
  const auto lived = age(job, now);
  const auto& spec = job.spec();
  Seconds best{std::numeric_limits<double>::infinity()};
  const auto needed = estimator_.estimate(spec);
  const auto consider = [&](Seconds within) {
    if (lived + needed < within) best = std::min(best, within - lived);
  };
  if (spec.deadline) consider(*spec.deadline);
  for (const auto& aim : settings_.aims)
    if (aim.job_class == spec.job_class) consider(aim.within);
  return best;
}

// Exception to the design: types that some jobs' tasks cannot do without are left to those by tasks
// that fit another type (docs/design.md, "Scarce types").
void Controller::note_narrow_types(TimePoint now) {
  for (const auto& [id, job] : jobs_) {
    std::vector<const std::string*> fitting;
    for (const auto& [name, type] : types_)
      if (job.spec().per_task.fits_in(type.capacity)) fitting.push_back(&name);
    if (fitting.empty() || fitting.size() == types_.size()) continue;
    for (const auto* name : fitting) narrow_types_[*name] = now;
  }
  std::erase_if(narrow_types_,
                [&](const auto& entry) { return now - entry.second > kNarrowRemembered; });
}

bool Controller::reserved_for_others(const JobSpec& spec, const std::string& type) const {
  if (!narrow_types_.contains(type)) return false;
  return std::any_of(types_.begin(), types_.end(), [&](const auto& entry) {
    return !narrow_types_.contains(entry.first) && spec.per_task.fits_in(entry.second.capacity) &&
           (spec.types.empty() ||
            std::find(spec.types.begin(), spec.types.end(), entry.first) != spec.types.end());
  });
}

void Controller::place(TimePoint now) {
  if (types_.empty()) return;
  uncertain_ = uncertain_use();
  note_narrow_types(now);
  struct Candidate {
    Job* job;
    Seconds estimate;
    bool guaranteed;
    bool hopeless;  // no deadline or aim is left to meet
    double work;    // of its waiting tasks
  };
  std::vector<Candidate> queue;
  std::vector<Job*> by_age;
  for (auto& [id, job] : jobs_) {
    if (job.waiting.empty() || now < job.backoff_until) continue;
    if (recovering_ && job.carried_over) continue;
    by_age.push_back(&job);
  }
  std::sort(by_age.begin(), by_age.end(), [](const Job* a, const Job* b) {
    return std::pair(a->record.submitted, a->spec().id) <
           std::pair(b->record.submitted, b->spec().id);
  });
  std::map<std::string, double> claimed;
  for (auto* job : by_age) {
    const auto& spec = job->spec();
    const auto team = teams_.find(spec.team);
    auto& claim = claimed.try_emplace(spec.team, fleet_.team_use(spec.team).cpus).first->second;
    claim += spec.per_task.cpus * static_cast<double>(job->waiting.size());
    const bool guaranteed =
        team != teams_.end() && claim <= team->second.guaranteed_cpus + Resources::kSlack;
    const auto estimate = estimator_.estimate(spec);
    const bool hopeless = !std::isfinite(time_left(*job, now).count());
    queue.push_back(
        {job, estimate, guaranteed, hopeless,
         estimate.count() * spec.per_task.cpus * static_cast<double>(job->waiting.size())});
  }
  // The design's order is longest first. Before it come priority, for the deadlines, and work
  // within a team's guarantee (docs/design.md, "Order of the queue").
  std::stable_sort(queue.begin(), queue.end(), [](const Candidate& a, const Candidate& b) {
    const auto& x = a.job->spec();
    const auto& y = b.job->spec();
    if (x.priority != y.priority) return x.priority > y.priority;
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.hopeless != b.hopeless) return b.hopeless;
    return a.work < b.work;
  });

  Packer packer(settings_.tuning.bin_unit, now);
  for (auto& [id, machine] : fleet_.all())
    if (placeable(machine, now)) packer.offer(machine);

  // Bound groups first, on the machine that was rented for them.
  for (auto bound = bound_groups_.begin(); bound != bound_groups_.end();) {
    auto* machine = fleet_.find(bound->first);
    if (machine == nullptr) {
      unbind(bound->second, bound->first);
      bound = bound_groups_.erase(bound);
      continue;
    }
    if (!placeable(*machine, now)) {
      ++bound;
      continue;
    }
    for (const auto& key : bound->second) {
      const auto job = jobs_.find(key.job);
      if (job == jobs_.end() || job->second.tasks[key.index].bound != bound->first) continue;
      if (start_task(job->second, key.index, *machine, now)) packer.placed(*machine);
    }
    unbind(bound->second, bound->first);
    bound = bound_groups_.erase(bound);
  }

  const bool narrow_waits = std::any_of(by_age.begin(), by_age.end(), [&](const Job* job) {
    return std::any_of(types_.begin(), types_.end(), [&](const auto& entry) {
      return !job->spec().per_task.fits_in(entry.second.capacity);
    });
  });
  // Two passes: room first goes to tasks whose image is there, whatever their place in the queue,
  // unless a task has waited for as long as its fetch takes; then to the others.
  std::vector<ScalerTask> leftovers;
  for (const bool holders_only : {true, false})
    for (const auto& candidate : queue) {
      auto& job = *candidate.job;
      const auto& spec = job.spec();
      const bool patient = narrow_waits || now - job.opened < kReservationPatience;
      const auto may_use = [&](const Machine& m) {
        return allowed_on(spec, m.type, m.zone, m.spot) && !job.failed_on.contains(m.id) &&
               !(patient && reserved_for_others(spec, m.type)) && zone_allowed(job, m.zone);
      };
      const bool waited = now - job.opened > to_duration(longest_fetch(spec) * 0.3);
      const int least_rank = holders_only && !waited ? 1 : 0;
      const PackTask wanted{&spec, candidate.estimate};
      const std::vector<TaskIndex> waiting(job.waiting.begin(), job.waiting.end());
      bool room = true;
      for (const auto index : waiting) {
        auto& task = job.tasks[index];
        if (!within_limit(spec)) break;
        if (!task.bound.empty() && !settings_.tuning.bound_tasks_may_move) continue;
        auto* machine = room ? packer.choose(wanted, may_use, least_rank) : nullptr;
        if (machine != nullptr && start_task(job, index, *machine, now)) {
          packer.placed(*machine);
          continue;
        }
        room = false;
        if (holders_only || leftovers.size() >= kMostLeftovers) break;
        if (task.bound.empty()) leftovers.push_back({{spec.id, index}, &spec, candidate.estimate});
      }
    }
  const bool scale_due = now - last_scale_ >= to_duration(settings_.tuning.round);
  if (!leftovers.empty() && scale_due) {
    last_scale_ = now;
    scale(std::move(leftovers), now);
  }
}

std::vector<RentalOption> Controller::rental_options(TimePoint now) const {
  std::vector<RentalOption> options;
  for (const auto& [name, type] : types_)
    for (const auto& zone : type.zones)
      for (const bool spot : {true, false}) {
        const auto resting = resting_.find({name, zone, spot});
        if (resting != resting_.end() && now < resting->second) continue;
        const double price = spot ? type.spot_price : type.price;
        if (price > 0) options.push_back({&type, zone, spot, price});
      }
  return options;
}

bool Controller::dear(const std::string& type, bool spot) const {
  const auto& prices = types_.at(type);
  return !spot && prices.spot_price > 0 && prices.price > kDearFactor * prices.spot_price;
}

void Controller::scale(std::vector<ScalerTask> leftovers, TimePoint now) {
  // Team limits: tasks that could not start anyway must not rent machines.
  std::map<std::string, double> room;
  std::erase_if(leftovers, [&](const ScalerTask& task) {
    const auto& team = teams_.at(task.spec->team);
    if (team.max_cpus <= 0) return false;
    auto& left =
        room.try_emplace(team.name, team.max_cpus - fleet_.team_use(team.name).cpus).first->second;
    left -= task.spec->per_task.cpus;
    return left < -Resources::kSlack;
  });
  std::stable_sort(leftovers.begin(), leftovers.end(),
                   [](const auto& a, const auto& b) { return a.estimate > b.estimate; });
  const auto options = rental_options(now);
  const auto may_rent = [&](const JobSpec& spec, const RentalOption& option) {
    // Exception to the design: a dear kind is rented only for work that has waited, since room on
    // a cheap machine may come first (docs/design.md, "Dear machines last").
    const bool waited =
        !spec.spot_allowed || age(jobs_.at(spec.id), now) > settings_.tuning.dear_patience;
    return !reserved_for_others(spec, option.type->name) &&
           zone_allowed(jobs_.at(spec.id), option.zone) &&
           (waited || !dear(option.type->name, option.spot));
  };
  std::map<OptionKey, std::vector<std::vector<TaskKey>>> chosen;
  std::map<OptionKey, double> scores;
  while (!leftovers.empty()) {
    const auto choice = choose_rental(leftovers, options, may_rent);
    if (!choice) break;
    const OptionKey option{choice->option.type->name, choice->option.zone, choice->option.spot};
    std::vector<TaskKey> group;
    for (const auto index : choice->group) group.push_back(leftovers[index].key);
    for (auto index = choice->group.rbegin(); index != choice->group.rend(); ++index)
      leftovers.erase(leftovers.begin() + static_cast<long>(*index));
    chosen[option].push_back(std::move(group));
    if (chosen[option].size() >= 50) break;
  }
  for (auto& [option, groups] : chosen) {
    if (!rental_rate_.take(now)) break;
    // The token and a counter make the name: no other request ever bears it.
    Rental rental;
    rental.request = {"r-" + std::to_string(token_) + "-" + std::to_string(next_rental_++),
                      option.type, option.zone, option.spot, static_cast<int>(groups.size())};
    rental.sent = now;
    for (const auto& group : groups)
      for (const auto& key : group) jobs_.at(key.job).tasks[key.index].bound = rental.request.name;
    rental.groups = std::move(groups);
    actions_.push_back(rental.request);
    rentals_.emplace(rental.request.name, std::move(rental));
  }
}

void Controller::unbind(const std::vector<TaskKey>& group, const std::string& bound) {
  for (const auto& key : group) {
    const auto job = jobs_.find(key.job);
    if (job != jobs_.end() && job->second.tasks[key.index].bound == bound)
      job->second.tasks[key.index].bound.clear();
  }
  placing_wanted_ = true;
}

void Controller::rental_answered(const std::string& name, const RentalAnswer& answer,
                                 TimePoint now) {
  const auto found = rentals_.find(name);
  if (found == rentals_.end()) return;
  auto rental = std::move(found->second);
  rentals_.erase(found);
  const auto& request = rental.request;
  const OptionKey option{request.type, request.zone, request.spot};
  const auto rest = now + to_duration(settings_.tuning.refused_rest);
  if (answer.kind != RentalAnswer::Kind::rented) {
    // A refused pair rests and others are tried; with no answer, what was rented after all will
    // show up in the machine list.
    resting_[option] =
        answer.kind == RentalAnswer::Kind::no_capacity ? rest : now + to_duration(Seconds(3));
  } else if (answer.machines.size() < rental.groups.size()) {
    resting_[option] = rest;
  }
  for (std::size_t i = 0; i < rental.groups.size(); ++i) {
    if (answer.kind != RentalAnswer::Kind::rented || i >= answer.machines.size()) {
      unbind(rental.groups[i], name);
      continue;
    }
    const auto& id = answer.machines[i];
    auto* machine = fleet_.find(id);
    if (machine == nullptr) {
      machine = &fleet_.add(id);
      machine->type = request.type;
      machine->zone = request.zone;
      machine->spot = request.spot;
      machine->since = rental.sent;
      apply_type(*machine);
      save_machine(*machine);
    }
    for (const auto& key : rental.groups[i]) {
      const auto job = jobs_.find(key.job);
      if (job != jobs_.end() && job->second.tasks[key.index].bound == name)
        job->second.tasks[key.index].bound = id;
    }
    bound_groups_[id] = std::move(rental.groups[i]);
  }
  last_scale_ = now - to_duration(settings_.tuning.round);
  placing_wanted_ = true;
}

void Controller::clear_machines(TimePoint now) {
  const auto& tuning = settings_.tuning;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing || types_.empty()) continue;
    // A start that was never answered, of a job that has ended: nothing but the machine's return
    // proves that it will not be executed yet.
    const bool only_limbo =
        std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
          const auto& task = entry.second;
          return !task.seen && task.abandoned &&
                 now - task.placed > to_duration(settings_.workers.lease);
        });
    if (only_limbo && machine.confirmed && !bound_groups_.contains(id)) {
      if (!machine.idle_since) machine.idle_since = now;
      const bool dear_one = types_.contains(machine.type) && dear(machine.type, machine.spot);
      const auto wait = dear_one ? tuning.dear_idle_wait : tuning.idle_wait;
      const bool waited = now - *machine.idle_since >= to_duration(wait);
      if (waited || machine.clearing) want_release(machine, "it is idle", now);
      continue;
    }
    machine.idle_since.reset();
    if (!underused(machine, tuning.clearing_use)) {
      machine.underused_since.reset();
      continue;
    }
    if (!machine.underused_since) machine.underused_since = now;
    if (machine.clearing || now - *machine.underused_since < to_duration(tuning.clearing_wait))
      continue;
    machine.clearing = true;
    const auto type = types_.find(machine.type);
    Seconds boot = type == types_.end() ? Seconds(60) : type->second.boot;
    Seconds fetch{0};
    bool movable = true;
    for (const auto& [key, assignment] : machine.tasks) {
      const auto job = jobs_.find(key.job);
      if (job == jobs_.end()) continue;
      fetch = std::max(fetch, fetch_time(job->second.spec(), machine.fetch_gb_per_s));
      movable = movable && !job->second.tasks[key.index].restarted && !assignment.stop;
    }
    if (!movable || !worth_restarting(machine, now, boot, fetch)) continue;
    for (auto& [key, assignment] : machine.tasks) {
      const auto job = jobs_.find(key.job);
      if (job == jobs_.end()) continue;
      job->second.tasks[key.index].restarted = true;
      job->second.chunks_dirty.insert(key.index / kProgressChunk);
      stop_task(machine, assignment, now);
    }
  }
}

}  // namespace violetpulley::core
