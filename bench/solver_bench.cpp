// Measures run time and placement quality of the solver with 10 to 2,000 machines (docs/solver.md
// has the figures). Not run by CI:
//   cmake --build build --target violetpulley_solver_bench && build/bench/violetpulley_solver_bench
#include <benchmark/benchmark.h>

#include <random>

#include "solver/solver.hpp"

namespace violetpulley::solver {
namespace {

// A fleet fragmented by running tasks of various sizes, and waiting jobs, mostly arrays.
Problem fragmented_problem(std::int64_t machines, std::int64_t jobs, std::uint32_t tasks) {
  std::mt19937_64 random(7);
  const auto pick = [&](std::uint64_t below) { return random() % below; };
  Problem out;
  for (std::int64_t m = 0; m < machines; ++m) {
    auto& entry = out.machines.emplace_back();
    entry.id = "m" + std::to_string(m);
    entry.type = pick(3) == 0 ? "wide" : "big";
    entry.zone = std::string(1, static_cast<char>('a' + pick(3)));
    entry.capacity = {{64 * kOne, 0, (entry.type == "wide" ? 512 : 256) * kOne}};
    entry.price = entry.type == "wide" ? 4 * kOne : 3 * kOne;
  }
  for (std::int64_t j = 0; j < jobs; ++j) {
    Job entry;
    entry.id = "j" + std::to_string(j);
    entry.shape = j % 40 == 0 ? Shape::gang : j % 10 == 1 ? Shape::service : Shape::array;
    entry.tasks = entry.shape == Shape::array ? tasks : 8;
    const Amount task_sizes[] = {kOne / 2, kOne, 2 * kOne, 3 * kOne};
    entry.per_task = {{entry.shape == Shape::gang ? 32 * kOne : task_sizes[pick(4)], 0,
                       static_cast<Amount>(1 + pick(8)) * kOne}};
    entry.priority = static_cast<int>(pick(3));
    entry.bin = static_cast<int>(pick(8));
    entry.movable = entry.shape != Shape::service;
    entry.loss = kOne;
    out.jobs.push_back(std::move(entry));
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
  Amount placed_cpus = 0;
  Amount bound_cpus = 0;
  for (const auto level : found.score.placed) placed_cpus += level;
  for (const auto level : bound.placed) bound_cpus += level;
  state.counters["placed_cpus"] = static_cast<double>(placed_cpus) / kOne;
  state.counters["bound_cpus"] = static_cast<double>(bound_cpus) / kOne;
  state.counters["machines"] = static_cast<double>(found.score.machines);
  state.counters["lost"] = static_cast<double>(found.score.loss) / kOne;
}

Problem problem_of_size(const benchmark::State& state) {
  return fragmented_problem(state.range(0), state.range(1),
                            static_cast<std::uint32_t>(state.range(2)));
}

void benchmark_fill(benchmark::State& state) {
  const auto problem = problem_of_size(state);
  SearchResult found;
  for (auto _ : state) found = place_greedily(problem);
  report_counters(state, problem, found);
}

void benchmark_fast_search(benchmark::State& state) {
  const auto problem = problem_of_size(state);
  SearchResult found;
  for (auto _ : state) found = search_fast(problem, {1, 2, 1});
  report_counters(state, problem, found);
}

void set_sizes(benchmark::internal::Benchmark* bench) {
  bench->Unit(benchmark::kMillisecond)->ArgNames({"machines", "jobs", "tasks"});
  bench->Args({10, 10, 20})->Args({100, 40, 100})->Args({500, 100, 200})->Args({1700, 400, 20});
  bench->Args({1700, 400, 250})->Args({2000, 400, 250});
}
BENCHMARK(benchmark_fill)->Apply(set_sizes);
BENCHMARK(benchmark_fast_search)->Apply(set_sizes)->Iterations(1);

}  // namespace
}  // namespace violetpulley::solver

BENCHMARK_MAIN();
