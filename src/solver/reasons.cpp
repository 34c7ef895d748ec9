#include "solver/reasons.hpp"

#include <algorithm>
#include <bit>
#include <set>

#include "solver/filling.hpp"

namespace violetpulley::solver {

namespace {

constexpr std::uint64_t kMoveSteps = 200'000;  // an answer is awaited

std::uint32_t fill_zone(State& state, std::size_t j, const std::optional<std::string>& zone,
                        const Relaxed& relaxed) {
  const auto before = state.placed(j);
  for (std::size_t m = 0; m < state.problem().machines.size(); ++m)
    if (!zone || state.zone_of(m) == *zone) state.add(j, m, state.most(j, m, relaxed));
  return state.placed(j) - before;
}

// Sets of reasons, the smaller ones first.
std::vector<std::vector<Reason>> sets_by_size() {
  std::vector<unsigned> masks;
  for (unsigned mask = 1; mask < 1U << kReasons; ++mask) masks.push_back(mask);
  std::stable_sort(masks.begin(), masks.end(),
                   [](unsigned a, unsigned b) { return std::popcount(a) < std::popcount(b); });
  std::vector<std::vector<Reason>> out;
  for (const auto mask : masks) {
    auto& set = out.emplace_back();
    for (std::size_t i = 0; i < kReasons; ++i)
      if ((mask >> i & 1U) != 0) set.push_back(static_cast<Reason>(i));
  }
  return out;
}

Remedy remedy_of(const Problem& problem, const Placement& placement, std::size_t j) {
  Remedy out;
  Filling moving(problem, placement, kMoveSteps);
  if (moving.make_room(j, kChain)) {
    out.kind = Remedy::Kind::move;
    for (std::size_t other = 0; other < problem.jobs.size(); ++other)
      for (std::size_t m = 0; m < problem.machines.size(); ++m) {
        const auto now = moving.state().on(other, m);
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
    auto later = placement;
    for (std::size_t other = 0; other < problem.jobs.size(); ++other)
      if (other != j && problem.jobs[other].bin <= bin &&
          problem.jobs[other].shape != Shape::service)
        later[other].assign(problem.machines.size(), 0);
    if (!fits(State(problem, later), j)) continue;
    out.kind = Remedy::Kind::wait;
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

Relaxed without(const std::vector<Reason>& reasons) {
  Relaxed out;
  for (const auto reason : reasons) {
    switch (reason) {
      case Reason::cpus:
        out.room[cpus] = true;
        break;
      case Reason::gpus:
        out.room[gpus] = true;
        break;
      case Reason::memory:
        out.room[memory_gb] = true;
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

// Tasks of one job are alike, so filling machine after machine finds whether it fits.
bool fits(const State& state, std::size_t j, const Relaxed& relaxed) {
  const auto& problem = state.problem();
  const auto& job = problem.jobs[j];
  if (job.shape != Shape::gang) {
    for (std::size_t m = 0; m < problem.machines.size(); ++m)
      if (state.most(j, m, relaxed) > 0) return true;
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

Why explain(const Problem& problem, const Placement& placement, std::size_t j) {
  Why out;
  const State state(problem, placement);
  out.missing = problem.jobs[j].tasks - state.placed(j);
  if (out.missing == 0) return out;
  out.no_machines = problem.machines.empty();
  const State empty(problem);
  out.impossible = !fits(empty, j);
  const auto& considered = out.impossible ? empty : state;
  if (out.no_machines || fits(considered, j)) return out;
  static const auto kSets = sets_by_size();
  const auto enough = std::find_if(kSets.begin(), kSets.end(), [&](const auto& set) {
    return fits(considered, j, without(set));
  });
  if (enough != kSets.end()) out.reasons = *enough;
  if (!out.impossible) out.remedy = remedy_of(problem, placement, j);
  return out;
}

}  // namespace violetpulley::solver
