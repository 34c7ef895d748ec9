// Seeded random cases compared with an exhaustive search, and a test of each hard case.
// VIOLETPULLEY_SOLVER_CASES sets the number of random cases (docs/solver.md).
#include "solver/solver.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

#include "config/case_file.hpp"
#include "solver/exhaustive_search.hpp"
#include "solver/reasons.hpp"
#include "solver/steps.hpp"

namespace violetpulley::solver {
namespace {

// Replaces `"m" + std::to_string(i)`, for which GCC 12 gives a false warning (-Wrestrict).
template <class Number>
std::string numbered(const char* what, Number number) {
  std::ostringstream out;
  out << what << number;
  return out.str();
}

Machine machine(const std::string& id, double processors, const std::string& zone = "a",
                double memory = 64, double accelerators = 0) {
  const Resources capacity{{std::llround(processors * kOne), std::llround(accelerators * kOne),
                            std::llround(memory * kOne)}};
  return {id, "t", zone, false, true, capacity, kOne};
}

Job job(const std::string& id, std::uint32_t tasks, double processors, double memory = 0) {
  Job out;
  out.id = id;
  out.tasks = tasks;
  out.per_task = {{std::llround(processors * kOne), 0, std::llround(memory * kOne)}};
  return out;
}

// A random case of up to eight machines and twelve jobs of mixed shapes. In most cases the machines
// are full.
Problem generate(std::mt19937_64& random) {
  const auto pick = [&](std::int64_t below) {
    return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(below));
  };
  const auto one_in = [&](std::int64_t n) { return pick(n) == 0; };
  Problem out;
  const char* zones[] = {"a", "b", "c"};
  const char* types[] = {"t", "u"};
  const auto machines = one_in(40) ? 0 : 1 + pick(8);
  const auto zone_count = 1 + pick(3);
  const bool identical = one_in(4);
  for (std::int64_t m = 0; m < machines; ++m) {
    auto& added = out.machines.emplace_back(identical && m > 0 ? out.machines[0] : Machine{});
    added.id = numbered("m", m);
    if (identical && m > 0) continue;
    added.type = types[pick(2)];
    added.zone = zones[pick(zone_count)];
    added.spot = one_in(3);
    added.rented = !one_in(4);
    added.capacity = {{(1 + pick(4)) * kOne, one_in(3) ? pick(3) * kOne : 0, (1 + pick(6)) * kOne}};
    added.price = (1 + pick(5)) * kOne / 10;
  }
  const auto teams = pick(3);
  for (std::int64_t t = 0; t < teams; ++t) {
    auto& team = out.teams.emplace_back();
    team.name = numbered("team", t);
    if (one_in(2)) team.guaranteed.amounts[cpus] = pick(4) * kOne;
    if (one_in(2)) team.limit.amounts[cpus] = (1 + pick(6)) * kOne;
    if (one_in(4)) team.limit.amounts[gpus] = (1 + pick(2)) * kOne;
  }
  const auto jobs = 1 + pick(12);
  // With many jobs and machines, few allowed machines per job keep the exhaustive search feasible.
  const bool few_choices = jobs > 4 && machines > 3;
  PlacementState state(out);
  for (std::int64_t j = 0; j < jobs; ++j) {
    Job added;
    added.id = numbered("j", j);
    if (teams > 0 && !one_in(3)) added.team = "team" + std::to_string(pick(teams));
    added.shape = static_cast<Shape>(pick(3));
    added.priority = static_cast<int>(pick(3)) - 1;
    added.tasks = static_cast<std::uint32_t>(1 + pick(few_choices ? 2 : 4));
    const Amount sizes[] = {kOne / 2, kOne, kOne, 2 * kOne, 3 * kOne, kOne / 10};
    added.per_task = {{sizes[pick(few_choices ? 5 : 6)], one_in(6) ? kOne : 0, pick(4) * kOne}};
    if (few_choices || one_in(4)) added.types = {types[pick(2)]};
    if (one_in(few_choices ? 2 : 5)) added.zone = zones[pick(zone_count)];
    added.same_zone = one_in(5);
    added.spread = one_in(5);
    added.spot_allowed = !one_in(3);
    added.bin = static_cast<int>(pick(4));
    added.movable = !one_in(3);
    added.loss = pick(5) * kOne;
    out.jobs.push_back(added);
  }
  // Some tasks run now, on machines where they keep every limit.
  PlacementState now(out);
  for (std::size_t j = 0; j < out.jobs.size(); ++j) {
    if (machines == 0 || !one_in(2)) continue;
    Placement before = now.placement();
    for (int tries = 0; tries < 6; ++tries) {
      const auto m = static_cast<std::size_t>(pick(machines));
      if (const auto most = now.max_more_tasks(j, m); most > 0)
        now.add(j, m, 1 + static_cast<std::uint32_t>(pick(most)));
    }
    if (out.jobs[j].shape == Shape::gang && now.placed(j) < out.jobs[j].tasks)
      for (std::size_t m = 0; m < out.machines.size(); ++m) now.remove(j, m, now.tasks_on(j, m));
    out.jobs[j].running_tasks = now.placement()[j];
  }
  return out;
}

// Result of the checks of one case.
struct CheckResult {
  std::string failure;    // empty: all checks passed
  bool exhausted = true;  // the exhaustive search was complete
  // How much less than the optimum the fast search places, in thousandths of the optimum's placed
  // weight at the first priority that differs; 0: as much; -1: unknown.
  int gap_thousandths = -1;
  bool scores_worse = false;  // any part of the fast search's score differs from the optimum
  std::size_t reasons = 0;
  std::size_t impossible = 0;
  std::size_t steps = 0;
};

constexpr std::uint64_t kMaxExhaustiveSteps = 400'000;

std::string check_reasons(const Problem& problem, const Placement& placement, CheckResult& out) {
  const PlacementState state(problem, placement);
  for (std::size_t j = 0; j < problem.jobs.size(); ++j) {
    const auto why = explain(problem, placement, j);
    if (why.missing == 0) continue;
    if (why.no_machines) {
      if (!problem.machines.empty()) return "no_machines is set although there are machines";
      continue;
    }
    // Whether the job fits on empty machines, found from all placements of this job alone. Its
    // running tasks are ignored, also those that may not be moved.
    Problem alone = problem;
    alone.jobs = {problem.jobs[j]};
    alone.jobs[0].running_tasks.clear();
    bool possible = false;
    if (exhaustive::for_each_placement(alone, kMaxExhaustiveSteps,
                                       [&](const Placement& candidate) {
                                         std::uint32_t count = 0;
                                         for (const auto n : candidate[0]) count += n;
                                         if (count > 0) possible = true;
                                       }) &&
        possible == why.impossible)
      return problem.jobs[j].id +
             (possible ? " fits on empty machines but is reported as impossible"
                       : " does not fit on empty machines but is reported as possible");
    out.impossible += why.impossible ? 1 : 0;
    if (why.reasons.empty() && !fits(why.impossible ? PlacementState(problem) : state, j))
      return problem.jobs[j].id + " does not fit, but no reason is given";
    out.reasons += why.reasons.size();
    const PlacementState empty(problem);
    const auto& explained_state = why.impossible ? empty : state;
    if (!why.reasons.empty() && !fits(explained_state, j, relaxation_of(why.reasons)))
      return problem.jobs[j].id + " does not fit although its reasons are relaxed";
    for (std::size_t kept = 0; kept < why.reasons.size(); ++kept) {
      auto others = why.reasons;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(kept));
      if (fits(explained_state, j, relaxation_of(others)))
        return problem.jobs[j].id + " fits with " + code_of(why.reasons[kept]) + " kept";
    }
  }
  return "";
}

std::string check_steps(const Problem& problem, const Placement& to, CheckResult& out) {
  auto now = current_placement(problem);
  std::map<std::size_t, std::int64_t> stopped;
  std::int64_t loss = 0;
  for (const auto& step : plan_transition(problem, now, to)) {
    apply(step, now);
    ++out.steps;
    loss += step.loss;
    if (const auto violation = exhaustive::violation(problem, now))
      return numbered("a step breaks ", *violation);
    for (const auto& change : step.changes)
      if (change.task_delta < 0) stopped[step.job] -= change.task_delta;
  }
  if (now != to) return "the steps do not lead to the target placement";
  for (const auto& [j, count] : stopped) {
    std::int64_t running = 0;
    for (const auto n : problem.jobs[j].running_tasks) running += n;
    if (count > running) return "a task is stopped twice";
  }
  if (loss != score_of(problem, to).loss)
    return "the loss of the steps differs from the loss of the score";
  return "";
}

CheckResult check(const Problem& problem) {
  CheckResult out;
  if (exhaustive::violation(problem, current_placement(problem))) {
    out.failure = std::string("the generated case breaks a limit");
    return out;
  }
  const auto fast = search_fast(problem);
  const auto exact = search_exact(problem, 3'000'000);
  for (const auto* found : {&fast, &exact.best}) {
    if (const auto violation = exhaustive::violation(problem, found->placement)) {
      out.failure = numbered("a placement breaks ", *violation);
      return out;
    }
    if (exhaustive::value(problem, found->placement) != exhaustive::value(found->score)) {
      out.failure = std::string("the score differs from the value of the placement");
      return out;
    }
    out.failure = check_steps(problem, found->placement, out);
    if (out.failure.empty()) out.failure = check_reasons(problem, found->placement, out);
    if (!out.failure.empty()) return out;
  }
  if (exact.best.score.better_than(exact.bound))
    out.failure = std::string("the best result is better than the bound");
  // The options let the fast search do nothing, so the exact search starts without its result.
  const auto alone = search_exact(problem, 1'000'000, {0, 0, 1, 0});
  if (alone.proven && exact.proven && alone.best.score != exact.best.score)
    out.failure = std::string("the exact search without the fast search proves another optimum");
  const auto best = exhaustive::best_value(problem, kMaxExhaustiveSteps);
  out.exhausted = best.has_value();
  if (!best) return out;
  const auto found = exhaustive::value(exact.best.score);
  if (found > *best) out.failure = std::string("the result is better than the exhaustive optimum");
  if (exact.proven && found != *best)
    out.failure = std::string("the proven result differs from the exhaustive optimum");
  if (exhaustive::value(exact.bound) < *best)
    out.failure = std::string("the bound is below the exhaustive optimum");
  out.gap_thousandths = 0;
  const auto fast_value = exhaustive::value(fast.score);
  out.scores_worse = fast_value != *best;
  const auto& best_weights = std::get<1>(*best);
  for (std::size_t level = 0; level < best_weights.size(); ++level) {
    const auto fast_weight = std::get<1>(fast_value)[level];
    if (fast_weight == best_weights[level]) continue;
    if (fast_weight < best_weights[level])
      out.gap_thousandths =
          static_cast<int>(((best_weights[level] - fast_weight) * 1000 + best_weights[level] - 1) /
                           best_weights[level]);
    break;
  }
  if (std::get<0>(fast_value) < std::get<0>(*best) && out.gap_thousandths == 0)
    out.gap_thousandths = 1000;
  return out;
}

// Reduces a failing case: removes jobs, machines and teams one by one while the case still fails.
Problem shrink(Problem problem) {
  for (bool smaller = true; smaller;) {
    smaller = false;
    const auto accept = [&](Problem candidate) {
      if (check(candidate).failure.empty()) return false;
      problem = std::move(candidate);
      smaller = true;
      return true;
    };
    for (std::size_t j = 0; j < problem.jobs.size() && !smaller; ++j) {
      auto candidate = problem;
      candidate.jobs.erase(candidate.jobs.begin() + static_cast<std::ptrdiff_t>(j));
      accept(std::move(candidate));
    }
    for (std::size_t m = 0; m < problem.machines.size() && !smaller; ++m) {
      auto candidate = problem;
      candidate.machines.erase(candidate.machines.begin() + static_cast<std::ptrdiff_t>(m));
      for (auto& entry : candidate.jobs)
        if (!entry.running_tasks.empty())
          entry.running_tasks.erase(entry.running_tasks.begin() + static_cast<std::ptrdiff_t>(m));
      if (!exhaustive::violation(candidate, current_placement(candidate)))
        accept(std::move(candidate));
    }
    for (std::size_t t = 0; t < problem.teams.size() && !smaller; ++t) {
      auto candidate = problem;
      candidate.teams.erase(candidate.teams.begin() + static_cast<std::ptrdiff_t>(t));
      accept(std::move(candidate));
    }
  }
  return problem;
}

// Stated in docs/solver.md. The test prints a histogram of the gaps for runs outside CI.
constexpr int kMaxGapThousandths = 1000;  // upper bound of the gap of the fast search in one case
constexpr double kMaxWorseShare = 0.05;   // share of cases in which it places less than the optimum

TEST(Solver, ResultsOnSmallCasesAgreeWithAnExhaustiveSearch) {
  const char* cases_setting = std::getenv("VIOLETPULLEY_SOLVER_CASES");
  const int cases = cases_setting == nullptr ? 300 : std::atoi(cases_setting);
  std::mt19937_64 random(2026);
  int exhausted = 0;
  int placed_less = 0;
  int scored_worse = 0;
  std::map<int, int> histogram;
  CheckResult totals;
  for (int i = 0; i < cases; ++i) {
    const auto problem = generate(random);
    const auto checked = check(problem);
    if (!checked.failure.empty()) {
      const auto small = shrink(problem);
      FAIL() << "case " << i << ": " << check(small).failure << "\n" << config::case_text(small);
    }
    totals.reasons += checked.reasons;
    totals.impossible += checked.impossible;
    totals.steps += checked.steps;
    if (!checked.exhausted) continue;
    ++exhausted;
    placed_less += checked.gap_thousandths > 0 ? 1 : 0;
    scored_worse += checked.scores_worse ? 1 : 0;
    ++histogram[checked.gap_thousandths == 0 ? 0 : (checked.gap_thousandths + 99) / 100 * 100];
    EXPECT_LE(checked.gap_thousandths, kMaxGapThousandths) << config::case_text(problem);
  }
  std::cout << cases << " cases, " << exhausted
            << " of them exhausted; the fast search places less in " << placed_less
            << ", has a worse score in " << scored_worse << "; " << totals.reasons << " reasons, "
            << totals.impossible << " impossible, " << totals.steps << " steps\n";
  for (const auto& [up_to, count] : histogram)
    std::cout << "  up to " << up_to << " thousandths less: " << count << "\n";
  EXPECT_GE(exhausted, cases / 2);
  EXPECT_LE(placed_less, cases * kMaxWorseShare);
  EXPECT_GT(totals.reasons, 0U);
  EXPECT_GT(totals.impossible, 0U);
  EXPECT_GT(totals.steps, 0U);
}

std::uint32_t placed(const Placement& placement, std::size_t j) {
  std::uint32_t out = 0;
  for (const auto n : placement[j]) out += n;
  return out;
}

// Job a fits on m0 after b has left, b fits on m1 after c has left, and c fits only on m2.
Problem chain_of_moves() {
  Problem out;
  out.machines = {machine("m0", 4), machine("m1", 3), machine("m2", 2)};
  out.jobs = {job("a", 1, 4), job("b", 1, 3), job("c", 1, 2)};
  out.jobs[0].priority = 1;
  out.jobs[1].running_tasks = {1, 0, 0};
  out.jobs[2].running_tasks = {0, 1, 0};
  for (auto& entry : out.jobs) {
    entry.movable = true;
    entry.loss = kOne;
  }
  return out;
}

TEST(Solver, AJobIsPlacedAfterAChainOfTwoMoves) {
  const auto problem = chain_of_moves();
  for (const auto& found : {search_fast(problem), search_exact(problem).best}) {
    EXPECT_EQ(found.placement, (Placement{{1, 0, 0}, {0, 1, 0}, {0, 0, 1}}));
    CheckResult out;
    EXPECT_EQ(check_steps(problem, found.placement, out), "");
    const auto steps = plan_transition(problem, current_placement(problem), found.placement);
    ASSERT_EQ(steps.size(), 3U);  // in the order c, b, a
    EXPECT_EQ(steps[0].job, 2U);
    EXPECT_EQ(steps[1].job, 1U);
  }
  const auto why = explain(problem, current_placement(problem), 0);
  EXPECT_EQ(why.suggested_plan.kind, SuggestedPlan::Kind::move);
  EXPECT_EQ(why.suggested_plan.moves, 2U);
}

TEST(Solver, ASwapOfTwoJobsStopsNoTaskTwice) {
  Problem problem;
  problem.machines = {machine("m0", 4, "a"), machine("m1", 4, "b")};
  problem.jobs = {job("left", 1, 4), job("right", 1, 4)};
  for (auto& entry : problem.jobs) entry.movable = true;
  problem.jobs[0].running_tasks = {1, 0};
  problem.jobs[1].running_tasks = {0, 1};
  problem.jobs[0].loss = 3 * kOne;
  problem.jobs[1].loss = kOne;
  const Placement swapped{{0, 1}, {1, 0}};
  CheckResult out;
  EXPECT_EQ(check_steps(problem, swapped, out), "");
  const auto steps = plan_transition(problem, current_placement(problem), swapped);
  ASSERT_EQ(steps.size(), 3U);
  EXPECT_EQ(steps[0].job, 1U) << "the task that loses less work stays stopped";
}

TEST(Solver, TasksThatEndAreStoppedBeforeOthersMove) {
  Problem problem;
  problem.machines = {machine("m0", 4), machine("m1", 4)};
  problem.jobs = {job("ends", 1, 4), job("moves", 1, 4), job("comes", 1, 4)};
  for (auto& entry : problem.jobs) entry.movable = true;
  problem.jobs[0].running_tasks = {1, 0};
  problem.jobs[1].running_tasks = {0, 1};
  problem.jobs[0].loss = 2 * kOne;
  problem.jobs[1].loss = kOne;
  const auto steps = plan_transition(problem, current_placement(problem), {{0, 0}, {1, 0}, {0, 1}});
  ASSERT_EQ(steps.size(), 3U);
  EXPECT_EQ(steps[0].kind, TransitionStep::Kind::stop);
  EXPECT_EQ(steps[1].kind, TransitionStep::Kind::move);
}

// Guards against a plan that moves half of a same-zone job to another zone in one step.
TEST(Solver, ASameZoneJobMovesToAnotherZoneWithAllOfItsTasks) {
  Problem problem;
  problem.machines = {machine("m0", 4, "c", 2), machine("m1", 3, "a", 6)};
  problem.jobs = {job("one", 2, 3, 1), job("many", 4, 0.5)};
  problem.jobs[0].running_tasks = {1, 0};
  problem.jobs[1].running_tasks = {0, 4};
  for (auto& entry : problem.jobs) entry.movable = entry.same_zone = true;
  CheckResult out;
  EXPECT_EQ(check_steps(problem, {{0, 1}, {4, 0}}, out), "");
}

TEST(Solver, ATaskThatNeedsMoreGpusThanAnyMachineHasIsImpossible) {
  Problem problem;
  for (int i = 0; i < 4; ++i) problem.machines.push_back(machine(numbered("m", i), 8, "a", 64, 1));
  problem.jobs = {job("wide", 1, 1)};
  problem.jobs[0].per_task.amounts[gpus] = 2 * kOne;
  const auto found = search_exact(problem).best;
  EXPECT_EQ(placed(found.placement, 0), 0U);
  const auto why = explain(problem, found.placement, 0);
  EXPECT_TRUE(why.impossible);
  EXPECT_EQ(why.reasons, std::vector<Reason>{Reason::gpus});
}

TEST(Solver, OnlyTwoOfThreeSpreadReplicasArePlacedInOneZone) {
  Problem problem;
  problem.machines = {machine("m0", 8), machine("m1", 8)};
  problem.jobs = {job("r", 3, 1)};
  problem.jobs[0].shape = Shape::service;
  problem.jobs[0].spread = true;
  const auto found = search_fast(problem);
  EXPECT_EQ(placed(found.placement, 0), 2U);
  EXPECT_EQ(explain(problem, found.placement, 0).reasons, std::vector<Reason>{Reason::spread});
}

TEST(Solver, TheTeamLimitHoldsDuringAMove) {
  Problem problem;
  problem.machines = {machine("m0", 4), machine("m1", 2)};
  problem.teams = {{"t", {}, {{2 * kOne, 0, 0}}}};
  problem.jobs = {job("small", 1, 2), job("large", 1, 4)};
  problem.jobs[0].team = "t";
  problem.jobs[0].movable = true;
  problem.jobs[0].running_tasks = {1, 0};
  const auto found = search_exact(problem).best;
  EXPECT_EQ(found.placement, (Placement{{0, 1}, {1, 0}}));
  CheckResult out;
  EXPECT_EQ(check_steps(problem, found.placement, out), "");
}

TEST(Solver, AHundredThousandTasksFillTwoHundredMachines) {
  Problem problem;
  for (int i = 0; i < 200; ++i) problem.machines.push_back(machine(numbered("m", i), 400));
  problem.jobs = {job("large", 100'000, 1)};
  const auto found = search_fast(problem, {1, 0, 1});
  EXPECT_EQ(placed(found.placement, 0), 80'000U);
  EXPECT_EQ(broken_limit(problem, found.placement), std::nullopt);
  EXPECT_EQ(explain(problem, found.placement, 0).reasons, std::vector<Reason>{Reason::cpus});
}

TEST(Solver, TenTasksOfATenthFillOneProcessor) {
  Problem problem;
  problem.machines = {machine("m0", 1)};
  problem.jobs = {job("tenths", 10, 0.1)};
  EXPECT_EQ(placed(search_fast(problem).placement, 0), 10U);
  EXPECT_EQ(placed(search_exact(problem).best.placement, 0), 10U);
}

TEST(Solver, NoMachinesAndTooLargeTasksAreExplained) {
  Problem problem;
  problem.jobs = {job("j", 2, 16)};
  EXPECT_TRUE(explain(problem, search_fast(problem).placement, 0).no_machines);
  EXPECT_TRUE(search_exact(problem).proven);
  problem.machines = {machine("m0", 8), machine("m1", 4)};
  const auto why = explain(problem, search_fast(problem).placement, 0);
  EXPECT_TRUE(why.impossible);
  EXPECT_EQ(why.reasons, std::vector<Reason>{Reason::cpus});
}

TEST(Solver, TheOptimumOnFortyIdenticalMachinesIsProven) {
  Problem problem;
  for (int i = 0; i < 40; ++i) problem.machines.push_back(machine(numbered("m", i), 4));
  for (int i = 0; i < 6; ++i) problem.jobs.push_back(job(numbered("j", i), 3, i % 2 ? 3 : 1));
  const auto exact = search_exact(problem);
  EXPECT_TRUE(exact.proven);
  EXPECT_EQ(exact.best.score.machines, 9);
}

TEST(Solver, AnInterruptedExactSearchReturnsAValidBound) {
  std::mt19937_64 random(4);
  for (int i = 0; i < 20; ++i) {
    const auto problem = generate(random);
    const auto stopped = search_exact(problem, 3);
    const auto whole = search_exact(problem);
    if (!whole.proven) continue;
    EXPECT_FALSE(whole.best.score.better_than(stopped.bound));
    EXPECT_FALSE(stopped.best.score.better_than(whole.best.score));
  }
}

TEST(CaseFile, WrittenCasesAreReadBackAndErrorsNameTheField) {
  std::mt19937_64 random(5);
  for (int i = 0; i < 50; ++i) {
    const auto problem = generate(random);
    const auto text = config::case_text(problem);
    const auto again = config::parse_case(text);
    EXPECT_EQ(config::case_text(again), text);
    EXPECT_EQ(search_fast(again).score, search_fast(problem).score);
  }
  const auto refused = [](const std::string& text, const std::string& part) {
    try {
      config::parse_case(text);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const config::SettingsError& problem) {
      EXPECT_NE(std::string(problem.what()).find(part), std::string::npos) << problem.what();
    }
  };
  refused("machines: []", "required");
  refused("machines:\n  - {id: m, cpus: 4}\njobs:\n  - {id: j, cpus: -1}\n",
          "line 4: /jobs/0/cpus");
  refused("machines: []\njobs:\n  - {id: j, cpus: 1, colour: red}\n", "line 3");
  refused("machines: []\njobs: [{id: j, cpus: \"1\"}]", "wrong type");
  refused("machines: [{id: m, cpus: 1}, {id: m, cpus: 1}]\njobs: []", "m is defined twice");
  refused("machines: [{id: m, cpus: 1}]\njobs: [{id: j, cpus: 2, running: {m: 1}}]",
          "too few cpus");
  refused("machines: [{id: m, cpus: 1}]\njobs: [{id: j, cpus: 2, running: {n: 1}}]",
          "no machine n");
  refused("machines: [", "not YAML");
}

}  // namespace
}  // namespace violetpulley::solver
