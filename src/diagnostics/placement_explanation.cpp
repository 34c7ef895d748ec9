#include "diagnostics/placement_explanation.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::diagnostics {

namespace {

using core::Seconds;
using solver::Amount;

Amount amount(double value) { return std::llround(value * static_cast<double>(solver::kOne)); }

solver::Resources solver_resources(const core::Resources& resources) {
  return {{amount(resources.cpus), amount(resources.gpus), amount(resources.memory_gb)}};
}

// Why a machine takes no tasks of the job, as a stable code of the operator API; null: the machine
// may take tasks.
const char* set_aside_cause(const core::Machine& machine, const core::JobId& job,
                            const core::EndedAttempts& ended_attempts) {
  if (machine.releasing) return "returned";
  if (machine.quarantined) return "quarantined";
  if (!machine.up()) return "booting";
  if (machine.notice_ends) return "taken_back";
  if (!machine.confirmed) return "unconfirmed";
  if (machine.outbound_partition_since) return "not_reporting";
  if (!core::is_reachable(machine)) return "out_of_reach";
  if (ended_attempts.is_retiring(machine.id)) return "delayed_start";
  if (machine.draining) return "clearing";
  if (!machine.reserved_for.empty() && machine.reserved_for != job) return "reserved_for_a_gang";
  return nullptr;
}

solver::Job solver_job(const core::Job& job) {
  const auto& spec = job.spec();
  solver::Job out;
  out.id = spec.id;
  out.team = spec.team;
  out.shape = spec.shape == core::Shape::gang      ? solver::Shape::gang
              : spec.shape == core::Shape::service ? solver::Shape::service
                                                   : solver::Shape::array;
  out.tasks = spec.tasks;
  out.per_task = solver_resources(spec.per_task);
  out.types = spec.types;
  out.zone = spec.zone;
  out.same_zone = spec.same_zone;
  out.spread = spec.spread;
  out.spot_allowed = spec.spot_allowed;
  return out;
}

// An assignment of another job, and when it is expected to end.
struct OtherAssignment {
  Seconds remaining{0};
  std::size_t machine = 0;  // index into the machines of the problems
  solver::Resources resources;
  bool same_team = false;
};

// The job as two problems of the solver: `empty` has machines without tasks of other jobs, `now`
// has machines with the capacity that tasks of other jobs leave free.
struct SolverProblems {
  solver::Problem empty;
  solver::Problem now;
  std::vector<OtherAssignment> others;
};

class SolverProblemsBuilder {
 public:
  SolverProblemsBuilder(const core::Job& job, core::TimePoint now,
                        PlacementExplanation& explanation)
      : job_(job), now_(now), explanation_(explanation), solver_job_(solver_job(job)) {}

  SolverProblems build(const core::Controller& controller, const std::vector<core::Team>& teams) {
    for (const auto& [id, machine] : controller.fleet().all())
      add_machine(machine, controller.ended_attempts());
    team_use_ += solver_resources(controller.ended_attempts().use_of(solver_job_.team));
    for (const auto& team : teams)
      if (team.name == solver_job_.team) set_team(team);
    // Tasks of a waiting gang that are still on machines are being stopped, so they do not count.
    if (solver_job_.shape == solver::Shape::gang) solver_job_.running_tasks.clear();
    problems_.empty.jobs = {solver_job_};
    problems_.now.jobs = {solver_job_};
    return std::move(problems_);
  }

 private:
  // Capacity of a machine that other jobs leave free, and the tasks of this job on it.
  struct MachineUse {
    solver::Resources free;
    std::uint32_t own_tasks = 0;
  };

  MachineUse use_of(const core::Machine& machine, bool set_aside) {
    MachineUse use{solver_resources(machine.capacity), 0};
    const auto index = problems_.empty.machines.size();
    for (const auto& [key, assignment] : machine.tasks) {
      if (key.job == job_.spec().id && !assignment.orphaned) {
        ++use.own_tasks;
        continue;
      }
      const auto resources = solver_resources(assignment.resources);
      use.free -= resources;
      const bool same_team = assignment.team == job_.spec().team;
      if (same_team) team_use_ += resources;
      if (!set_aside && assignment.shape != core::Shape::service)
        problems_.others.push_back({remaining_of(assignment, now_), index, resources, same_team});
    }
    return use;
  }

  void add_machine(const core::Machine& machine, const core::EndedAttempts& ended_attempts) {
    const auto* cause = set_aside_cause(machine, job_.spec().id, ended_attempts);
    const bool set_aside = cause != nullptr;
    if (set_aside) ++explanation_.set_aside[cause];
    const auto use = use_of(machine, set_aside);
    if (set_aside && use.own_tasks == 0) return;
    solver::Machine entry;
    entry.id = machine.id;
    entry.type = machine.type;
    entry.zone = machine.zone;
    entry.spot = machine.spot;
    entry.capacity =
        set_aside ? solver_job_.per_task * use.own_tasks : solver_resources(machine.capacity);
    problems_.empty.machines.push_back(entry);
    if (!set_aside) {
      entry.capacity = use.free;
      ++explanation_.machines;
    }
    problems_.now.machines.push_back(entry);
    solver_job_.running_tasks.push_back(use.own_tasks);
  }

  void set_team(const core::Team& team) {
    solver::Team solver_team{team.name, {}, {{amount(team.max_cpus), amount(team.max_gpus), 0}}};
    problems_.empty.teams = {solver_team};
    // A limit of 0 means no limit, so an exhausted limit becomes the smallest amount.
    for (const auto resource : {solver::cpus, solver::gpus})
      if (solver_team.limit.amounts[resource] > 0)
        solver_team.limit.amounts[resource] =
            std::max<Amount>(1, solver_team.limit.amounts[resource] - team_use_.amounts[resource]);
    problems_.now.teams = {solver_team};
  }

  const core::Job& job_;
  core::TimePoint now_;
  PlacementExplanation& explanation_;
  solver::Job solver_job_;
  solver::Resources team_use_;
  SolverProblems problems_;
};

solver::Explanation explain_in(const solver::Problem& problem) {
  return explain(problem, current_placement(problem), 0);
}

bool fits_now(const solver::Problem& problem) {
  return fits(solver::PlacementState(problem, current_placement(problem)), 0);
}

// The present problem after the first `ended` of the other assignments have ended.
solver::Problem problem_after(const SolverProblems& problems, std::size_t ended) {
  auto later = problems.now;
  for (std::size_t i = 0; i < ended; ++i) {
    const auto& assignment = problems.others[i];
    later.machines[assignment.machine].capacity += assignment.resources;
    if (!assignment.same_team) continue;
    for (auto& team : later.teams)
      for (const auto resource : {solver::cpus, solver::gpus})
        if (team.limit.amounts[resource] > 0)
          team.limit.amounts[resource] += assignment.resources.amounts[resource];
  }
  return later;
}

// Time until enough other assignments have ended for one more task, or the gang, to fit; none: the
// job does not fit even after all of them have ended.
std::optional<Seconds> time_until_fit(SolverProblems& problems) {
  auto& others = problems.others;
  std::sort(others.begin(), others.end(), [](const OtherAssignment& a, const OtherAssignment& b) {
    return a.remaining < b.remaining;
  });
  const auto fits_after = [&](std::size_t ended) {
    return fits_now(problem_after(problems, ended));
  };
  if (!fits_after(others.size())) return std::nullopt;
  std::size_t too_few = 0;
  std::size_t enough = others.size();
  while (too_few < enough) {
    const auto middle = too_few + (enough - too_few) / 2;
    if (fits_after(middle))
      enough = middle;
    else
      too_few = middle + 1;
  }
  return enough == 0 ? Seconds(0) : others[enough - 1].remaining;
}

PlacementExplanation counts_of(const core::Job& job) {
  PlacementExplanation out;
  out.job = job.spec().id;
  out.waiting = static_cast<core::TaskIndex>(job.waiting.size());
  out.done = job.done_count;
  out.on_machines = job.spec().tasks - out.done - out.waiting;
  for (const auto index : job.waiting) out.bound += job.tasks[index].bound_to.empty() ? 0 : 1;
  return out;
}

std::vector<std::string> types_that_fit(const core::JobSpec& spec,
                                        const std::vector<core::MachineType>& types) {
  const auto allowed = [&](const std::string& name) {
    return spec.types.empty() ||
           std::find(spec.types.begin(), spec.types.end(), name) != spec.types.end();
  };
  std::vector<std::string> names;
  for (const auto& type : types)
    if (spec.per_task.fits_in(type.capacity) && allowed(type.name)) names.push_back(type.name);
  return names;
}

// Causes from tasks that wait until a machine is returned, and from the share of the team's limit
// that ended attempts on such machines still hold.
void add_delayed_start_causes(PlacementExplanation& out, const core::EndedAttempts& ended_attempts,
                              const core::JobSpec& spec) {
  const auto [first, last] = ended_attempts.of_job(spec.id);
  const auto held = std::count_if(
      first, last, [](const auto& entry) { return entry.second.task == core::EndedTask::held; });
  if (held > 0)
    out.causes.push_back(
        {"delayed_start",
         std::to_string(held) +
             " of its tasks ended on machines where a delayed start may run them "
             "again: they start elsewhere once these machines refuse such starts or "
             "are returned"});
  const auto use = ended_attempts.use_of(spec.team);
  if (out.waiting > 0 && (use.cpus > 0 || use.gpus > 0))
    out.causes.push_back({"ended_attempts",
                          "its team's limit also counts tasks that have ended and that a delayed "
                          "start may run again"});
}

void add_capacity_causes(PlacementExplanation& out, SolverProblems& problems) {
  const auto on_empty_machines = explain_in(problems.empty);
  out.impossible = on_empty_machines.impossible;
  const auto on_current_machines = out.impossible ? on_empty_machines : explain_in(problems.now);
  if (on_current_machines.no_machines)
    out.causes.push_back({"no_machines", "no machine may take tasks now"});
  for (const auto reason : on_current_machines.reasons)
    out.causes.push_back({code_of(reason), sentence_of(reason, problems.now.jobs[0])});
  if (out.impossible) return;
  if (out.causes.empty())
    out.causes.push_back(
        {"turn", "it fits and is placed in its turn, behind work that goes first"});
  if (!on_current_machines.reasons.empty()) out.fits_in = time_until_fit(problems);
}

}  // namespace

std::optional<PlacementExplanation> explain_placement(const core::Controller& controller,
                                                      const std::vector<core::Team>& teams,
                                                      const std::vector<core::MachineType>& types,
                                                      const core::JobId& id, core::TimePoint now) {
  const auto found = controller.jobs().find(id);
  if (found == controller.jobs().end()) return std::nullopt;
  const auto& job = found->second;
  auto out = counts_of(job);
  if (job.finishing) out.causes.push_back({"ending", "all is done, the end is being written"});
  add_delayed_start_causes(out, controller.ended_attempts(), job.spec());
  if (out.waiting == 0) return out;
  out.rentable_types = types_that_fit(job.spec(), types);
  if (controller.recovering())
    out.causes.push_back(
        {"recovering", "a new leader waits for machines that may still run tasks of it"});
  if (job.backoff_until > now)
    out.causes.push_back({"pause", "its tasks failed, so it is tried again only after a pause"});
  auto problems = SolverProblemsBuilder(job, now, out).build(controller, teams);
  add_capacity_causes(out, problems);
  return out;
}

}  // namespace violetpulley::diagnostics
