/// @file
/// Order of the queries, and cost of waiting for silent machines.
#include "core/failover/reconciler.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/scheduling/gang_reservations.hpp"

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kCostInterval{250};
// Covers two queries and the round trips of their answers; TCP retransmits a lost first packet
// after one second.
constexpr std::chrono::milliseconds kMinResponseWait{1000};
// An agent sends another heartbeat at most 0.5 s after it has learned a higher token.
constexpr std::chrono::milliseconds kSecondHeartbeatDelay{1200};
constexpr Seconds kDefaultBootTime{60};  // of a machine type that the catalog does not list

// Silent machines among the machines of a zone or of the whole fleet.
struct SilenceCount {
  std::size_t up = 0;
  std::size_t silent = 0;

  void add(bool is_silent) {
    ++up;
    if (is_silent) ++silent;
  }
  // A larger share of silent machines is more likely caused by a network partition.
  bool is_within(double max_share) const {
    return static_cast<double>(silent) <= static_cast<double>(up) * max_share;
  }
};

// Number of tasks of the job that fit on these machines; stops counting at `enough`.
std::size_t count_slots(const std::vector<const Machine*>& machines, const JobSpec& spec,
                        std::size_t enough) {
  std::size_t slots = 0;
  for (const auto* machine : machines) {
    if (slots >= enough) break;
    if (allowed_on(spec, machine->type, machine->zone, machine->spot))
      slots += slots_in(machine->free(), spec);
  }
  return slots;
}
}  // namespace

void Reconciler::queue_unconfirmed() {
  std::map<OfferingKey, std::size_t> tasks_by_offering;
  std::vector<std::pair<std::size_t, MachineId>> order;
  for (const auto& id : recovery_.unconfirmed()) {
    const auto& machine = *fleet_.find(id);
    const OfferingKey offering{machine.type, machine.zone, machine.spot};
    auto [entry, is_new] = tasks_by_offering.try_emplace(offering, 0);
    if (is_new) entry->second = tasks_possibly_on(offering);
    order.emplace_back(entry->second, id);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [tasks, id] : order) queue_.push_back(std::move(id));
}

std::size_t Reconciler::tasks_possibly_on(const OfferingKey& offering) const {
  std::size_t tasks = 0;
  for (const auto& [id, job] : jobs_.table())
    if (job.from_former_leader &&
        allowed_on(job.spec(), offering.type, offering.zone, offering.spot))
      tasks += job.waiting.size();
  return tasks;
}

void Reconciler::query_machines(TimePoint now) {
  if (queue_.empty() && awaiting_second_heartbeat_.empty()) return;
  auto slots = commands_.available_slots();
  const auto query = [&](const MachineId& id) {
    const auto* machine = fleet_.find(id);
    if (machine == nullptr || machine->confirmed) return;
    commands_.mark_due(*machine);
    ++queries_sent_;
    --slots;
  };
  while (slots > 0 && !queue_.empty()) {
    const auto id = std::move(queue_.front());
    queue_.pop_front();
    const auto* machine = fleet_.find(id);
    if (machine != nullptr && machine->last_heartbeat)
      awaiting_second_heartbeat_.emplace_back(*machine->last_heartbeat + kSecondHeartbeatDelay, id);
    else
      query(id);
  }
  while (slots > 0 && !awaiting_second_heartbeat_.empty() &&
         awaiting_second_heartbeat_.front().first <= now) {
    const auto id = std::move(awaiting_second_heartbeat_.front().second);
    awaiting_second_heartbeat_.pop_front();
    query(id);
  }
}

bool Reconciler::fleet_known(TimePoint now) const {
  if (!recovery_.recovering() ||
      now - elected_at_ > to_duration(settings_.tuning.lost_after_failover))
    return true;
  return std::all_of(recovery_.unconfirmed().begin(), recovery_.unconfirmed().end(),
                     [&](const MachineId& id) {
                       const auto* machine = fleet_.find(id);
                       return machine == nullptr || machine->unanswered_commands > 0;
                     });
}

// A returned machine may still be alive: then its tasks run again, and a new machine
// has to boot in its place. Returning a dead machine has no extra cost. The assumed share of
// machines that are alive is a conservative estimate, since nearly all silent machines turn out to
// be dead.
Seconds Reconciler::cost_of_declaring_dead(const Machine& machine) const {
  JobSpec mean_task;
  mean_task.per_task = mean_blocked_resources_;
  mean_task.tasks = kProgressChunk;
  const auto type = catalog_.types().find(machine.type);
  const auto boot_time = type == catalog_.types().end() ? kDefaultBootTime : type->second.boot;
  return (boot_time + mean_blocked_run_time_ / 2.0) *
         (settings_.tuning.assumed_alive_share *
          static_cast<double>(slots_in(machine.capacity, mean_task)));
}

void Reconciler::evaluate_silent_machines(TimePoint now) {
  wait_budget_exhausted_ = false;
  if (!recovery_.recovering() || now - elected_at_ < kMinResponseWait) return;
  std::map<std::string, SilenceCount> zones;
  SilenceCount fleet;
  Seconds cost_of_declaring_all_dead{0};
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up()) continue;
    const bool is_silent = silent(machine);
    fleet.add(is_silent);
    zones[machine.zone].add(is_silent);
    if (is_silent && !machine.releasing)
      cost_of_declaring_all_dead += cost_of_declaring_dead(machine);
  }
  const auto max_share = settings_.tuning.max_declared_dead_share;
  responsive_zones_.clear();
  for (const auto& [zone, count] : zones)
    if (count.is_within(max_share)) responsive_zones_.insert(zone);
  wait_budget_exhausted_ =
      fleet.is_within(max_share) && cost_.total() >= cost_of_declaring_all_dead;
}

std::vector<const Machine*> Reconciler::machines_with_free_cpus(TimePoint now) const {
  std::vector<const Machine*> machines;
  for (const auto& [id, machine] : fleet_.all())
    if (machine.free().cpus > 0 && task_starter_.accepts_new_tasks(machine, now))
      machines.push_back(&machine);
  return machines;
}

Reconciler::BlockedWork Reconciler::blocked_work(const std::vector<const Machine*>& machines,
                                                 Seconds elapsed) const {
  BlockedWork work;
  for (const auto& [id, job] : jobs_.table()) {
    const auto& spec = job.spec();
    const auto blocked = recovery_.blocked_tasks(job);
    if (blocked == 0) continue;
    const auto count = static_cast<double>(blocked);
    work.tasks += count;
    work.resources += spec.per_task * count;
    work.run_time += spec.estimate * count;
    const auto slots = count_slots(machines, spec, blocked);
    const auto cost = elapsed * static_cast<double>(std::min(blocked, slots));
    auto& cost_of_shape = job.gang()      ? work.cost.gangs
                          : job.service() ? work.cost.services
                                          : work.cost.arrays;
    cost_of_shape += cost;
    if (job.waiting.size() == job.tasks.size()) work.cost.fully_waiting += cost;
  }
  return work;
}

void Reconciler::accrue_waiting_cost(TimePoint now) {
  if (!recovery_.recovering() || (cost_updated_at_ && now - *cost_updated_at_ < kCostInterval))
    return;
  const Seconds elapsed = cost_updated_at_ ? Seconds(now - *cost_updated_at_) : Seconds(0);
  cost_updated_at_ = now;
  const auto machines = machines_with_free_cpus(now);
  const auto work = blocked_work(machines, elapsed);
  if (work.tasks <= 0) return;
  mean_blocked_resources_ = work.resources * (1 / work.tasks);
  mean_blocked_run_time_ = work.run_time / work.tasks;
  // The cost of each job was computed as if all free resources were available to that job. The sum
  // is limited to the number of average tasks that fit on the free resources.
  JobSpec mean_task;
  mean_task.per_task = mean_blocked_resources_;
  mean_task.tasks = static_cast<TaskIndex>(work.tasks);
  double slots = 0;
  for (const auto* machine : machines) slots += slots_in(machine->free(), mean_task);
  const auto max_cost = elapsed * slots;
  const double share = work.cost.total() > max_cost ? max_cost / work.cost.total() : 1;
  cost_.arrays += work.cost.arrays * share;
  cost_.gangs += work.cost.gangs * share;
  cost_.services += work.cost.services * share;
  cost_.fully_waiting += work.cost.fully_waiting * share;
}

}  // namespace violetpulley::core
