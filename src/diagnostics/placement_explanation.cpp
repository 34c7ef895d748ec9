#include "diagnostics/placement_explanation.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::diagnostics {

namespace {

using core::Seconds;
using solver::Amount;

Amount amount(double value) { return std::llround(value * static_cast<double>(solver::kOne)); }

solver::Room room(const core::Resources& resources) {
  return {{amount(resources.cpus), amount(resources.gpus), amount(resources.memory_gb)}};
}

const char* set_aside_cause(const core::Machine& machine, const core::JobId& job) {
  if (machine.releasing) return "returned";
  if (machine.quarantined) return "quarantined";
  if (!machine.up()) return "booting";
  if (machine.notice_ends) return "taken_back";
  if (!machine.confirmed) return "unconfirmed";
  if (machine.outbound_partition_since) return "not_reporting";
  if (!core::is_reachable(machine)) return "out_of_reach";
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
  out.per_task = room(spec.per_task);
  out.types = spec.types;
  out.zone = spec.zone;
  out.same_zone = spec.same_zone;
  out.spread = spec.spread;
  out.spot = spec.spot_allowed;
  return out;
}

// What others have on the machines: when it is expected to end.
struct Held {
  Seconds remaining{0};
  std::size_t machine = 0;
  solver::Room room;
  bool same_team = false;
};

// The job by itself; `now`: beside what others run, `empty`: beside nothing.
struct Situation {
  solver::Problem empty;
  solver::Problem now;
  std::vector<Held> held;
};

Situation situation_of(const core::Controller& controller, const std::vector<core::Team>& teams,
                       const core::Job& job, core::TimePoint at, Advice& diagnostics) {
  Situation out;
  auto mine = solver_job(job);
  solver::Room team_use;
  for (const auto& [id, machine] : controller.fleet().all()) {
    const auto* cause = set_aside_cause(machine, job.spec().id);
    if (cause != nullptr) ++diagnostics.set_aside[cause];
    auto free = room(machine.capacity);
    const auto place = out.empty.machines.size();
    std::uint32_t here = 0;
    for (const auto& [key, assignment] : machine.tasks) {
      if (key.job == job.spec().id && !assignment.orphaned) {
        ++here;
        continue;
      }
      const auto taken = room(assignment.resources);
      free -= taken;
      const bool same_team = assignment.team == job.spec().team;
      if (same_team) team_use += taken;
      if (cause == nullptr && assignment.shape != core::Shape::service)
        out.held.push_back({remaining_of(assignment, at), place, taken, same_team});
    }
    if (cause != nullptr && here == 0) continue;
    solver::Machine seen;
    seen.id = id;
    seen.type = machine.type;
    seen.zone = machine.zone;
    seen.spot = machine.spot;
    seen.room = cause == nullptr ? room(machine.capacity) : mine.per_task * here;
    out.empty.machines.push_back(seen);
    if (cause == nullptr) {
      seen.room = free;
      ++diagnostics.machines;
    }
    out.now.machines.push_back(seen);
    mine.home.push_back(here);
  }
  for (const auto& team : teams) {
    if (team.name != mine.team) continue;
    solver::Team limit{team.name, {}, {{amount(team.max_cpus), amount(team.max_gpus), 0}}};
    out.empty.teams = {limit};
    // A limit of 0 is none; one that is used up by others is the least there is.
    for (const auto r : {solver::cpus, solver::gpus})
      if (limit.most.of[r] > 0)
        limit.most.of[r] = std::max<Amount>(1, limit.most.of[r] - team_use.of[r]);
    out.now.teams = {limit};
  }
  // A gang that waits has nothing on machines that counts: what is left of it is being stopped.
  if (mine.shape == solver::Shape::gang) mine.home.clear();
  out.empty.jobs = {mine};
  out.now.jobs = {mine};
  return out;
}

solver::Why reasons_in(const solver::Problem& problem) {
  return explain(problem, homes(problem), 0);
}

bool fits_now(const solver::Problem& problem) {
  return fits(solver::State(problem, homes(problem)), 0);
}

// The time after which so many tasks of others have ended that it fits.
std::optional<Seconds> fits_in(Situation& situation) {
  auto& held = situation.held;
  std::sort(held.begin(), held.end(),
            [](const Held& a, const Held& b) { return a.remaining < b.remaining; });
  const auto fits_without = [&](std::size_t first) {
    auto later = situation.now;
    for (std::size_t i = 0; i < first; ++i) {
      later.machines[held[i].machine].room += held[i].room;
      if (!held[i].same_team) continue;
      for (auto& team : later.teams)
        for (const auto r : {solver::cpus, solver::gpus})
          if (team.most.of[r] > 0) team.most.of[r] += held[i].room.of[r];
    }
    return fits_now(later);
  };
  if (!fits_without(held.size())) return std::nullopt;
  std::size_t least = 0;
  std::size_t enough = held.size();
  while (least < enough) {
    const auto middle = least + (enough - least) / 2;
    if (fits_without(middle))
      enough = middle;
    else
      least = middle + 1;
  }
  return enough == 0 ? Seconds(0) : held[enough - 1].remaining;
}

}  // namespace

std::optional<Advice> why(const core::Controller& controller, const std::vector<core::Team>& teams,
                          const std::vector<core::MachineType>& types, const core::JobId& id,
                          core::TimePoint now) {
  const auto found = controller.jobs().find(id);
  if (found == controller.jobs().end()) return std::nullopt;
  const auto& job = found->second;
  Advice out;
  out.job = id;
  out.waiting = static_cast<core::TaskIndex>(job.waiting.size());
  out.done = job.done;
  out.on_machines = job.spec().tasks - out.done - out.waiting;
  for (const auto index : job.waiting) out.bound += job.tasks[index].bound.empty() ? 0 : 1;
  if (job.finishing) out.causes.push_back({"ending", "all is done, the end is being written"});
  if (out.waiting == 0) return out;
  const auto& wanted = job.spec().types;
  for (const auto& type : types)
    if (job.spec().per_task.fits_in(type.capacity) &&
        (wanted.empty() || std::find(wanted.begin(), wanted.end(), type.name) != wanted.end()))
      out.rentable_types.push_back(type.name);
  if (controller.recovering())
    out.causes.push_back(
        {"recovering", "a new leader waits for machines that may still run tasks of it"});
  if (job.backoff_until > now)
    out.causes.push_back({"pause", "its tasks failed, so it is tried again only after a pause"});
  auto situation = situation_of(controller, teams, job, now, out);
  const auto alone = reasons_in(situation.empty);
  out.impossible = alone.impossible;
  const auto beside = out.impossible ? alone : reasons_in(situation.now);
  if (beside.no_machines) out.causes.push_back({"no_machines", "no machine may take tasks now"});
  for (const auto reason : beside.reasons)
    out.causes.push_back({code_of(reason), sentence_of(reason, situation.now.jobs[0])});
  if (out.impossible) return out;
  if (out.causes.empty())
    out.causes.push_back(
        {"turn", "it fits and is placed in its turn, behind work that goes first"});
  if (!beside.reasons.empty()) out.fits_in = fits_in(situation);
  return out;
}

}  // namespace violetpulley::diagnostics
