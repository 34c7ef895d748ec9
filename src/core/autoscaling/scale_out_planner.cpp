#include "core/autoscaling/scale_out_planner.hpp"

#include <algorithm>

#include "core/model/limits.hpp"

namespace violetpulley::core {

namespace {

constexpr std::size_t kMaxMachinesPerRequest = 50;  // PROTOCOL, POST /rentals

/// Cooldown of an offering after an answer that says nothing about its capacity, or after none.
constexpr Seconds kUnclearAnswerCooldown{3};

bool has_longer_estimate(const ScalerJob& a, const ScalerJob& b) { return a.estimate > b.estimate; }

bool ranks_before(const ScaleOutGroup& a, const ScaleOutGroup& b) { return a.rank < b.rank; }

/// Whether the cloud has granted a machine for the group at this index.
bool is_granted(const ScaleOutResult& answer, std::size_t group) {
  return answer.kind == ScaleOutResult::Kind::granted && group < answer.machines.size();
}

}  // namespace

void ScaleOutPlanner::round(const std::vector<Candidate>& queue, TimePoint now) {
  if (now - last_planned_at_ < to_duration(settings_.tuning.round_interval)) return;
  auto unplaced = unplaced_tasks(queue);
  if (unplaced.empty() && !scarcity_.has_gangs()) return;
  last_planned_at_ = now;
  auto plan = plan_for_tasks(std::move(unplaced), now);
  gang_scheduler_.add_scale_out_groups(queue, plan, now);
  send_plan(plan, now);
}

std::vector<ScalerJob> ScaleOutPlanner::unplaced_tasks(const std::vector<Candidate>& queue) const {
  std::vector<ScalerJob> unplaced;
  // No machines are requested for tasks that cannot start because of their team's quota.
  std::map<std::string, Resources> remaining_quota_by_team;
  for (const auto& candidate : queue) {
    const auto& job = *candidate.job;
    const auto& spec = job.spec();
    const auto quota = task_starter_.remaining_quota(spec.team);
    if (!quota || job.gang() || job.suspected_faulty) continue;
    auto& remaining_quota = remaining_quota_by_team.try_emplace(spec.team, *quota).first->second;
    ScalerJob entry{&spec, candidate.estimate, unplaced_tasks_of(job, remaining_quota), {}};
    if (spec.spread) entry.zone_capacity = zone_capacity(job);
    if (!entry.tasks.empty()) unplaced.push_back(std::move(entry));
  }
  return unplaced;
}

std::vector<TaskIndex> ScaleOutPlanner::unplaced_tasks_of(const Job& job,
                                                          Resources& remaining_quota) const {
  const auto& need = job.spec().per_task;
  std::vector<TaskIndex> tasks;
  for (const auto index : job.waiting) {
    if (!need.fits_in(remaining_quota)) break;
    if (task_starter_.is_blocked(job, index)) continue;
    remaining_quota -= need;
    if (job.tasks[index].bound_to.empty()) tasks.push_back(index);
  }
  return tasks;
}

std::map<std::string, TaskIndex> ScaleOutPlanner::zone_capacity(const Job& job) const {
  const auto claims = zone_claims(job);
  const TaskIndex max_tasks = max_tasks_in_zone(job.spec());
  std::map<std::string, TaskIndex> capacity;
  for (const auto& [name, type] : catalog_.types())
    for (const auto& zone : type.zones) {
      const auto claim = claims.find(zone);
      const TaskIndex claimed = claim == claims.end() ? 0 : claim->second;
      capacity[zone] = max_tasks > claimed ? max_tasks - claimed : 0;
    }
  return capacity;
}

ZoneUse ScaleOutPlanner::zone_claims(const Job& job) const {
  auto use = task_starter_.zone_use(job);
  if (!job.spec().spread) return use;
  for (const auto index : job.waiting) {
    const auto& bound = job.tasks[index].bound_to;
    if (bound.empty()) continue;
    const auto pending = requests_in_flight_.find(bound);
    if (const auto* machine = fleet_.find(bound))
      ++use[machine->zone];
    else if (pending != requests_in_flight_.end())
      ++use[pending->second.request.zone];
  }
  return use;
}

bool ScaleOutPlanner::may_use_offering(const JobSpec& spec, const InstanceOffering& offering,
                                       TimePoint now) const {
  const auto& job = jobs_.at(spec.id);
  // Exception to the design: for a job that may use spot machines, an expensive offering is
  // requested only after `on_demand_wait`, since capacity on a cheap machine may become
  // available earlier (docs/design.md, "Expensive machines last").
  const bool waited =
      !spec.spot_allowed || forecaster_.age(job, now) > settings_.tuning.on_demand_wait;
  return (waited || !catalog_.expensive(offering.type->name, offering.spot)) &&
         !scarcity_.reserved_for_others(spec, offering.type->name) &&
         zone_allowed(spec, task_starter_.zone_use(job), offering.zone);
}

ScaleOutPlan ScaleOutPlanner::plan_for_tasks(std::vector<ScalerJob> unplaced_tasks,
                                             TimePoint now) const {
  std::stable_sort(unplaced_tasks.begin(), unplaced_tasks.end(), has_longer_estimate);
  Scaler scaler(std::move(unplaced_tasks), offerings_.available(now),
                [&](const JobSpec& spec, const InstanceOffering& offering) {
                  return may_use_offering(spec, offering, now);
                });
  ScaleOutPlan plan;
  while (const auto choice = scaler.choose()) {
    const auto& offering = scaler.offering_of(*choice);
    auto& groups = plan[{offering.type->name, offering.zone, offering.spot}];
    do {
      groups.push_back(group_of(scaler.take(*choice)));
    } while (groups.size() < kMaxMachinesPerRequest && scaler.can_repeat(*choice));
    if (groups.size() >= kMaxMachinesPerRequest) scaler.exhaust(*choice);
  }
  return plan;
}

ScaleOutGroup ScaleOutPlanner::group_of(std::vector<TaskKey> tasks) const {
  const bool has_service = jobs_.at(tasks.front().job).service();
  ScaleOutGroup group;
  group.tasks = std::move(tasks);
  group.rank = has_service ? ScaleOutRank::service : ScaleOutRank::array;
  return group;
}

// The rate limit permits few requests per second. The least recently requested offering is first,
// so that an offering that fills every request does not keep the others waiting indefinitely.
void ScaleOutPlanner::send_plan(ScaleOutPlan& plan, TimePoint now) {
  std::vector<OfferingKey> order;
  for (const auto& [offering, groups] : plan) order.push_back(offering);
  std::stable_sort(order.begin(), order.end(), [&](const OfferingKey& a, const OfferingKey& b) {
    return offerings_.last_requested(a) < offerings_.last_requested(b);
  });
  for (const auto& offering : order) {
    auto& groups = plan.at(offering);
    if (!rate_.take(now)) break;
    // If the cloud grants fewer machines than were requested, the first groups get them.
    std::stable_sort(groups.begin(), groups.end(), ranks_before);
    if (groups.size() > kMaxMachinesPerRequest) groups.resize(kMaxMachinesPerRequest);
    send(offering, std::move(groups), now);
  }
}

void ScaleOutPlanner::send(const OfferingKey& offering, std::vector<ScaleOutGroup> groups,
                           TimePoint now) {
  offerings_.record_request(offering, now);
  PendingScaleOut pending;
  pending.request = {next_request_name(), offering.type, offering.zone, offering.spot,
                     static_cast<int>(groups.size())};
  pending.sent = now;
  for (const auto& group : groups) {
    bindings_.bind(group.tasks, pending.request.name);
    gang_scheduler_.slots_requested(group.gang, group.slots);
  }
  pending.groups = std::move(groups);
  out_.push_back(pending.request);
  requests_in_flight_.emplace(pending.request.name, std::move(pending));
}

// The name consists of the fencing token and a counter, so it is unique over all leaders.
std::string ScaleOutPlanner::next_request_name() {
  return "r-" + std::to_string(token_) + "-" + std::to_string(next_request_++);
}

void ScaleOutPlanner::answered(const std::string& name, const ScaleOutResult& answer,
                               TimePoint now) {
  const auto found = requests_in_flight_.find(name);
  if (found == requests_in_flight_.end()) return;
  auto pending = std::move(found->second);
  requests_in_flight_.erase(found);
  update_cooldown(pending, answer, now);
  for (std::size_t index = 0; index < pending.groups.size(); ++index) {
    auto& group = pending.groups[index];
    gang_scheduler_.request_answered(group.gang, group.slots);
    if (!is_granted(answer, index)) {
      bindings_.unbind(group.tasks, name);
      continue;
    }
    auto& machine = find_or_add_machine(answer.machines[index], pending);
    gang_scheduler_.machine_granted(group.gang, machine);
    bindings_.rebind(std::move(group.tasks), name, machine.id);
  }
  last_planned_at_ = now - to_duration(settings_.tuning.round_interval);
  out_.request_scheduling_round();
}

// A cooldown excludes a refused offering, so that others are tried. If a request was not answered,
// machines that were granted nevertheless will appear in the cloud's list.
void ScaleOutPlanner::update_cooldown(const PendingScaleOut& pending, const ScaleOutResult& answer,
                                      TimePoint now) {
  const auto& request = pending.request;
  const OfferingKey offering{request.type, request.zone, request.spot};
  const auto& refused_cooldown = settings_.tuning.refused_cooldown;
  if (answer.kind == ScaleOutResult::Kind::granted) {
    if (answer.machines.size() < pending.groups.size())
      offerings_.start_cooldown(offering, now + to_duration(refused_cooldown));
    return;
  }
  const bool no_capacity = answer.kind == ScaleOutResult::Kind::no_capacity;
  offerings_.start_cooldown(
      offering, now + to_duration(no_capacity ? refused_cooldown : kUnclearAnswerCooldown));
}

Machine& ScaleOutPlanner::find_or_add_machine(const MachineId& id, const PendingScaleOut& pending) {
  if (auto* machine = fleet_.find(id)) return *machine;
  auto& machine = fleet_.add(id);
  machine.type = pending.request.type;
  machine.zone = pending.request.zone;
  machine.spot = pending.request.spot;
  machine.requested_at = pending.sent;
  catalog_.apply(machine);
  registry_.save(machine);
  return machine;
}

}  // namespace violetpulley::core
