#include "core/failover/reconciler.hpp"

#include <algorithm>

#include "core/autoscaling/scaler.hpp"
#include "core/scheduling/gang_reservations.hpp"

namespace violetpulley::core {

namespace {
constexpr std::chrono::milliseconds kCostInterval{250};
// Two asks and their answers' way; a first packet that is lost is sent again after a second.
constexpr std::chrono::milliseconds kMinPatience{1000};
// A higher token is a change, which a worker reports after half a second at most.
constexpr std::chrono::milliseconds kSecondHeartbeatDelay{1200};
}  // namespace

void Reconciler::begin() {
  std::map<OfferingKey, std::size_t> held;  // tasks that may be on a machine of that kind
  std::vector<std::pair<std::size_t, MachineId>> order;
  for (const auto& id : recovery_.unconfirmed()) {
    const auto& machine = *fleet_.find(id);
    const OfferingKey kind{machine.type, machine.zone, machine.spot};
    auto [entry, first] = held.try_emplace(kind, 0);
    if (first)
      for (const auto& [job_id, job] : jobs_.table())
        if (job.from_former_leader && allowed_on(job.spec(), kind.type, kind.zone, kind.spot))
          entry->second += job.waiting.size();
    order.emplace_back(entry->second, id);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [weight, id] : order) queue_.push_back(std::move(id));
}

void Reconciler::ask(TimePoint now) {
  if (queue_.empty() && awaiting_second_heartbeat_.empty()) return;
  auto room = commands_.available_slots();
  const auto due = [&](const MachineId& id) {
    const auto* machine = fleet_.find(id);
    if (machine == nullptr || machine->confirmed) return;
    commands_.mark_due(*machine);
    ++asked_;
    --room;
  };
  while (room > 0 && !queue_.empty()) {
    const auto id = std::move(queue_.front());
    queue_.pop_front();
    const auto* machine = fleet_.find(id);
    if (machine != nullptr && machine->last_heartbeat)
      awaiting_second_heartbeat_.emplace_back(*machine->last_heartbeat + kSecondHeartbeatDelay, id);
    else
      due(id);
  }
  while (room > 0 && !awaiting_second_heartbeat_.empty() &&
         awaiting_second_heartbeat_.front().first <= now) {
    const auto id = std::move(awaiting_second_heartbeat_.front().second);
    awaiting_second_heartbeat_.pop_front();
    due(id);
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

// A machine that is returned may be alive after all: then its tasks run anew, and another one has
// to boot in its place. One that is gone costs nothing more. How many are still alive is an
// assumption, on the high side: nearly each one on the days of the fleet sites was gone.
Seconds Reconciler::cost_of_declaring_dead(const Machine& machine) const {
  JobSpec mean;
  mean.per_task = mean_blocked_resources_;
  mean.tasks = kProgressChunk;
  const auto type = catalog_.types().find(machine.type);
  const auto boot = type == catalog_.types().end() ? Seconds(60) : type->second.boot;
  return (boot + mean_blocked_run_time_ / 2.0) *
         (settings_.tuning.still_alive * static_cast<double>(places_on(machine.capacity, mean)));
}

void Reconciler::judge(TimePoint now) {
  patience_exhausted_ = false;
  if (!recovery_.recovering() || now - elected_at_ < kMinPatience) return;
  struct Count {
    std::size_t up = 0;
    std::size_t silent = 0;
    // More that fall silent at once are more likely behind a cut than dead.
    bool last_heartbeat(double most) const {
      return static_cast<double>(silent) <= static_cast<double>(up) * most;
    }
  };
  const auto most = settings_.tuning.max_declared_dead_share;
  std::map<std::string, Count> zones;
  Count all;
  Seconds price{0};
  for (const auto& [id, machine] : fleet_.all()) {
    if (!machine.up()) continue;
    for (auto* count : {&all, &zones[machine.zone]}) {
      ++count->up;
      if (silent(machine)) ++count->silent;
    }
    if (silent(machine) && !machine.releasing) price += cost_of_declaring_dead(machine);
  }
  responsive_zones_.clear();
  for (const auto& [zone, count] : zones)
    if (count.last_heartbeat(most)) responsive_zones_.insert(zone);
  patience_exhausted_ = all.last_heartbeat(most) && cost_.total() >= price;
}

void Reconciler::note_cost(TimePoint now) {
  if (!recovery_.recovering() || (cost_noted_ && now - *cost_noted_ < kCostInterval)) return;
  const Seconds since = cost_noted_ ? Seconds(now - *cost_noted_) : Seconds(0);
  cost_noted_ = now;
  std::vector<const Machine*> open;
  for (const auto& [id, machine] : fleet_.all())
    if (machine.free().cpus > 0 && task_starter_.placeable(machine, now)) open.push_back(&machine);
  ReconciliationCost more;
  Resources need;
  Seconds run{0};
  double tasks = 0;
  for (const auto& [id, job] : jobs_.table()) {
    const auto& spec = job.spec();
    const auto waiting = recovery_.held(job);
    if (waiting == 0) continue;
    const auto count = static_cast<double>(waiting);
    tasks += count;
    need += spec.per_task * count;
    run += spec.estimate * count;
    std::size_t places = 0;
    for (const auto* machine : open) {
      if (places >= waiting) break;
      if (allowed_on(spec, machine->type, machine->zone, machine->spot))
        places += places_on(machine->free(), spec);
    }
    auto& shape = job.gang() ? more.gangs : job.service() ? more.replicas : more.arrays;
    const auto cost = since * static_cast<double>(std::min(waiting, places));
    shape += cost;
    if (job.waiting.size() == job.tasks.size()) more.unseen += cost;
  }
  if (tasks <= 0) return;
  mean_blocked_resources_ = need * (1 / tasks);
  mean_blocked_run_time_ = run / tasks;
  // Each job was looked at as if it had the room to itself; together they have it only once.
  JobSpec mean;
  mean.per_task = mean_blocked_resources_;
  mean.tasks = static_cast<TaskIndex>(tasks);
  double room = 0;
  for (const auto* machine : open) room += places_on(machine->free(), mean);
  const auto most = since * room;
  const double share = more.total() > most ? most / more.total() : 1;
  cost_.arrays += more.arrays * share;
  cost_.gangs += more.gangs * share;
  cost_.replicas += more.replicas * share;
  cost_.unseen += more.unseen * share;
}

}  // namespace violetpulley::core
