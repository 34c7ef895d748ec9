/// @file
/// Effects of task exits on jobs and machines.
#include "core/failover/task_exit_handler.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::seconds kRestartDelay{1};       // of a task that ended without a failure
constexpr Seconds kInitialJobBackoff{2};               // of a suspected job
constexpr std::size_t kFaultyJobMachineThreshold = 3;  // failures on this many: job at fault
constexpr int kMaxBackoffDoublings = 6;                // of a backoff of 1 s
}  // namespace

void TaskExitHandler::handle(Machine& machine, const TaskStatus& status, TimePoint now) {
  const auto assignment = machine.tasks.at(status.task);
  assignments_.drop(machine, status.task, now, status.checkpoint_saved);
  out_.request_scheduling_round();
  const auto found = jobs_.find(status.task.job);
  if (found == jobs_.end()) {
    return handle_exit_of_closed_job(machine, status.task, assignment, now);
  }
  auto& job = found->second;
  jobs_.before_change(job);
  if (status.cause == ExitCause::done && !job.service()) {
    record_if_unfenced(machine, status.task, assignment, EndedTask::done, now);
    return handle_completion(machine, assignment, job, status.task.index, now);
  }
  audit_.attempt_ended(status.task,
                       {machine.id, status.attempt, status.cause, now, EndProof::none});
  requeue(machine, status.task, assignment, job, now);
  if (status.cause == ExitCause::done) {
    // A replica is meant to run until its job is cancelled; one that exits is restarted after a
    // delay.
    delay_restart(job, now);
    return;
  }
  if (job.gang()) jobs_.mark_gang_broken(status.task.job);
  if (status.cause == ExitCause::error) handle_failure(machine, job, now);
  if (status.cause == ExitCause::unknown || status.cause == ExitCause::no_capacity ||
      status.cause == ExitCause::busy)
    delay_restart(job, now);
}

void TaskExitHandler::handle_exit_of_closed_job(const Machine& machine, const TaskKey& key,
                                                const Assignment& assignment, TimePoint now) {
  const auto task = assignment.orphaned ? EndedTask::cancelled : EndedTask::done;
  record_if_unfenced(machine, key, assignment, task, now);
}

bool TaskExitHandler::may_run_again(const Machine& machine, const Assignment& assignment) const {
  if (!tokens_.enabled()) return machine.in_doubt_attempts.contains(assignment.attempt);
  return tokens_.may_run_again(machine.id, assignment.attempt);
}

void TaskExitHandler::record_ended(const Machine& machine, const TaskKey& key,
                                   const Assignment& assignment, EndedTask task, TimePoint now) {
  ended_attempts_.add(
      key, {machine.id, assignment.attempt, assignment.team, assignment.resources, task}, now);
}

void TaskExitHandler::record_if_unfenced(const Machine& machine, const TaskKey& key,
                                         const Assignment& assignment, EndedTask task,
                                         TimePoint now) {
  if (may_run_again(machine, assignment)) record_ended(machine, key, assignment, task, now);
}

void TaskExitHandler::handle_loss_of_done_task(Machine& machine, const TaskKey& key,
                                               TimePoint now) {
  const auto assignment = machine.tasks.at(key);
  assignments_.drop(machine, key, now);
  record_if_unfenced(machine, key, assignment, EndedTask::done, now);
}

void TaskExitHandler::handle_loss_of_unfenced_task(Machine& machine, const TaskKey& key,
                                                   TimePoint now) {
  const auto assignment = machine.tasks.at(key);
  assignments_.drop(machine, key, now);
  const auto found = jobs_.find(key.job);
  if (assignment.orphaned || found == jobs_.end())
    return record_ended(machine, key, assignment, EndedTask::cancelled, now);
  auto& job = found->second;
  jobs_.before_change(job);
  audit_.attempt_ended(key, {machine.id, assignment.attempt, ExitCause::none, now, EndProof::none});
  record_ended(machine, key, assignment, EndedTask::held, now);
  if (job.gang()) jobs_.mark_gang_broken(key.job);
}

void TaskExitHandler::requeue(Machine& machine, const TaskKey& key, const Assignment& assignment,
                              Job& job, TimePoint now) {
  if (!may_run_again(machine, assignment)) {
    audit_.end_proven(key, tokens_.enabled() ? EndProof::fenced : EndProof::listed);
    return job.set_waiting(key.index);
  }
  // The task stays assigned to its machine until a copy of its start is ruled out.
  record_ended(machine, key, assignment, EndedTask::held, now);
  if (!tokens_.enabled())
    out_.push_back(
        TaskHeld{key, machine.id, assignment.attempt, max_retiring_time(settings_.workers)});
}

void TaskExitHandler::handle_completion(Machine& machine, const Assignment& assignment, Job& job,
                                        TaskIndex index, TimePoint now) {
  if (assignment.running_since && !assignment.stop)
    estimator_.record_run_time(job.spec(),
                               assignment.checkpointed + Seconds(now - *assignment.running_since));
  fleet_.touch_image(machine, assignment.image, job.spec().image_gb, true);
  machine.errors = 0;
  machine.error_jobs.clear();
  record_done(job, index, now);
}

void TaskExitHandler::record_done(Job& job, TaskIndex index, TimePoint now) {
  if (job.gang()) return gang_scheduler_.complete_gang(job, now);
  jobs_.task_done(job, index);
  jobs_.progress_changed(job, index);
}

void TaskExitHandler::delay_restart(Job& job, TimePoint now) {
  job.backoff_until = std::max(job.backoff_until, now + kRestartDelay);
}

void TaskExitHandler::handle_failure(Machine& machine, Job& job, TimePoint now) {
  ++job.failures;
  job.failed_on.insert(machine.id);
  job.last_failure = now;
  // A job that has failed on several machines without a completed task is likely faulty itself: it
  // must neither be retried without a delay nor put healthy machines into quarantine.
  if (job.done_count == 0 && job.failed_on.size() >= kFaultyJobMachineThreshold) {
    if (all_tasks_ended(job)) return suspect_job(job, now);
    const int doublings =
        std::min(static_cast<int>(job.failed_on.size()) - 2, kMaxBackoffDoublings);
    job.backoff_until = now + std::chrono::seconds(1L << doublings);
    return;
  }
  ++machine.errors;
  machine.error_jobs.insert(job.spec().id);
  const bool has_many_errors = machine.errors >= settings_.tuning.quarantine_errors;
  if (has_many_errors && (machine.error_jobs.size() >= 2 || job.done_count > 0))
    machine.quarantined = true;
}

bool TaskExitHandler::all_tasks_ended(const Job& job) const {
  const auto held = tokens_.enabled() ? ended_attempts_.held_tasks(job.spec().id) : 0;
  return job.waiting.size() + held == job.tasks.size();
}

// The backoff doubles with each retry. A suspected job retries with a single task, as a retry of
// all tasks would cost as much as the first start.
void TaskExitHandler::suspect_job(Job& job, TimePoint now) {
  const auto backoff = std::clamp(job.failure_backoff * 2, kInitialJobBackoff, kMaxFailureBackoff);
  if (backoff > job.failure_backoff)
    out_.push_back(JobSuspected{job.spec().id, job.failed_on.size(), backoff});
  job.suspected_faulty = true;
  job.failure_backoff = backoff;
  job.backoff_until = now + to_duration(backoff);
}

}  // namespace violetpulley::core
