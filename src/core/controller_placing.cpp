#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "core/clearing.hpp"
#include "core/controller.hpp"
#include "core/limits.hpp"
#include "core/prices.hpp"

namespace violetpulley::core {

namespace {

constexpr std::size_t kMostMachinesPerRental = 50;  // PROTOCOL, POST /rentals
constexpr std::chrono::minutes kNarrowRemembered{5};
constexpr std::chrono::seconds kReservationPatience{20};

// How long a task waits for a machine that holds its image, in fetches. Where many tasks wait for
// each place, a fetch takes room from all of them, and a holder is soon free.
constexpr double kHolderPatience = 0.3;
constexpr double kScarcePatience = 5;
constexpr std::size_t kTasksPerPlaceIfScarce = 8;

// Where machines are scarce, the smallest gangs find places first, until others have waited for this.
constexpr Seconds kGangAges{20};

// A fetch under this part of the work is not worth waiting for a machine that holds the image.
// At 0.3, which also changed arrays of 30 s and more, vinsamlag fell from 0.693 to 0.643.
constexpr double kFetchThatCounts = 0.05;

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
  for (const auto& id : foreign_)
    if (const auto* machine = fleet_.find(id)) total += machine->capacity;
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id); machine != nullptr && !foreign_.contains(id))
      total += machine->capacity;
  return total;
}

bool Controller::within_limit(const JobSpec& spec) const {
  const auto found = teams_.find(spec.team);
  if (found == teams_.end()) return false;
  return (fleet_.team_use(spec.team) + uncertain_ + spec.per_task).fits_in(limit_of(found->second));
}

// Where every task of the job possibly is, for same_zone and spread; empty for other jobs.
Controller::ZoneUse Controller::zone_use(const Job& job) const {
  ZoneUse use;
  if (!job.spec().same_zone && !job.spec().spread) return use;
  for (const auto& task : job.tasks) {
    if (task.phase != Phase::assigned) continue;
    if (const auto* machine = fleet_.find(task.machine)) ++use[machine->zone];
  }
  return use;
}

// The same with the tasks that wait for machines which boot or are being rented.
Controller::ZoneUse Controller::zone_claims(const Job& job) const {
  auto use = zone_use(job);
  if (!job.spec().spread) return use;
  for (const auto index : job.waiting) {
    const auto& bound = job.tasks[index].bound;
    if (bound.empty()) continue;
    if (const auto* machine = fleet_.find(bound))
      ++use[machine->zone];
    else if (const auto rental = rentals_.find(bound); rental != rentals_.end())
      ++use[rental->second.request.zone];
  }
  return use;
}

namespace {

bool zone_allowed(const JobSpec& spec, const std::map<std::string, TaskIndex>& use,
                  const std::string& zone) {
  const auto found = use.find(zone);
  const TaskIndex here = found == use.end() ? 0 : found->second;
  if (spec.same_zone) return use.empty() || (use.size() == 1 && here > 0);
  return !spec.spread || here + 1 <= (spec.tasks + 1) / 2;
}

}  // namespace

// The one place where starts are made: limits and places are checked here, whatever chose them.
bool Controller::start_task(Job& job, TaskIndex index, Machine& machine, Attempt attempt,
                            TimePoint now) {
  const auto& spec = job.spec();
  const auto& task = job.tasks[index];
  if (task.phase != Phase::waiting || unaccounted(job)) return false;
  if (!machine.reserved_for.empty() && machine.reserved_for != spec.id) return false;
  if (!placeable(machine, now) || !spec.per_task.fits_in(machine.free())) return false;
  if (!allowed_on(spec, machine.type, machine.zone, machine.spot)) return false;
  if (!zone_allowed(spec, zone_use(job), machine.zone) || !within_limit(spec)) return false;
  const TaskKey key{spec.id, index};
  if (machine.tasks.contains(key)) return false;
  Assignment assignment;
  assignment.attempt = attempt;
  assignment.resources = spec.per_task;
  assignment.team = spec.team;
  assignment.job_class = spec.job_class;
  assignment.image = spec.image;
  assignment.shape = spec.shape;
  assignment.saved = job.tasks[job.gang() ? 0 : index].saved;
  assignment.estimate = estimate_left(job, index);
  assignment.checkpoint_every = spec.checkpoint_every;
  assignment.save_time = spec.save_time;
  assignment.placed = now;
  if (image_rank(machine, spec.image) < 2)
    assignment.fetch = fetch_time(spec, machine.fetch_gb_per_s);
  fleet_.touch_image(machine, spec.image, spec.image_gb, false);
  fleet_.assign(machine, key, std::move(assignment));
  job.set_assigned(index, machine.id);
  machine.idle_since.reset();
  want_orders(machine);
  return true;
}

// What is left of a task, as far as saves tell.
Seconds Controller::estimate_left(const Job& job, TaskIndex index) const {
  return remaining_run_time(estimator_.estimate(job.spec()),
                            job.tasks[job.gang() ? 0 : index].saved);
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

Controller::Outlook Controller::outlook(const Job& job, TimePoint now) const {
  // A service has no time to be done by.
  if (job.service() || std::isfinite(time_left(job, now).count())) return Outlook::in_time;
  const auto& spec = job.spec();
  const auto done = age(job, now) + estimator_.estimate(spec);
  const bool late = spec.deadline && std::any_of(settings_.late_aims.begin(),
                                                 settings_.late_aims.end(), [&](const LateAim& aim) {
                                                   return aim.job_class == spec.job_class &&
                                                          done < *spec.deadline * aim.times;
                                                 });
  return late ? Outlook::late : Outlook::hopeless;
}

// Exception to the design: types that some jobs' tasks cannot do without are left to those by tasks
// that fit another type (docs/design.md, "Scarce types").
void Controller::note_narrow_types(TimePoint now) {
  if (types_.size() > 1)
    for (const auto& [id, job] : jobs_) {
      const auto fits = [&](const auto& entry) {
        return job.spec().per_task.fits_in(entry.second.capacity);
      };
      const auto fitting = std::count_if(types_.begin(), types_.end(), fits);
      if (fitting == 0 || static_cast<std::size_t>(fitting) == types_.size()) continue;
      for (const auto& entry : types_)
        if (fits(entry)) narrow_types_[entry.first] = now;
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

std::vector<std::string> Controller::types_for_others(const JobSpec& spec) const {
  std::vector<std::string> types;
  for (const auto& [name, since] : narrow_types_)
    if (reserved_for_others(spec, name)) types.push_back(name);
  return types;
}

namespace {

// Whether a team's guarantee covers this use: a guarantee may be in processors, in GPUs or in both.
bool covers(const Team& team, const Resources& use) {
  const bool cpus = team.guaranteed_cpus > 0 || team.guaranteed_gpus > 0;
  return cpus &&
         (team.guaranteed_cpus <= 0 || use.cpus <= team.guaranteed_cpus + Resources::kSlack) &&
         use.gpus <= team.guaranteed_gpus + Resources::kSlack;
}

}  // namespace

// The jobs with waiting tasks, in the order in which room goes to them.
std::vector<Controller::Candidate> Controller::waiting_jobs(TimePoint now) {
  std::vector<Job*> by_age;
  ordinary_work_ = false;
  gangs_ = false;
  for (auto& [id, job] : jobs_) {
    ordinary_work_ = ordinary_work_ || !job.spec().spot_allowed;
    gangs_ = gangs_ || job.gang();
    if (job.waiting.empty() || now < job.backoff_until) continue;
    if (unaccounted(job)) continue;
    by_age.push_back(&job);
  }
  std::sort(by_age.begin(), by_age.end(), [](const Job* a, const Job* b) {
    return std::tie(a->record.submitted, a->spec().id) <
           std::tie(b->record.submitted, b->spec().id);
  });
  std::vector<Candidate> queue;
  std::map<std::string, Resources> claimed;
  for (auto* job : by_age) {
    const auto& spec = job->spec();
    const auto team = teams_.find(spec.team);
    auto& claim = claimed.try_emplace(spec.team, fleet_.team_use(spec.team)).first->second;
    const auto waiting = spec.per_task * static_cast<double>(job->waiting.size());
    claim += waiting;
    const bool guaranteed = team != teams_.end() && covers(team->second, claim);
    const auto estimate = estimate_left(*job, *job->waiting.begin());
    const double size = spec.per_task.gpus > 0 ? waiting.gpus : waiting.cpus;
    const bool aged = job->gang() && age(*job, now) > kGangAges;
    queue.push_back({job, estimate, guaranteed, outlook(*job, now), estimate.count() * size, aged});
  }
  // The design's order is longest first. Before it come priority, for the deadlines, and work
  // within a team's guarantee (docs/design.md, "Order of the queue").
  std::stable_sort(queue.begin(), queue.end(), [](const Candidate& a, const Candidate& b) {
    const auto& x = a.job->spec();
    const auto& y = b.job->spec();
    if (x.priority != y.priority) return x.priority > y.priority;
    if (a.aged != b.aged) return a.aged;
    if (a.aged) return a.job->record.submitted < b.job->record.submitted;
    if (a.guaranteed != b.guaranteed) return a.guaranteed;
    if (a.outlook != b.outlook) return a.outlook < b.outlook;
    return a.work < b.work;
  });
  return queue;
}

// Bound groups come first, on the machine that was rented for them.
void Controller::place_bound(Packer& packer, TimePoint now) {
  for (auto bound = bound_groups_.begin(); bound != bound_groups_.end();) {
    auto* machine = fleet_.find(bound->first);
    if (machine != nullptr && !placeable(*machine, now)) {
      ++bound;
      continue;
    }
    for (const auto& key : bound->second) {
      const auto job = jobs_.find(key.job);
      if (machine == nullptr || job == jobs_.end() ||
          job->second.tasks[key.index].bound != bound->first)
        continue;
      if (start_task(job->second, key.index, *machine, next_attempt_++, now)) packer.placed(*machine);
    }
    unbind(bound->second, bound->first);
    bound = bound_groups_.erase(bound);
  }
}

void Controller::place_job(Packer& packer, const Candidate& candidate, bool holders_only,
                           TimePoint now) {
  auto& job = *candidate.job;
  const auto& spec = job.spec();
  if (job.gang() || job.waiting.empty() || !within_limit(spec)) return;
  // Waiting for a machine that holds the image pays only where the fetch is long against the work.
  const auto fetch = longest_fetch(spec);
  const double patience = scarce_ ? kScarcePatience : kHolderPatience;
  const bool waited = fetch < candidate.estimate * kFetchThatCounts ||
                      now - job.opened > to_duration(fetch * patience);
  const int least_rank = holders_only && !waited ? 1 : 0;
  const bool patient = narrow_waits_ || now - job.opened < kReservationPatience;
  const auto barred = patient ? types_for_others(spec) : std::vector<std::string>{};
  // Exception to the design: empty ordinary machines are left to work that may use no others
  // (docs/design.md, "Ordinary machines").
  const bool leaves_ordinary = ordinary_work_ && spec.spot_allowed &&
                               age(job, now) < settings_.tuning.dear_patience;
  // Where a job is bound to zones, each start changes what the next one may use.
  const bool zoned = spec.same_zone || spec.spread;
  for (bool started = true; started;) {
    started = false;
    const auto zones = zone_use(job);
    auto choices = packer.choices(
        spec, candidate.estimate,
        [&](const Machine& m) {
          return allowed_on(spec, m.type, m.zone, m.spot) && m.reserved_for.empty() &&
                 !(leaves_ordinary && !m.spot && m.tasks.empty() && dear(m.type, m.spot)) &&
                 std::find(barred.begin(), barred.end(), m.type) == barred.end() &&
                 !job.failed_on.contains(m.id) && zone_allowed(spec, zones, m.zone);
        },
        least_rank);
    for (auto next = job.waiting.begin(); next != job.waiting.end() && !(zoned && started);) {
      const auto index = *next++;  // a start takes it out of the set
      if (!job.tasks[index].bound.empty() && !settings_.tuning.bound_tasks_may_move) continue;
      auto* machine = choices.best();
      if (machine == nullptr || !start_task(job, index, *machine, next_attempt_++, now))
        return;
      choices.placed(*machine);
      started = true;
    }
    if (!zoned) return;
  }
}

void Controller::place(TimePoint now) {
  if (types_.empty()) return;
  uncertain_ = uncertain_use();
  unconfirmed_kinds_.clear();
  for (const auto& id : unconfirmed_)
    if (const auto* machine = fleet_.find(id))
      unconfirmed_kinds_.insert({machine->type, machine->zone, machine->spot});
  note_narrow_types(now);
  const auto queue = waiting_jobs(now);
  narrow_waits_ = std::any_of(queue.begin(), queue.end(), [&](const Candidate& candidate) {
    return std::any_of(types_.begin(), types_.end(), [&](const auto& entry) {
      return !candidate.job->spec().per_task.fits_in(entry.second.capacity);
    });
  });
  // Full machines are of no use to anybody: with a large fleet that is nearly all of them.
  Resources least{1e18, 1e18, 1e18};
  for (const auto& candidate : queue) {
    const auto& need = candidate.job->spec().per_task;
    least = {std::min(least.cpus, need.cpus), std::min(least.gpus, need.gpus),
             std::min(least.memory_gb, need.memory_gb)};
  }
  Packer packer(settings_.tuning.bin_unit, now);
  std::vector<Machine*> open;
  if (!queue.empty())
    for (auto& [id, machine] : fleet_.all())
      if (least.fits_in(machine.free()) && placeable(machine, now)) open.push_back(&machine);
  std::size_t waiting = 0;
  for (const auto& candidate : queue)
    if (!candidate.job->gang()) waiting += candidate.job->waiting.size();
  JobSpec smallest;  // a large machine has room for many tasks: places count, not machines
  smallest.per_task = least;
  smallest.tasks = static_cast<TaskIndex>(std::min<std::size_t>(waiting, 100'000));
  std::size_t places = 1;
  for (const auto* machine : open) places += places_on(machine->free(), smallest);
  scarce_ = waiting > kTasksPerPlaceIfScarce * places;
  if (gangs_) packer.keep_whole();
  for (auto* machine : open) packer.offer(*machine);
  place_bound(packer, now);
  rooms_.new_round();
  // Two passes: room first goes to tasks whose image is there, whatever their place in the queue,
  // unless a task has waited for as long as its fetch takes; then to the others.
  for (const bool holders_only : {true, false})
    for (const auto& candidate : queue) {
      if (candidate.job->gang() && holders_only) place_gang(candidate, open, now);
      if (!packer.empty()) place_job(packer, candidate, holders_only, now);
    }
  make_room_for_services(queue, now);
  looks_ += fleet_.all().size() + packer.looks();
  if (now - last_scale_ < to_duration(settings_.tuning.round)) return;
  auto left = leftovers(queue);
  if (left.empty() && !gangs_) return;
  last_scale_ = now;
  scale(std::move(left), queue, now);
}

// The tasks that found no room and are not bound yet, in the order of the queue.
std::vector<ScalerJob> Controller::leftovers(const std::vector<Candidate>& queue) const {
  std::vector<ScalerJob> left;
  std::map<std::string, Resources> room;  // tasks that could not start must not rent machines
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    const auto& spec = job.spec();
    const auto known = teams_.find(spec.team);
    if (known == teams_.end() || job.gang()) continue;
    const auto& team = known->second;
    auto& free = room.try_emplace(spec.team, limit_of(team) - fleet_.team_use(spec.team) -
                                                 uncertain_)
                     .first->second;
    ScalerJob entry{&spec, candidate.estimate, {}, {}};
    for (const auto index : job.waiting) {
      if (!spec.per_task.fits_in(free)) break;
      free -= spec.per_task;
      if (!job.tasks[index].bound.empty()) continue;
      entry.tasks.push_back(index);
    }
    if (spec.spread) {
      const auto claims = zone_claims(job);
      for (const auto& [name, type] : types_)
        for (const auto& zone : type.zones) {
          const auto claimed = claims.find(zone);
          const TaskIndex here = claimed == claims.end() ? 0 : claimed->second;
          const TaskIndex most = (spec.tasks + 1) / 2;
          entry.zone_room[zone] = most > here ? most - here : 0;
        }
    }
    if (!entry.tasks.empty()) left.push_back(std::move(entry));
  }
  return left;
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
  // Of options that score alike the first one is chosen: zones take turns.
  std::stable_sort(options.begin(), options.end(), [&](const auto& x, const auto& y) {
    const auto last = [&](const RentalOption& option) {
      const auto found = last_rented_.find({option.type->name, option.zone, option.spot});
      return found == last_rented_.end() ? TimePoint{} : found->second;
    };
    return last(x) < last(y);
  });
  return options;
}

bool Controller::dear(const std::string& type, bool spot) const {
  const auto& prices = types_.at(type);
  return !spot && prices.spot_price > 0 && is_dear(prices.price, prices.spot_price);
}

void Controller::scale(std::vector<ScalerJob> leftovers, const std::vector<Candidate>& queue,
                       TimePoint now) {
  std::stable_sort(leftovers.begin(), leftovers.end(),
                   [](const auto& a, const auto& b) { return a.estimate > b.estimate; });
  const auto may_rent = [&](const JobSpec& spec, const RentalOption& option) {
    const auto& job = jobs_.at(spec.id);
    // Exception to the design: a dear kind is rented only for work that has waited, since room on
    // a cheap machine may come first (docs/design.md, "Dear machines last").
    const bool waited = !spec.spot_allowed || age(job, now) > settings_.tuning.dear_patience;
    return (waited || !dear(option.type->name, option.spot)) &&
           !reserved_for_others(spec, option.type->name) &&
           zone_allowed(spec, zone_use(job), option.zone);
  };
  Scaler scaler(std::move(leftovers), rental_options(now), may_rent);
  Chosen chosen;
  while (const auto choice = scaler.choose()) {
    const auto& option = scaler.option(*choice);
    auto& groups = chosen[{option.type->name, option.zone, option.spot}];
    do {
      auto tasks = scaler.take(*choice);
      const bool lasting = jobs_.at(tasks.front().job).service();
      groups.push_back({std::move(tasks), {}, 0, lasting ? RentalRank::service : RentalRank::array});
    } while (groups.size() < kMostMachinesPerRental && scaler.repeats(*choice));
    if (groups.size() >= kMostMachinesPerRental) scaler.exhaust(*choice);
  }
  add_gang_rentals(queue, chosen, now);
  // Requests are few a second: the option that was asked for longest ago comes first, so that
  // none starves behind another that fills one request after the other.
  std::vector<OptionKey> order;
  for (const auto& [option, groups] : chosen) order.push_back(option);
  std::stable_sort(order.begin(), order.end(), [&](const OptionKey& x, const OptionKey& y) {
    return last_rented_[x] < last_rented_[y];
  });
  for (const auto& option : order) {
    auto& groups = chosen.at(option);
    if (!rental_rate_.take(now)) break;
    // Where fewer machines come than were asked for, the first groups get them.
    std::stable_sort(groups.begin(), groups.end(), [](const RentalGroup& a, const RentalGroup& b) {
      return a.rank < b.rank;
    });
    if (groups.size() > kMostMachinesPerRental) groups.resize(kMostMachinesPerRental);
    send_rental(option, std::move(groups), now);
  }
}

void Controller::send_rental(const OptionKey& option, std::vector<RentalGroup> groups,
                             TimePoint now) {
  last_rented_[option] = now;
  // The token and a counter make the name: no other request ever bears it.
  Rental rental;
  rental.request = {"r-" + std::to_string(token_) + "-" + std::to_string(next_rental_++),
                    option.type, option.zone, option.spot, static_cast<int>(groups.size())};
  rental.sent = now;
  for (const auto& group : groups) {
    for (const auto& key : group.tasks)
      jobs_.at(key.job).tasks[key.index].bound = rental.request.name;
    if (auto* room = rooms_.find(group.gang)) {
      room->asked += group.places;
      room->missing -= std::min(room->missing, group.places);
    }
  }
  rental.groups = std::move(groups);
  actions_.push_back(rental.request);
  rentals_.emplace(rental.request.name, std::move(rental));
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
    auto& group = rental.groups[i];
    auto* room = rooms_.find(group.gang);
    if (room != nullptr) room->asked -= std::min(room->asked, group.places);
    if (answer.kind != RentalAnswer::Kind::rented || i >= answer.machines.size()) {
      unbind(group.tasks, name);
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
    // A gang that has moved on leaves its machine to anyone.
    if (room != nullptr && machine->reserved_for.empty() && machine->tasks.empty() &&
        (room->region.empty() || room->region == machine->zone))
      rooms_.claim(group.gang, *machine);
    for (const auto& key : group.tasks) {
      const auto job = jobs_.find(key.job);
      if (job != jobs_.end() && job->second.tasks[key.index].bound == name)
        job->second.tasks[key.index].bound = id;
    }
    if (!group.tasks.empty()) bound_groups_[id] = std::move(group.tasks);
  }
  last_scale_ = now - to_duration(settings_.tuning.round);
  placing_wanted_ = true;
}

void Controller::clear_machines(TimePoint now) {
  const auto& tuning = settings_.tuning;
  for (auto& [id, machine] : fleet_.all()) {
    if (!machine.up() || machine.releasing || types_.empty()) continue;
    if (!machine.reserved_for.empty()) {
      machine.idle_since.reset();
      machine.underused_since.reset();
      continue;
    }
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
      // For work that may use no others, ordinary machines are not dear.
      const bool dear_one = !ordinary_work_ && types_.contains(machine.type) &&
                            dear(machine.type, machine.spot);
      const auto wait = dear_one ? tuning.dear_idle_wait : tuning.idle_wait;
      const bool waited = now - *machine.idle_since >= to_duration(wait);
      if (waited || machine.clearing) want_release(machine, "idle", now);
      continue;
    }
    machine.idle_since.reset();
    // Other work fills what replicas leave free; moving one costs replica time, and moving one task
    // of a gang stops them all (docs/design.md, "Services", "Gangs").
    const bool stays = std::any_of(machine.tasks.begin(), machine.tasks.end(), [](const auto& t) {
      return t.second.shape != Shape::array;
    });
    if (stays || !underused(machine, tuning.clearing_use)) {
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
      progress_changed(job->second, key.index);
      stop_saving(machine, key, assignment, settings_.workers.lease, now);
    }
  }
}

}  // namespace violetpulley::core
