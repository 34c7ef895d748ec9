#include "core/autoscaling/scale_out_planner.hpp"

#include <algorithm>

#include "core/model/limits.hpp"

namespace violetpulley::core {

namespace {
constexpr std::size_t kMaxMachinesPerRequest = 50;  // PROTOCOL, POST /rentals
}  // namespace

void ScaleOutPlanner::round(const std::vector<Candidate>& queue, TimePoint now) {
  if (now - last_scale_ < to_duration(settings_.tuning.round)) return;
  auto left = unplaced_tasks(queue);
  if (left.empty() && !scarcity_.gangs()) return;
  last_scale_ = now;
  scale(std::move(left), queue, now);
}

// The tasks that found no room and are not bound yet, in the order of the queue.
std::vector<ScalerJob> ScaleOutPlanner::unplaced_tasks(const std::vector<Candidate>& queue) const {
  std::vector<ScalerJob> left;
  std::map<std::string, Resources> room;  // tasks that could not start must not rent machines
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    const auto& spec = job.spec();
    const auto limit = task_starter_.quota_left(spec.team);
    if (!limit || job.gang() || job.suspected) continue;
    auto& free = room.try_emplace(spec.team, *limit).first->second;
    ScalerJob entry{&spec, candidate.estimate, {}, {}};
    for (const auto index : job.waiting) {
      if (!spec.per_task.fits_in(free)) break;
      if (task_starter_.blocked_on_reconciliation(job, index)) continue;
      free -= spec.per_task;
      if (!job.tasks[index].bound.empty()) continue;
      entry.tasks.push_back(index);
    }
    if (spec.spread) {
      const auto claims = zone_claims(job);
      for (const auto& [name, type] : catalog_.types())
        for (const auto& zone : type.zones) {
          const auto claimed = claims.find(zone);
          const TaskIndex here = claimed == claims.end() ? 0 : claimed->second;
          const TaskIndex most = max_tasks_in_zone(spec);
          entry.zone_capacity[zone] = most > here ? most - here : 0;
        }
    }
    if (!entry.tasks.empty()) left.push_back(std::move(entry));
  }
  return left;
}

// Where the job's tasks are or will be: those too that wait for machines which boot or are being
// rented.
ZoneUse ScaleOutPlanner::zone_claims(const Job& job) const {
  auto use = task_starter_.zone_use(job);
  if (!job.spec().spread) return use;
  for (const auto index : job.waiting) {
    const auto& bound = job.tasks[index].bound;
    if (bound.empty()) continue;
    if (const auto* machine = fleet_.find(bound))
      ++use[machine->zone];
    else if (const auto rental = requests_in_flight_.find(bound);
             rental != requests_in_flight_.end())
      ++use[rental->second.request.zone];
  }
  return use;
}

void ScaleOutPlanner::scale(std::vector<ScalerJob> unplaced_tasks,
                            const std::vector<Candidate>& queue, TimePoint now) {
  std::stable_sort(unplaced_tasks.begin(), unplaced_tasks.end(),
                   [](const auto& a, const auto& b) { return a.estimate > b.estimate; });
  const auto may_use_offering = [&](const JobSpec& spec, const InstanceOffering& option) {
    const auto& job = jobs_.at(spec.id);
    // Exception to the design: a dear kind is rented only for work that has waited, since room on
    // a cheap machine may come first (docs/design.md, "Dear machines last").
    const bool waited =
        !spec.spot_allowed || forecaster_.age(job, now) > settings_.tuning.on_demand_patience;
    return (waited || !catalog_.expensive(option.type->name, option.spot)) &&
           !scarcity_.reserved_for_others(spec, option.type->name) &&
           zone_allowed(spec, task_starter_.zone_use(job), option.zone);
  };
  Scaler scaler(std::move(unplaced_tasks), offerings_.options(now), may_use_offering);
  ScaleOutPlan chosen;
  while (const auto choice = scaler.choose()) {
    const auto& option = scaler.option(*choice);
    auto& groups = chosen[{option.type->name, option.zone, option.spot}];
    do {
      auto tasks = scaler.take(*choice);
      const bool lasting = jobs_.at(tasks.front().job).service();
      groups.push_back(
          {std::move(tasks), {}, 0, lasting ? ScaleOutRank::service : ScaleOutRank::array});
    } while (groups.size() < kMaxMachinesPerRequest && scaler.repeats(*choice));
    if (groups.size() >= kMaxMachinesPerRequest) scaler.exhaust(*choice);
  }
  gang_scheduler_.add_scale_out_groups(queue, chosen, now);
  // Requests are few a second: the option that was asked for longest ago comes first, so that
  // none starves behind another that fills one request after the other.
  std::vector<OfferingKey> order;
  for (const auto& [option, groups] : chosen) order.push_back(option);
  std::stable_sort(order.begin(), order.end(), [&](const OfferingKey& x, const OfferingKey& y) {
    return offerings_.last_requested(x) < offerings_.last_requested(y);
  });
  for (const auto& option : order) {
    auto& groups = chosen.at(option);
    if (!rate_.take(now)) break;
    // Where fewer machines come than were asked for, the first groups get them.
    std::stable_sort(
        groups.begin(), groups.end(),
        [](const ScaleOutGroup& a, const ScaleOutGroup& b) { return a.rank < b.rank; });
    if (groups.size() > kMaxMachinesPerRequest) groups.resize(kMaxMachinesPerRequest);
    send(option, std::move(groups), now);
  }
}

void ScaleOutPlanner::send(const OfferingKey& option, std::vector<ScaleOutGroup> groups,
                           TimePoint now) {
  offerings_.asked(option, now);
  // The token and a counter make the name: no other request ever bears it.
  PendingScaleOut rental;
  rental.request = {"r-" + std::to_string(token_) + "-" + std::to_string(next_request_++),
                    option.type, option.zone, option.spot, static_cast<int>(groups.size())};
  rental.sent = now;
  for (const auto& group : groups) {
    bindings_.bind(group.tasks, rental.request.name);
    gang_scheduler_.asked(group.gang, group.places);
  }
  rental.groups = std::move(groups);
  out_.push_back(rental.request);
  requests_in_flight_.emplace(rental.request.name, std::move(rental));
}

void ScaleOutPlanner::answered(const std::string& name, const ScaleOutResult& answer,
                               TimePoint now) {
  const auto found = requests_in_flight_.find(name);
  if (found == requests_in_flight_.end()) return;
  auto rental = std::move(found->second);
  requests_in_flight_.erase(found);
  const auto& request = rental.request;
  const OfferingKey option{request.type, request.zone, request.spot};
  const auto rest = now + to_duration(settings_.tuning.refused_cooldown);
  if (answer.kind != ScaleOutResult::Kind::granted) {
    // A refused pair rests and others are tried; with no answer, what was rented after all will
    // show up in the machine list.
    offerings_.start_cooldown(option, answer.kind == ScaleOutResult::Kind::no_capacity
                                          ? rest
                                          : now + to_duration(Seconds(3)));
  } else if (answer.machines.size() < rental.groups.size()) {
    offerings_.start_cooldown(option, rest);
  }
  for (std::size_t i = 0; i < rental.groups.size(); ++i) {
    auto& group = rental.groups[i];
    gang_scheduler_.answered(group.gang, group.places);
    if (answer.kind != ScaleOutResult::Kind::granted || i >= answer.machines.size()) {
      bindings_.unbind(group.tasks, name);
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
      catalog_.apply(*machine);
      registry_.save(*machine);
    }
    gang_scheduler_.granted(group.gang, *machine);
    bindings_.rebind(std::move(group.tasks), name, id);
  }
  last_scale_ = now - to_duration(settings_.tuning.round);
  out_.want_placing();
}

}  // namespace violetpulley::core
