/// @file
/// Updates of jobs and machines when assignments begin or end.
#include "core/failover/assignments.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::core {

Assignment assignment_of(const JobSpec& spec, Attempt attempt, Seconds estimate, TimePoint now) {
  Assignment assignment;
  assignment.attempt = attempt;
  assignment.resources = spec.per_task;
  assignment.team = spec.team;
  assignment.job_class = spec.job_class;
  assignment.image = spec.image;
  assignment.shape = spec.shape;
  assignment.estimate = estimate;
  assignment.checkpoint_every = spec.checkpoint_every;
  assignment.checkpoint_time = spec.checkpoint_time;
  assignment.placed = now;
  return assignment;
}

void Assignments::drop(Machine& machine, const TaskKey& key, TimePoint now, bool checkpoint_saved) {
  const auto assignment = machine.tasks.find(key);
  if (assignment == machine.tasks.end()) return;
  fleet_.before_change(machine);
  const auto found = jobs_.find(key.job);
  if (found != jobs_.end()) {
    jobs_.before_change(found->second);
    if (assignment->second.running_since && !assignment->second.orphaned) {
      auto& job = found->second;
      if (job.running_count > 0) --job.running_count;
      record_saved_progress(job, key, assignment->second, now, checkpoint_saved);
    }
  }
  fleet_.unassign(machine, key);
}

void Assignments::record_saved_progress(Job& job, const TaskKey& key, const Assignment& assignment,
                                        TimePoint now, bool checkpoint_saved) {
  // The tasks of a gang save their checkpoints together, recorded with task 0.
  auto& checkpointed = job.tasks[job.gang() ? 0 : key.index].checkpointed;
  const auto until = assignment.stop_since.value_or(now);
  const Seconds run_time = assignment.checkpointed + Seconds(until - *assignment.running_since);
  const auto checkpoint_every = job.spec().checkpoint_every;
  if (checkpoint_saved)
    checkpointed = std::max(checkpointed, run_time);
  else if (checkpoint_every > Seconds(0))
    checkpointed =
        std::max(checkpointed, checkpoint_every * std::floor(run_time / checkpoint_every));
}

void Assignments::reset_to_unreported(Machine& machine, const TaskKey& key, TimePoint now) {
  auto assignment = machine.tasks.at(key);
  drop(machine, key, now);
  assignment.reported = false;
  assignment.state = TaskState::fetching;
  assignment.running_since.reset();
  assignment.placed = now;
  fleet_.assign(machine, key, std::move(assignment));
}

void Assignments::requeue(const TaskKey& key, EndProof proof) {
  const auto found = jobs_.find(key.job);
  if (found == jobs_.end() || key.index >= found->second.tasks.size()) return;
  jobs_.before_change(found->second);
  audit_.end_proven(key, proof);
  found->second.set_waiting(key.index);
  if (found->second.gang()) jobs_.mark_gang_broken(key.job);
  out_.request_scheduling_round();
}

void Assignments::requeue_all(Machine& machine, EndProof proof, TimePoint now) {
  while (!machine.tasks.empty()) {
    const auto key = machine.tasks.begin()->first;
    const auto attempt = machine.tasks.begin()->second.attempt;
    const bool orphaned = machine.tasks.begin()->second.orphaned;
    drop(machine, key, now);
    if (orphaned) continue;
    audit_.attempt_ended(key, {machine.id, attempt, ExitCause::none, now, proof});
    requeue(key, proof);
  }
  for (const auto& key : ended_attempts_.clear_machine(machine.id)) requeue(key, proof);
  fleet_.before_change(machine);
  machine.task_statuses.clear();
  recovery_.clear_unassigned_copies(machine);
}

void Assignments::mark_running(Assignment& assignment, Job* job, TimePoint now) {
  assignment.running_since = now;
  if (job == nullptr || assignment.orphaned) return;
  jobs_.before_change(*job);
  ++job->running_count;
}

}  // namespace violetpulley::core
