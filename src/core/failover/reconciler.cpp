/// @file
/// Order of the queries, and the cost of waiting for silent machines.
#include "core/failover/reconciler.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/scheduling/gang_reservations.hpp"

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kCostInterval{250};
// Two queries and the travel time of their answers; a lost first packet is sent again after a
// second.
constexpr std::chrono::milliseconds kMinPatience{1000};
// A higher token is a change, which an agent reports after half a second at most.
constexpr std::chrono::milliseconds kSecondHeartbeatDelay{1200};
constexpr Seconds kDefaultBootTime{60};  // of a machine type that the catalog does not list

// Machines of a zone, or of the fleet.
struct SilenceCount {
  std::size_t up = 0;
  std::size_t silent = 0;

  void add(bool is_silent) {
    ++up;
    if (is_silent) ++silent;
  }
  // Machines that fall silent in larger numbers are more likely behind a network partition.
  bool is_within(double max_share) const {
    return static_cast<double>(silent) <= static_cast<double>(up) * max_share;
  }
};

// Places for tasks of a job on these machines, counted up to `enough`.
std::size_t count_places(const std::vector<const Machine*>& machines, const JobSpec& spec,
                         std::size_t enough) {
  std::size_t places = 0;
  for (const auto* machine : machines) {
    if (places >= enough) break;
    if (allowed_on(spec, machine->type, machine->zone, machine->spot))
      places += slots_in(machine->free(), spec);
  }
  return places;
}
}  // namespace

void Reconciler::queue_unconfirmed() {
  std::map<OfferingKey, std::size_t> tasks_by_kind;
  std::vector<std::pair<std::size_t, MachineId>> order;
  for (const auto& id : recovery_.unconfirmed()) {
    const auto& machine = *fleet_.find(id);
    const OfferingKey kind{machine.type, machine.zone, machine.spot};
    auto [entry, is_new] = tasks_by_kind.try_emplace(kind, 0);
    if (is_new) entry->second = tasks_possibly_on(kind);
    order.emplace_back(entry->second, id);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [tasks, id] : order) queue_.push_back(std::move(id));
}

std::size_t Reconciler::tasks_possibly_on(const OfferingKey& kind) const {
  std::size_t tasks = 0;
  for (const auto& [id, job] : jobs_.table())
    if (job.from_former_leader && allowed_on(job.spec(), kind.type, kind.zone, kind.spot))
      tasks += job.waiting.size();
  return tasks;
}

void Reconciler::query_machines(TimePoint now) {
  if (queue_.empty() && awaiting_second_heartbeat_.empty()) return;
  auto room = commands_.available_slots();
  const auto query = [&](const MachineId& id) {
    const auto* machine = fleet_.find(id);
    if (machine == nullptr || machine->confirmed) return;
    commands_.mark_due(*machine);
    ++queries_sent_;
    --room;
  };
  while (room > 0 && !queue_.empty()) {
    const auto id = std::move(queue_.front());
    queue_.pop_front();
    const auto* machine = fleet_.find(id);
    if (machine != nullptr && machine->last_heartbeat)
      awaiting_second_heartbeat_.emplace_back(*machine->last_heartbeat + kSecondHeartbeatDelay, id);
    else
      query(id);
  }
  while (room > 0 && !awaiting_second_heartbeat_.empty() &&
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

// A machine that is returned may be alive after all: then its tasks run anew, and a new machine has
// to boot in its place. Returning a dead machine costs nothing more. The assumed share of machines
// still alive is on the high side: on the recorded days nearly every silent machine was dead.
Seconds Reconciler::cost_of_declaring_dead(const Machine& machine) const {
  JobSpec mean_task;
  mean_task.per_task = mean_blocked_resources_;
  mean_task.tasks = kProgressChunk;
  const auto type = catalog_.types().find(machine.type);
  const auto boot_time = type == catalog_.types().end() ? kDefaultBootTime : type->second.boot;
  return (boot_time + mean_blocked_run_time_ / 2.0) *
         (settings_.tuning.still_alive *
          static_cast<double>(slots_in(machine.capacity, mean_task)));
}

void Reconciler::judge_silent_machines(TimePoint now) {
  patience_exhausted_ = false;
  if (!recovery_.recovering() || now - elected_at_ < kMinPatience) return;
  std::map<std::string, SilenceCount> zones;
  SilenceCount fleet;
  Seconds cost_of_returning{0};
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up()) continue;
    const bool is_silent = silent(machine);
    fleet.add(is_silent);
    zones[machine.zone].add(is_silent);
    if (is_silent && !machine.releasing) cost_of_returning += cost_of_declaring_dead(machine);
  }
  const auto max_share = settings_.tuning.max_declared_dead_share;
  responsive_zones_.clear();
  for (const auto& [zone, count] : zones)
    if (count.is_within(max_share)) responsive_zones_.insert(zone);
  patience_exhausted_ = fleet.is_within(max_share) && cost_.total() >= cost_of_returning;
}

std::vector<const Machine*> Reconciler::machines_with_room(TimePoint now) const {
  std::vector<const Machine*> machines;
  for (const auto& [id, machine] : fleet_.all())
    if (machine.free().cpus > 0 && task_starter_.placeable(machine, now))
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
    const auto places = count_places(machines, spec, blocked);
    const auto cost = elapsed * static_cast<double>(std::min(blocked, places));
    auto& cost_of_shape = job.gang()      ? work.cost.gangs
                          : job.service() ? work.cost.replicas
                                          : work.cost.arrays;
    cost_of_shape += cost;
    if (job.waiting.size() == job.tasks.size()) work.cost.unseen += cost;
  }
  return work;
}

void Reconciler::note_cost(TimePoint now) {
  if (!recovery_.recovering() || (cost_noted_ && now - *cost_noted_ < kCostInterval)) return;
  const Seconds elapsed = cost_noted_ ? Seconds(now - *cost_noted_) : Seconds(0);
  cost_noted_ = now;
  const auto machines = machines_with_room(now);
  const auto work = blocked_work(machines, elapsed);
  if (work.tasks <= 0) return;
  mean_blocked_resources_ = work.resources * (1 / work.tasks);
  mean_blocked_run_time_ = work.run_time / work.tasks;
  // The cost of each job was computed as if all free resources were for that job; together they
  // cannot use more than there is.
  JobSpec mean_task;
  mean_task.per_task = mean_blocked_resources_;
  mean_task.tasks = static_cast<TaskIndex>(work.tasks);
  double places = 0;
  for (const auto* machine : machines) places += slots_in(machine->free(), mean_task);
  const auto max_cost = elapsed * places;
  const double share = work.cost.total() > max_cost ? max_cost / work.cost.total() : 1;
  cost_.arrays += work.cost.arrays * share;
  cost_.gangs += work.cost.gangs * share;
  cost_.replicas += work.cost.replicas * share;
  cost_.unseen += work.cost.unseen * share;
}

}  // namespace violetpulley::core
