#include "core/scheduling/candidate_queue.hpp"

#include <algorithm>
#include <tuple>

namespace violetpulley::core {

namespace {

/// Gangs are sorted by work, so where machines are scarce small gangs come first. A gang that has
/// waited for longer than this comes first within its priority.
constexpr Seconds kGangAgingThreshold{20};

/// Whether a team's guarantee, which may be in CPUs, in GPUs or in both, covers this use.
bool covers(const Team& team, const Resources& use) {
  const bool has_guarantee = team.guaranteed_cpus > 0 || team.guaranteed_gpus > 0;
  return has_guarantee &&
         (team.guaranteed_cpus <= 0 ||
          use.cpus <= team.guaranteed_cpus + Resources::kRoundingTolerance) &&
         use.gpus <= team.guaranteed_gpus + Resources::kRoundingTolerance;
}

bool submitted_before(const Job* a, const Job* b) {
  return std::tie(a->record.submitted, a->spec().id) < std::tie(b->record.submitted, b->spec().id);
}

/// Compares by starvation, priority, aging, guarantee, deadline forecast and work, in this order
/// (docs/design.md, "Order of the queue").
bool scheduled_before(const Candidate& a, const Candidate& b) {
  const auto a_priority = a.job->spec().priority;
  const auto b_priority = b.job->spec().priority;
  if (a.starving != b.starving) return a.starving;
  if (a.starving) return a.job->record.submitted < b.job->record.submitted;
  if (a_priority != b_priority) return a_priority > b_priority;
  if (a.aged != b.aged) return a.aged;
  if (a.aged) return a.job->record.submitted < b.job->record.submitted;
  if (a.guaranteed != b.guaranteed) return a.guaranteed;
  if (a.forecast != b.forecast) return a.forecast < b.forecast;
  return a.work < b.work;
}

}  // namespace

std::vector<Job*> CandidateQueue::startable_jobs_by_age(TimePoint now) const {
  std::vector<Job*> by_age;
  for (auto& [id, job] : jobs_) {
    if (job.waiting.empty() || now < job.backoff_until) continue;
    if (task_starter_.startable_tasks(job) == 0) continue;
    by_age.push_back(&job);
  }
  std::sort(by_age.begin(), by_age.end(), submitted_before);
  return by_age;
}

Candidate CandidateQueue::make_candidate(Job& job, Resources& team_demand, bool may_prioritize,
                                         TimePoint now) const {
  const auto& spec = job.spec();
  const auto waiting = spec.per_task * static_cast<double>(job.waiting.size());
  team_demand += waiting;
  const auto team = catalog_.teams().find(spec.team);
  const double size = spec.per_task.gpus > 0 ? waiting.gpus : waiting.cpus;

  Candidate candidate;
  candidate.job = &job;
  candidate.estimate = forecaster_.remaining_estimate(job, *job.waiting.begin());
  candidate.guaranteed = team != catalog_.teams().end() && covers(team->second, team_demand);
  candidate.forecast = forecaster_.forecast(job, now);
  candidate.work = candidate.estimate.count() * size;
  candidate.aged = job.gang() ? forecaster_.age(job, now) > kGangAgingThreshold
                              : starvation_guard_.all_tasks_prioritized(job, now);
  candidate.starving = may_prioritize && starvation_guard_.starving(job, now);
  return candidate;
}

std::vector<Candidate> CandidateQueue::build(TimePoint now) const {
  std::vector<Candidate> queue;
  auto remaining_prioritized_starts = starvation_guard_.prioritized_starts_allowed();
  std::map<std::string, Resources> demand_by_team;
  for (auto* job : startable_jobs_by_age(now)) {
    const auto& team = job->spec().team;
    auto& demand = demand_by_team.try_emplace(team, fleet_.team_use(team)).first->second;
    queue.push_back(make_candidate(*job, demand, remaining_prioritized_starts > 0, now));
    if (queue.back().starving) --remaining_prioritized_starts;
  }
  std::stable_sort(queue.begin(), queue.end(), scheduled_before);
  return queue;
}

}  // namespace violetpulley::core
