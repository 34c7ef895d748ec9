// Time and quality of the solver from 10 to 2,000 machines (docs/solver.md has the figures).
// Outside CI:
//   cmake --build build --target violetpulley_solver_bench && build/bench/violetpulley_solver_bench
#include <benchmark/benchmark.h>

#include <random>

#include "solver/solver.hpp"

namespace violetpulley::solver {
namespace {

// A fleet that is half full of movable work in odd pieces, and jobs that wait: mostly arrays.
Problem fragmented(std::int64_t machines, std::int64_t jobs, std::uint32_t tasks) {
  std::mt19937_64 random(7);
  const auto pick = [&](std::uint64_t below) { return random() % below; };
  Problem out;
  for (std::int64_t m = 0; m < machines; ++m) {
    auto& added = out.machines.emplace_back();
    added.id = "m" + std::to_string(m);
    added.type = pick(3) == 0 ? "wide" : "big";
    added.zone = std::string(1, static_cast<char>('a' + pick(3)));
    added.capacity = {{64 * kOne, 0, (added.type == "wide" ? 512 : 256) * kOne}};
    added.price = added.type == "wide" ? 4 * kOne : 3 * kOne;
  }
  for (std::int64_t j = 0; j < jobs; ++j) {
    Job added;
    added.id = "j" + std::to_string(j);
    added.shape = j % 40 == 0 ? Shape::gang : j % 10 == 1 ? Shape::service : Shape::array;
    added.tasks = added.shape == Shape::array ? tasks : 8;
    const Amount sizes[] = {kOne / 2, kOne, 2 * kOne, 3 * kOne};
    added.per_task = {{added.shape == Shape::gang ? 32 * kOne : sizes[pick(4)], 0,
                       static_cast<Amount>(1 + pick(8)) * kOne}};
    added.priority = static_cast<int>(pick(3));
    added.bin = static_cast<int>(pick(8));
    added.movable = added.shape != Shape::service;
    added.loss = kOne;
    out.jobs.push_back(std::move(added));
  }
  PlacementState state(out);
  for (std::size_t j = 0; j < out.jobs.size(); j += 2) {
    if (out.jobs[j].shape == Shape::gang || out.machines.empty()) continue;
    for (std::uint32_t t = 0; t < out.jobs[j].tasks; ++t) {
      const auto m = pick(out.machines.size());
      if (state.max_more_tasks(j, m) > 0 && state.free(m).amounts[cpus] > 32 * kOne)
        state.add(j, m, 1);
    }
    out.jobs[j].running_tasks = state.placement()[j];
  }
  return out;
}

void report_counters(benchmark::State& state, const Problem& problem, const SearchResult& found) {
  const auto bound = bound_of(problem);
  Amount placed = 0;
  Amount most = 0;
  for (const auto level : found.score.placed) placed += level;
  for (const auto level : bound.placed) most += level;
  state.counters["placed_cpus"] = static_cast<double>(placed) / kOne;
  state.counters["bound_cpus"] = static_cast<double>(most) / kOne;
  state.counters["machines"] = static_cast<double>(found.score.machines);
  state.counters["lost"] = static_cast<double>(found.score.loss) / kOne;
}

Problem sized(const benchmark::State& state) {
  return fragmented(state.range(0), state.range(1), static_cast<std::uint32_t>(state.range(2)));
}

void benchmark_fill(benchmark::State& state) {
  const auto problem = sized(state);
  SearchResult found;
  for (auto _ : state) found = place_greedily(problem);
  report_counters(state, problem, found);
}

void benchmark_fast_search(benchmark::State& state) {
  const auto problem = sized(state);
  SearchResult found;
  for (auto _ : state) found = search_fast(problem, {1, 2, 1});
  report_counters(state, problem, found);
}

void sizes(benchmark::internal::Benchmark* bench) {
  bench->Unit(benchmark::kMillisecond)->ArgNames({"machines", "jobs", "tasks"});
  bench->Args({10, 10, 20})->Args({100, 40, 100})->Args({500, 100, 200})->Args({1700, 400, 20});
  bench->Args({1700, 400, 250})->Args({2000, 400, 250});
}
BENCHMARK(benchmark_fill)->Apply(sizes);
BENCHMARK(benchmark_fast_search)->Apply(sizes)->Iterations(1);

}  // namespace
}  // namespace violetpulley::solver

BENCHMARK_MAIN();
