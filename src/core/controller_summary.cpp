#include "core/controller_summary.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace violetpulley::core {

namespace {

struct TaskCounts {
  std::size_t waiting = 0;
  std::size_t bound = 0;
  std::size_t blocked = 0;  // waiting tasks of jobs that wait for the reconciliation
};

struct TypeUse {
  std::size_t up = 0;
  std::size_t booting = 0;
  std::size_t empty = 0;
  std::size_t reserved = 0;  // for a gang
  Resources used;
  Resources capacity;
};

struct FleetUse {
  std::map<std::string, TypeUse> types;
  std::size_t draining = 0;
  std::size_t running = 0;
  std::size_t fetching = 0;
};

TaskCounts count_tasks(const Jobs& jobs, const Recovery& recovery) {
  TaskCounts counts;
  for (const auto& [id, job] : jobs) {
    counts.waiting += job.waiting.size();
    if (recovery.blocked_on_reconciliation(job)) counts.blocked += job.waiting.size();
    for (const auto index : job.waiting) counts.bound += job.tasks[index].bound_to.empty() ? 0 : 1;
  }
  return counts;
}

void count_machine(const Machine& machine, TypeUse& use) {
  use.used += machine.used;
  if (machine.up()) {
    ++use.up;
    use.capacity += machine.capacity;
    if (machine.tasks.empty()) ++use.empty;
  } else {
    ++use.booting;
  }
  if (!machine.reserved_for.empty()) ++use.reserved;
}

FleetUse count_machines(const Fleet& fleet) {
  FleetUse use;
  for (const auto& [id, machine] : fleet.all()) {
    count_machine(machine, use.types[machine.type + (machine.spot ? " spot" : "")]);
    if (machine.draining) ++use.draining;
    for (const auto& [key, assignment] : machine.tasks)
      ++(assignment.running_since ? use.running : use.fetching);
  }
  return use;
}

void print_type(std::ostream& text, const std::string& name, const TypeUse& use) {
  text << " [" << name << " " << use.up << "+" << use.booting;
  text << " cpus " << use.used.cpus << "/" << use.capacity.cpus;
  if (use.capacity.gpus > 0) text << " gpus " << use.used.gpus << "/" << use.capacity.gpus;
  text << " empty " << use.empty;
  if (use.reserved > 0) text << " reserved " << use.reserved;
  text << "]";
}

}  // namespace

std::string summary_line(const Jobs& jobs, const Fleet& fleet, const Recovery& recovery) {
  const auto tasks = count_tasks(jobs, recovery);
  const auto machines = count_machines(fleet);
  std::ostringstream text;
  text << "jobs=" << jobs.table().size() << " waiting=" << tasks.waiting << " bound=" << tasks.bound
       << " running=" << machines.running << " fetching=" << machines.fetching
       << " draining=" << machines.draining;
  for (const auto& [name, use] : machines.types) print_type(text, name, use);
  if (recovery.recovering())
    text << " recovering, " << recovery.unconfirmed_count() << " unconfirmed machines, "
         << tasks.blocked << " waiting tasks may be on them";
  return text.str();
}

std::string attempts_summary(const EndedAttempts& ended_attempts, const AttemptAudit& audit) {
  const auto& counts = audit.counts();
  const auto held =
      std::count_if(ended_attempts.attempts().begin(), ended_attempts.attempts().end(),
                    [](const auto& entry) { return entry.second.task == EndedTask::held; });
  std::ostringstream text;
  if (held > 0) text << " held=" << held;
  if (counts.started_elsewhere > 0) text << " started_elsewhere=" << counts.started_elsewhere;
  if (counts.acknowledged_listed > 0) text << " acknowledged_listed=" << counts.acknowledged_listed;
  if (counts.unexpected_tokens > 0) text << " unexpected_tokens=" << counts.unexpected_tokens;
  return text.str();
}

}  // namespace violetpulley::core
