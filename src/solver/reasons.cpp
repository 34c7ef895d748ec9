#include "solver/reasons.hpp"

#include <algorithm>
#include <bit>
#include <set>

#include "solver/filling.hpp"

namespace violetpulley::solver {

namespace {

constexpr std::uint64_t kMaxPlanSearchSteps = 200'000;  // bounds the response time

std::uint32_t fill_zone(PlacementState& state, std::size_t j,
                        const std::optional<std::string>& zone, const Relaxation& relaxed) {
  const auto before = state.placed(j);
  for (std::size_t m = 0; m < state.problem().machines.size(); ++m)
    if (!zone || state.zone_of(m) == *zone) state.add(j, m, state.max_more_tasks(j, m, relaxed));
  return state.placed(j) - before;
}

// All non-empty sets of reasons, the smaller ones first.
std::vector<std::vector<Reason>> sets_by_size() {
  std::vector<unsigned> masks;
  for (unsigned mask = 1; mask < 1U << kReasonCount; ++mask) masks.push_back(mask);
  std::stable_sort(masks.begin(), masks.end(),
                   [](unsigned a, unsigned b) { return std::popcount(a) < std::popcount(b); });
  std::vector<std::vector<Reason>> out;
  for (const auto mask : masks) {
    auto& set = out.emplace_back();
    for (std::size_t i = 0; i < kReasonCount; ++i)
      if ((mask >> i & 1U) != 0) set.push_back(static_cast<Reason>(i));
  }
  return out;
}

SuggestedPlan suggest_plan(const Problem& problem, const Placement& placement, std::size_t j) {
  SuggestedPlan out;
  TaskPlacer placer(problem, placement, kMaxPlanSearchSteps);
  if (placer.make_room(j, kMaxEjectionChain)) {
    out.kind = SuggestedPlan::Kind::move;
    for (std::size_t other = 0; other < problem.jobs.size(); ++other)
      for (std::size_t m = 0; m < problem.machines.size(); ++m) {
        const auto now = placer.state().tasks_on(other, m);
        if (other == j || now >= placement[other][m]) continue;
        out.moves += placement[other][m] - now;
        out.job = problem.jobs[other].id;
        out.machine = problem.machines[m].id;
      }
    return out;
  }
  std::set<int> bins;
  for (const auto& job : problem.jobs) bins.insert(job.bin);
  for (const auto bin : bins) {
    auto after_bin = placement;
    for (std::size_t other = 0; other < problem.jobs.size(); ++other)
      if (other != j && problem.jobs[other].bin <= bin &&
          problem.jobs[other].shape != Shape::service)
        after_bin[other].assign(problem.machines.size(), 0);
    if (!fits(PlacementState(problem, after_bin), j)) continue;
    out.kind = SuggestedPlan::Kind::wait;
    out.bin = bin;
    return out;
  }
  return out;
}

}  // namespace

const char* code_of(Reason reason) {
  static constexpr const char* kCodes[] = {"cpus", "gpus",      "memory", "types",     "zone",
                                           "spot", "same_zone", "spread", "team_limit"};
  return kCodes[static_cast<std::size_t>(reason)];
}

std::string sentence_of(Reason reason, const Job& job) {
  switch (reason) {
    case Reason::cpus:
      return "too few processors are left where it may run";
    case Reason::gpus:
      return "too few GPUs are left where it may run";
    case Reason::memory:
      return "too little memory is left where it may run";
    case Reason::types: {
      std::string out = "it may run on ";
      for (std::size_t i = 0; i < job.types.size(); ++i) out += (i == 0 ? "" : ", ") + job.types[i];
      return out + " only";
    }
    case Reason::zone:
      return "it may run in zone " + job.zone.value_or("") + " only";
    case Reason::spot:
      return "it may not run on spot machines";
    case Reason::same_zone:
      return "its tasks must be in one zone";
    case Reason::spread:
      return "at most " + std::to_string(max_tasks_in_zone(job)) +
             " of its tasks may be in one zone";
    case Reason::team_limit:
      return "team " + job.team + " would use more than it may";
  }
  return "";
}

Relaxation relaxation_of(const std::vector<Reason>& reasons) {
  Relaxation out;
  for (const auto reason : reasons) {
    switch (reason) {
      case Reason::cpus:
        out.resources[cpus] = true;
        break;
      case Reason::gpus:
        out.resources[gpus] = true;
        break;
      case Reason::memory:
        out.resources[memory_gb] = true;
        break;
      case Reason::types:
        out.types = true;
        break;
      case Reason::zone:
        out.zone = true;
        break;
      case Reason::spot:
        out.spot = true;
        break;
      case Reason::same_zone:
        out.same_zone = true;
        break;
      case Reason::spread:
        out.spread = true;
        break;
      case Reason::team_limit:
        out.team = true;
        break;
    }
  }
  return out;
}

// Tasks of one job are identical, so filling one machine after the other decides whether it fits.
bool fits(const PlacementState& state, std::size_t j, const Relaxation& relaxed) {
  const auto& problem = state.problem();
  const auto& job = problem.jobs[j];
  if (job.shape != Shape::gang) {
    for (std::size_t m = 0; m < problem.machines.size(); ++m)
      if (state.max_more_tasks(j, m, relaxed) > 0) return true;
    return false;
  }
  if (!job.same_zone || relaxed.same_zone) {
    auto trial = state;
    fill_zone(trial, j, std::nullopt, relaxed);
    return trial.placed(j) == job.tasks;
  }
  std::set<std::string> zones;
  for (const auto& machine : problem.machines) zones.insert(machine.zone);
  return std::any_of(zones.begin(), zones.end(), [&](const std::string& zone) {
    auto trial = state;
    fill_zone(trial, j, zone, relaxed);
    return trial.placed(j) == job.tasks;
  });
}

Explanation explain(const Problem& problem, const Placement& placement, std::size_t j) {
  Explanation out;
  const PlacementState state(problem, placement);
  out.missing = problem.jobs[j].tasks - state.placed(j);
  if (out.missing == 0) return out;
  out.no_machines = problem.machines.empty();
  const PlacementState empty(problem);
  out.impossible = !fits(empty, j);
  const auto& placed_state = out.impossible ? empty : state;
  if (out.no_machines || fits(placed_state, j)) return out;
  static const auto kSets = sets_by_size();
  const auto sufficient = std::find_if(kSets.begin(), kSets.end(), [&](const auto& set) {
    return fits(placed_state, j, relaxation_of(set));
  });
  if (sufficient != kSets.end()) out.reasons = *sufficient;
  if (!out.impossible) out.suggested_plan = suggest_plan(problem, placement, j);
  return out;
}

}  // namespace violetpulley::solver
