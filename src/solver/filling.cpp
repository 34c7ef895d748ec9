#include "solver/filling.hpp"

#include <algorithm>
#include <tuple>

namespace violetpulley::solver {

Filling::Filling(const Problem& problem, const Placement& placement, std::uint64_t max_steps)
    : problem_(problem), state_(problem, placement), max_steps_(max_steps) {}

void Filling::change(std::size_t job, std::size_t machine, std::int64_t delta) {
  if (delta > 0)
    state_.add(job, machine, static_cast<std::uint32_t>(delta));
  else
    state_.remove(job, machine, static_cast<std::uint32_t>(-delta));
  trail_.push_back({job, machine, delta});
}

void Filling::back_to(Mark mark) {
  while (trail_.size() > mark) {
    const auto last = trail_.back();
    if (last.delta > 0)
      state_.remove(last.job, last.machine, static_cast<std::uint32_t>(last.delta));
    else
      state_.add(last.job, last.machine, static_cast<std::uint32_t>(-last.delta));
    trail_.pop_back();
  }
}

std::uint32_t Filling::removable(std::size_t j, std::size_t m) const {
  const auto& job = problem_.jobs[j];
  return state_.on(j, m) - (job.movable ? 0 : job.home_on(m));
}

// Its own places first, then machines in use before empty ones, those of its bin before others
// (DESIGN), rented before not, and the fullest first.
std::vector<std::size_t> Filling::in_order(std::size_t j, std::optional<std::size_t> not_on,
                                           std::size_t enough) {
  const auto& job = problem_.jobs[j];
  using Rank = std::tuple<bool, bool, Amount, bool, Amount, std::int64_t>;
  std::vector<std::pair<Rank, std::size_t>> ranked;
  for (std::size_t m = 0; m < problem_.machines.size(); ++m) {
    ++steps_;
    if (m == not_on || state_.most(j, m) == 0) continue;
    const auto& machine = problem_.machines[m];
    const auto bins = state_.bins(m);
    Amount mixing = 0;
    if (bins)
      mixing =
          mixing_cost(machine, std::min(bins->first, job.bin), std::max(bins->second, job.bin)) -
          mixing_cost(machine, bins->first, bins->second);
    std::int64_t left = 0;  // after one task, in thousandths of the machine, over all resources
    for (std::size_t r = 0; r < kResources; ++r)
      if (machine.room.of[r] > 0)
        left += (state_.free(m).of[r] - job.per_task.of[r]) / (machine.room.of[r] / 1000 + 1);
    ranked.emplace_back(Rank{job.home_on(m) <= state_.on(j, m), !bins, mixing, !machine.rented,
                             bins ? 0 : machine.price, left},
                        m);
  }
  enough = std::min(enough, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(enough),
                    ranked.end());
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < enough; ++i) out.push_back(ranked[i].second);
  return out;
}

void Filling::place_in(std::size_t j, const std::vector<std::size_t>& machines) {
  const auto& job = problem_.jobs[j];
  for (const auto m : machines) {
    if (state_.placed(j) == job.tasks) return;
    ++steps_;
    auto count = state_.most(j, m);
    // What ran there comes back first, and no more, as long as others of it have a home.
    if (const auto home = job.home_on(m); home > state_.on(j, m))
      count = std::min(count, home - state_.on(j, m));
    if (count > 0) change(j, m, count);
  }
  for (const auto m : machines) {
    if (state_.placed(j) == job.tasks) return;
    if (const auto count = state_.most(j, m); count > 0) change(j, m, count);
  }
}

void Filling::place(std::size_t j) {
  const auto& job = problem_.jobs[j];
  if (state_.placed(j) == job.tasks) return;
  // Each of them takes a task, unless zones are limited: then it is not known how many it needs.
  const bool zoned = job.same_zone || job.spread;
  const auto machines = in_order(j, {}, zoned ? SIZE_MAX : job.tasks - state_.placed(j));
  if (!job.same_zone || state_.placed(j) > 0) {
    const auto begun = mark();
    place_in(j, machines);
    if (job.shape == Shape::gang && state_.placed(j) < job.tasks) back_to(begun);
    return;
  }
  // The zone that takes most, the first of equals.
  std::vector<std::string> zones;
  for (const auto m : machines)
    if (std::find(zones.begin(), zones.end(), state_.zone_of(m)) == zones.end())
      zones.push_back(state_.zone_of(m));
  std::uint32_t most = job.shape == Shape::gang ? job.tasks - 1 : 0;
  std::optional<std::vector<std::size_t>> best;
  for (const auto& zone : zones) {
    std::vector<std::size_t> in_zone;
    for (const auto m : machines)
      if (state_.zone_of(m) == zone) in_zone.push_back(m);
    const auto begun = mark();
    place_in(j, in_zone);
    if (state_.placed(j) > most) {
      most = state_.placed(j);
      best = in_zone;
    }
    back_to(begun);
  }
  if (best) place_in(j, *best);
}

void Filling::take_out(std::size_t j, std::size_t m) {
  const auto& job = problem_.jobs[j];
  if (job.shape != Shape::gang) {
    if (const auto count = removable(j, m); count > 0) change(j, m, -std::int64_t{count});
    return;
  }
  for (std::size_t other = 0; other < problem_.machines.size(); ++other)
    if (removable(j, other) < state_.on(j, other)) return;
  for (std::size_t other = 0; other < problem_.machines.size(); ++other)
    if (const auto count = state_.on(j, other); count > 0) change(j, other, -std::int64_t{count});
}

bool Filling::make_room(std::size_t j, int depth) {
  const auto& job = problem_.jobs[j];
  const auto begun = mark();
  if (job.shape != Shape::gang) return room_for_one(j, depth, {});
  // Zones are not tried one by one here: rounds of taking out and placing anew do that.
  while (state_.placed(j) < job.tasks) {
    const auto machines = in_order(j, {}, 1);
    if (!machines.empty()) {
      change(j, machines.front(), 1);
    } else if (!room_for_one(j, depth, {})) {
      back_to(begun);
      return false;
    }
  }
  return true;
}

bool Filling::room_for_one(std::size_t j, int depth, std::optional<std::size_t> not_on) {
  for (std::size_t m = 0; m < problem_.machines.size() && steps_ < max_steps_; ++m)
    if (m != not_on && room_on(j, m, depth)) return true;
  return false;
}

// Takes tasks of one other job off the machine until a task fits, and places them elsewhere.
bool Filling::room_on(std::size_t j, std::size_t m, int depth) {
  Relaxed roomy;
  roomy.room.fill(true);
  ++steps_;
  if (state_.most(j, m, roomy) == 0) return false;
  for (std::size_t other = 0; other < problem_.jobs.size(); ++other) {
    ++steps_;
    if (other == j || problem_.jobs[other].shape == Shape::gang) continue;
    if (removable(other, m) == 0) continue;
    const auto begun = mark();
    const auto there = removable(other, m);
    std::uint32_t taken = 0;
    while (taken < there && state_.most(j, m) == 0) {
      change(other, m, -1);
      ++taken;
    }
    if (taken == 0 || state_.most(j, m) == 0) {
      back_to(begun);
      continue;
    }
    change(j, m, 1);
    bool all = true;
    while (all && taken > 0) {
      const auto elsewhere = in_order(other, m, 1);
      if (!elsewhere.empty()) {
        const auto count = std::min(taken, state_.most(other, elsewhere.front()));
        change(other, elsewhere.front(), count);
        taken -= count;
      } else if (depth > 0 && room_for_one(other, depth - 1, m)) {
        --taken;
      } else {
        all = false;
      }
    }
    if (all) return true;
    back_to(begun);
  }
  return false;
}

}  // namespace violetpulley::solver
