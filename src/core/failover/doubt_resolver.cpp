/// @file
/// Selection of the machines to retire for waiting jobs, cheapest return first.
#include "core/failover/doubt_resolver.hpp"

#include <algorithm>
#include <tuple>

namespace violetpulley::core {

namespace {

/// Maximum number of in-doubt attempts that one agent may remember. Each takes about 100 bytes of
/// every heartbeat, whose size is limited to 64 KiB (PROTOCOL).
constexpr std::size_t kMaxInDoubtAttempts = 200;
/// Maximum number of machines that are retired for team limits at the same time: the larger of
/// `kMinRetiringLimit` and this share of the fleet.
constexpr std::size_t kMinRetiringLimit = 2;
constexpr double kMaxRetiringShare = 0.05;

/// A machine with ended attempts of a team, which may be retired for the team's limit.
struct RetirementCandidate {
  const Machine* machine = nullptr;
  Resources freed;  ///< part of the team's limit that returning the machine frees
  Seconds cost{0};  ///< run time that the other tasks on the machine lose
};

Seconds cost_of_return(const Machine& machine, TimePoint now) {
  Seconds cost{0};
  for (const auto& [key, assignment] : machine.tasks) cost += unsaved_run_time(assignment, now);
  return cost;
}

bool is_cheaper(const RetirementCandidate& a, const RetirementCandidate& b) {
  return std::tie(a.cost, a.machine->id) < std::tie(b.cost, b.machine->id);
}

/// Smallest number of tasks that can start: all waiting tasks of a gang, else one.
std::size_t min_tasks_to_start(const Job& job) { return job.gang() ? job.waiting.size() : 1; }

}  // namespace

void DoubtResolver::retire_machines(TimePoint now) {
  retire_for_heartbeat_size(now);
  if (ended_attempts_.empty()) return;
  retire_for_missing_fences(now);
  retire_for_zones(now);
  retire_for_team_limits(now);
}

bool DoubtResolver::is_fence_overdue(const MachineId& machine, TimePoint now) const {
  if (!tokens_.enabled()) return true;
  const auto* request = tokens_.fence_request(machine);
  return request != nullptr && !tokens_.needs_raise(machine) &&
         now - request->since >= to_duration(max_fencing_time(settings_.workers));
}

// The retirement counts from the request, since a cancellation may not wait any longer.
void DoubtResolver::retire_for_missing_fences(TimePoint now) {
  if (!tokens_.enabled()) return;
  for (const auto& [task, ended] : ended_attempts_.attempts())
    if (ended.task != EndedTask::done && is_fence_overdue(ended.machine, now))
      ended_attempts_.retire(ended.machine, tokens_.fence_request(ended.machine)->since);
}

void DoubtResolver::retire_for_heartbeat_size(TimePoint now) {
  for (const auto& [id, machine] : fleet_.all())
    if (machine.in_doubt_attempts.size() > kMaxInDoubtAttempts) ended_attempts_.retire(id, now);
}

void DoubtResolver::retire_for_zones(TimePoint now) {
  for (const auto& [task, ended] : ended_attempts_.attempts()) {
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end() || found->second.waiting.empty()) continue;
    const auto& spec = found->second.spec();
    if ((spec.same_zone || spec.spread) && is_fence_overdue(ended.machine, now))
      ended_attempts_.retire(ended.machine, now);
  }
}

void DoubtResolver::retire_for_team_limits(TimePoint now) {
  std::set<std::string> teams;
  for (const auto& [task, ended] : ended_attempts_.attempts()) teams.insert(ended.team);
  for (const auto& team : teams) {
    const auto need = blocked_demand(team, now);
    if (!need.fits_in(Resources{})) retire_for_team(team, need, now);
  }
}

Resources DoubtResolver::blocked_demand(const std::string& team, TimePoint now) const {
  // Sorted by id, so that equal states give equal floating-point sums.
  std::map<JobId, const Job*> blocked;
  for (const auto& [id, job] : jobs_) {
    if (job.spec().team != team || job.waiting.empty() || now < job.backoff_until) continue;
    const auto tasks = min_tasks_to_start(job);
    if (!task_starter_.within_limit(job.spec(), tasks) &&
        task_starter_.within_limit_without_ended(job.spec(), tasks))
      blocked.emplace(id, &job);
  }
  Resources need;
  for (const auto& [id, job] : blocked)
    need += job->spec().per_task * static_cast<double>(job->waiting.size());
  return need;
}

std::size_t DoubtResolver::retiring_limit() const {
  const auto share = static_cast<double>(fleet_.all().size()) * kMaxRetiringShare;
  return std::max(kMinRetiringLimit, static_cast<std::size_t>(share));
}

void DoubtResolver::retire_for_team(const std::string& team, Resources need, TimePoint now) {
  std::map<MachineId, Resources> freed_by_machine;
  for (const auto& [task, ended] : ended_attempts_.attempts())
    if (ended.team == team) freed_by_machine[ended.machine] += ended.resources;
  std::vector<RetirementCandidate> candidates;
  for (const auto& [id, freed] : freed_by_machine) {
    const auto* machine = fleet_.find(id);
    if (ended_attempts_.is_retiring(id))
      need -= freed;
    else if (machine != nullptr && is_fence_overdue(id, now))
      candidates.push_back({machine, freed, cost_of_return(*machine, now)});
  }
  std::sort(candidates.begin(), candidates.end(), is_cheaper);
  for (const auto& candidate : candidates) {
    if (need.fits_in(Resources{})) return;
    if (ended_attempts_.retiring().size() >= retiring_limit()) return;
    ended_attempts_.retire(candidate.machine->id, now);
    need -= candidate.freed;
  }
}

std::vector<MachineId> DoubtResolver::machines_to_return(TimePoint now) const {
  std::vector<MachineId> machines;
  for (const auto& [id, since] : ended_attempts_.retiring()) {
    const auto* machine = fleet_.find(id);
    if (machine == nullptr || machine->releasing) continue;
    if (machine->tasks.empty() || now - since >= to_duration(max_retiring_time(settings_.workers)))
      machines.push_back(id);
  }
  return machines;
}

}  // namespace violetpulley::core
