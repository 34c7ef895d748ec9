#include "commands/pack.hpp"

#include <spdlog/fmt/fmt.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "commands/exit_codes.hpp"
#include "config/case_file.hpp"
#include "solver/reasons.hpp"
#include "solver/solver.hpp"
#include "solver/steps.hpp"

namespace violetpulley::commands {

namespace {

using Json = nlohmann::json;
using solver::Amount;
using solver::Problem;

constexpr int kBarCharacters = 20;

struct Options {
  std::string file;
  bool exact = false;
  bool explain = false;
  bool json = false;
  std::uint64_t seed = 1;
  std::uint64_t steps = 20'000'000;
};

struct Solution {
  solver::SearchResult result;
  std::optional<solver::ExactResult> exact_result;
  std::vector<solver::TransitionStep> steps;
  std::vector<std::pair<std::size_t, solver::Explanation>> unplaced;
};

double to_units(Amount amount) { return static_cast<double>(amount) / solver::kOne; }

Solution solve(const Problem& problem, const Options& options) {
  Solution out;
  if (options.exact) {
    out.exact_result = search_exact(problem, options.steps);
    out.result = out.exact_result->best;
  } else {
    solver::SearchOptions search_options;
    search_options.seed = options.seed;
    out.result = search_fast(problem, search_options);
  }
  out.steps = plan_transition(problem, current_placement(problem), out.result.placement);
  for (std::size_t j = 0; j < problem.jobs.size(); ++j)
    if (auto explanation = explain(problem, out.result.placement, j); explanation.missing > 0)
      out.unplaced.emplace_back(j, std::move(explanation));
  return out;
}

std::string usage_bar(Amount used, Amount of) {
  const auto used_characters = of == 0 ? 0 : static_cast<std::size_t>(used * kBarCharacters / of);
  return "[" + std::string(used_characters, '#') +
         std::string(kBarCharacters - used_characters, '.') + "]";
}

void print_machines(const Problem& problem, const solver::Placement& placement) {
  for (std::size_t m = 0; m < problem.machines.size(); ++m) {
    const auto& machine = problem.machines[m];
    solver::Resources used;
    std::string tasks;
    for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
      if (placement[j][m] == 0) continue;
      used += problem.jobs[j].per_task * placement[j][m];
      tasks +=
          fmt::format("{}{} x {}", tasks.empty() ? "" : ", ", placement[j][m], problem.jobs[j].id);
    }
    fmt::print("{}{}{}: {}\n", machine.id, machine.zone.empty() ? "" : " in " + machine.zone,
               machine.rented ? "" : " (to be rented)", tasks.empty() ? "empty" : tasks);
    for (std::size_t r = 0; r < solver::kResourceCount; ++r)
      if (machine.capacity.amounts[r] > 0)
        fmt::print("  {:<7}{} {:g} of {:g}\n", solver::kResourceNames[r],
                   usage_bar(used.amounts[r], machine.capacity.amounts[r]),
                   to_units(used.amounts[r]), to_units(machine.capacity.amounts[r]));
  }
}

const char* kind_name(solver::TransitionStep::Kind kind) {
  static constexpr const char* kNames[] = {"stop", "move", "start"};
  return kNames[static_cast<int>(kind)];
}

void print_steps(const Problem& problem, const std::vector<solver::TransitionStep>& steps) {
  if (!steps.empty()) fmt::print("\nSteps:\n");
  std::size_t number = 0;
  for (const auto& step : steps) {
    std::string change_list;
    for (const auto& change : step.changes)
      change_list += fmt::format(" {} {} {}", change.task_delta < 0 ? "away from" : "to",
                                 problem.machines[change.machine].id, std::abs(change.task_delta));
    fmt::print("{:>4}. {} {}:{}{}\n", ++number, kind_name(step.kind), problem.jobs[step.job].id,
               change_list, step.loss > 0 ? fmt::format(", loses {:g}", to_units(step.loss)) : "");
  }
}

std::string suggested_plan_text(const solver::SuggestedPlan& suggested_plan) {
  switch (suggested_plan.kind) {
    case solver::SuggestedPlan::Kind::move:
      return fmt::format("it fits if {} tasks move, one of {} away from {}", suggested_plan.moves,
                         suggested_plan.job, suggested_plan.machine);
    case solver::SuggestedPlan::Kind::wait:
      return fmt::format("it fits when all tasks up to bin {} have ended", suggested_plan.bin);
    case solver::SuggestedPlan::Kind::none:
      break;
  }
  return "";
}

void print_reasons(const Problem& problem, const Solution& solution) {
  if (!solution.unplaced.empty()) fmt::print("\nLeft out:\n");
  for (const auto& [j, explanation] : solution.unplaced) {
    const auto& job = problem.jobs[j];
    fmt::print("  {}: {} of {} tasks; {}\n", job.id, explanation.missing, job.tasks,
               explanation.no_machines  ? "there is no machine"
               : explanation.impossible ? "impossible on these machines even when they are empty:"
                                        : "it waits:");
    for (const auto reason : explanation.reasons)
      fmt::print("    {}: {}\n", code_of(reason), sentence_of(reason, job));
    if (const auto text = suggested_plan_text(explanation.suggested_plan); !text.empty())
      fmt::print("    {}\n", text);
  }
}

Json score_json(const solver::Score& score) {
  Json placed = Json::array();
  for (const auto level : score.placed) placed.push_back(to_units(level));
  return {{"guaranteed", to_units(score.guaranteed)},
          {"placed", placed},
          {"loss", to_units(score.loss)},
          {"machines", score.machines},
          {"price", to_units(score.price)}};
}

Json to_json(const Problem& problem, const Solution& solution, bool with_reasons) {
  Json out{{"score", score_json(solution.result.score)},
           {"steps_looked_at", solution.result.steps}};
  if (solution.exact_result) {
    out["proven"] = solution.exact_result->proven;
    out["bound"] = score_json(solution.exact_result->bound);
  }
  auto& placement = out["placement"] = Json::array();
  for (std::size_t j = 0; j < problem.jobs.size(); ++j)
    for (std::size_t m = 0; m < problem.machines.size(); ++m)
      if (const auto count = solution.result.placement[j][m]; count > 0)
        placement.push_back(
            {{"job", problem.jobs[j].id}, {"machine", problem.machines[m].id}, {"tasks", count}});
  auto& steps = out["steps"] = Json::array();
  for (const auto& step : solution.steps) {
    Json changes = Json::array();
    for (const auto& change : step.changes)
      changes.push_back(
          {{"machine", problem.machines[change.machine].id}, {"tasks", change.task_delta}});
    steps.push_back({{"kind", kind_name(step.kind)},
                     {"job", problem.jobs[step.job].id},
                     {"changes", changes},
                     {"loss", to_units(step.loss)}});
  }
  if (!with_reasons) return out;
  auto& unplaced = out["left_out"] = Json::array();
  for (const auto& [j, explanation] : solution.unplaced) {
    Json reasons = Json::array();
    for (const auto reason : explanation.reasons)
      reasons.push_back(
          {{"code", code_of(reason)}, {"text", sentence_of(reason, problem.jobs[j])}});
    unplaced.push_back({{"job", problem.jobs[j].id},
                        {"missing", explanation.missing},
                        {"impossible", explanation.impossible},
                        {"no_machines", explanation.no_machines},
                        {"reasons", reasons},
                        {"remedy", suggested_plan_text(explanation.suggested_plan)}});
  }
  return out;
}

int pack(const Options& options) {
  std::ifstream file(options.file);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "violetpulley: " << options.file << " cannot be read\n";
    return kInvalidInput;
  }
  Problem problem;
  try {
    problem = config::parse_case(text.str());
  } catch (const config::SettingsError& error) {
    std::cerr << "violetpulley: " << options.file << ": " << error.what() << "\n";
    return kInvalidInput;
  }
  const auto solution = solve(problem, options);
  if (options.json) {
    std::cout << to_json(problem, solution, options.explain).dump(2) << "\n";
  } else {
    print_machines(problem, solution.result.placement);
    print_steps(problem, solution.steps);
    if (options.explain) print_reasons(problem, solution);
    fmt::print("\n{} of {} jobs are placed, {} machines, {:g} an hour{}\n",
               problem.jobs.size() - solution.unplaced.size(), problem.jobs.size(),
               solution.result.score.machines, to_units(solution.result.score.price),
               !solution.exact_result ? ""
               : solution.exact_result->proven
                   ? "; nothing is better"
                   : "; stopped before it was proven, see bound in --json");
  }
  return solution.unplaced.empty() ? kSuccess : kCheckFailed;
}

}  // namespace

void add_pack(CLI::App& app, int& result) {
  const auto options = std::make_shared<Options>();
  auto* command = app.add_subcommand(
      "pack", "solve a placement case from a file; exit code 1 if some tasks are not placed");
  command->add_option("case", options->file, "case file (YAML, docs/solver.md)")->required();
  command->add_flag("--exact", options->exact, "search until the placement is proven optimal");
  command->add_option("--steps", options->steps, "maximum number of steps of the exact search");
  command->add_option("--seed", options->seed, "random seed of the fast search");
  command->add_flag("--explain", options->explain, "print why tasks were not placed");
  command->add_flag("--json", options->json, "print JSON");
  command->callback([options, &result] { result = pack(*options); });
}

}  // namespace violetpulley::commands
