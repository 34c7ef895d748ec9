#include "core/learned_state_handover.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {

Seconds time_until(TimePoint until, TimePoint now) {
  return std::max(Seconds(0), Seconds(until - now));
}

LearnedJob learned_job(const JobId& id, const Job& job, TimePoint now) {
  LearnedJob learned;
  learned.id = id;
  learned.waited = now - job.opened_at;
  for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
    const auto& task = job.tasks[index];
    if (task.checkpointed > Seconds(0) && task.phase != Phase::done)
      learned.checkpointed.push_back({index, task.checkpointed});
  }
  learned.failed_on.assign(job.failed_on.begin(), job.failed_on.end());
  learned.failures = job.failures;
  learned.backoff = time_until(job.backoff_until, now);
  return learned;
}

}  // namespace

LearnedState LearnedStateHandover::collect(TimePoint now, WallTime wall) const {
  LearnedState learned_state;
  learned_state.as_of = wall;
  learned_state.estimates = estimator_;
  learned_state.jobs = collect_jobs(now);
  learned_state.machines = collect_machines();
  learned_state.cooldowns = collect_cooldowns(now);
  return learned_state;
}

std::vector<LearnedJob> LearnedStateHandover::collect_jobs(TimePoint now) const {
  std::vector<LearnedJob> learned_jobs;
  for (const auto& [id, job] : jobs_) learned_jobs.push_back(learned_job(id, job, now));
  std::sort(learned_jobs.begin(), learned_jobs.end(),
            [](const LearnedJob& a, const LearnedJob& b) { return a.id < b.id; });
  return learned_jobs;
}

std::vector<LearnedMachine> LearnedStateHandover::collect_machines() const {
  std::vector<LearnedMachine> learned_machines;
  for (const auto& [id, machine] : fleet_.all()) {
    if (machine.errors <= 0 && !machine.quarantined) continue;
    learned_machines.push_back({id,
                                machine.errors,
                                {machine.error_jobs.begin(), machine.error_jobs.end()},
                                machine.quarantined});
  }
  return learned_machines;
}

std::vector<OfferingCooldown> LearnedStateHandover::collect_cooldowns(TimePoint now) const {
  std::vector<OfferingCooldown> cooldowns;
  for (const auto& [offering, until] : offerings_.cooldowns())
    if (until > now) cooldowns.push_back({offering, time_until(until, now)});
  return cooldowns;
}

void LearnedStateHandover::apply(const LearnedState& learned_state, TimePoint now) {
  const auto elapsed = learned_state.elapsed(settings_.wall_at_start);
  estimator_ = learned_state.estimates;
  for (const auto& learned : learned_state.jobs) {
    const auto found = jobs_.find(learned.id);
    if (found != jobs_.end()) apply_to_job(learned, found->second, elapsed, now);
  }
  for (const auto& learned : learned_state.machines)
    if (auto* machine = fleet_.find(learned.id)) apply_to_machine(learned, *machine);
  for (const auto& cooldown : learned_state.cooldowns) apply_cooldown(cooldown, elapsed, now);
}

void LearnedStateHandover::apply_to_job(const LearnedJob& learned, Job& job, Seconds elapsed,
                                        TimePoint now) const {
  const auto max_age =
      std::max(Seconds(0), Seconds(settings_.wall_at_start - job.record.submitted));
  const auto age = std::clamp(learned.waited + elapsed, Seconds(0), max_age);
  job.opened_at = now - to_duration(age);
  for (const auto& [index, checkpointed] : learned.checkpointed)
    if (index < job.tasks.size() && checkpointed > Seconds(0))
      job.tasks[index].checkpointed = checkpointed;
  job.failed_on.insert(learned.failed_on.begin(), learned.failed_on.end());
  job.failures = learned.failures;
  if (!learned.failed_on.empty()) job.last_failure = now;
  const auto backoff = std::clamp(learned.backoff - elapsed, Seconds(0), kMaxFailureBackoff);
  job.backoff_until = now + to_duration(backoff);
}

void LearnedStateHandover::apply_to_machine(const LearnedMachine& learned, Machine& machine) {
  machine.errors = learned.errors;
  machine.error_jobs.insert(learned.error_jobs.begin(), learned.error_jobs.end());
  machine.quarantined = learned.quarantined;
}

void LearnedStateHandover::apply_cooldown(const OfferingCooldown& cooldown, Seconds elapsed,
                                          TimePoint now) {
  const auto left = std::min(cooldown.remaining - elapsed, settings_.tuning.refused_cooldown);
  if (left > Seconds(0)) offerings_.start_cooldown(cooldown.offering, now + to_duration(left));
}

}  // namespace violetpulley::core
