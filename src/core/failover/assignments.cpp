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

// The assignment ends: nothing of it is on the machine any more.
void Assignments::drop(Machine& machine, const TaskKey& key, TimePoint now, bool stored) {
  const auto assignment = machine.tasks.find(key);
  if (assignment == machine.tasks.end()) return;
  fleet_.before_change(machine);
  const auto found = jobs_.find(key.job);
  if (found != jobs_.end()) jobs_.before_change(found->second);
  if (assignment->second.running_since && !assignment->second.orphaned && found != jobs_.end()) {
    auto& job = found->second;
    if (job.running > 0) --job.running;
    // What a restart need not repeat. Tasks of a gang save together.
    auto& saved = job.tasks[job.gang() ? 0 : key.index].saved;
    const auto until = assignment->second.stop_since.value_or(now);
    const Seconds ran =
        assignment->second.saved + Seconds(until - *assignment->second.running_since);
    const auto mark = job.spec().checkpoint_every;
    if (stored)
      saved = std::max(saved, ran);
    else if (mark > Seconds(0))
      saved = std::max(saved, mark * std::floor(ran / mark));
  }
  fleet_.unassign(machine, key);
}

void Assignments::unseen(Machine& machine, const TaskKey& key, TimePoint now) {
  auto assignment = machine.tasks.at(key);
  drop(machine, key, now);
  assignment.seen = false;
  assignment.state = TaskState::fetching;
  assignment.running_since.reset();
  assignment.placed = now;
  fleet_.assign(machine, key, std::move(assignment));
}

void Assignments::lost(const TaskKey& key) {
  const auto found = jobs_.find(key.job);
  if (found == jobs_.end() || key.index >= found->second.tasks.size()) return;
  jobs_.before_change(found->second);
  found->second.set_waiting(key.index);
  if (found->second.gang()) jobs_.note_broken(key.job);
  out_.want_placing();
}

void Assignments::lose_all(Machine& machine, TimePoint now) {
  while (!machine.tasks.empty()) {
    const auto key = machine.tasks.begin()->first;
    const bool orphaned = machine.tasks.begin()->second.orphaned;
    drop(machine, key, now);
    if (!orphaned) lost(key);
  }
  fleet_.before_change(machine);
  machine.task_statuses.clear();
  recovery_.update_unknown_tasks(machine, now);
}

void Assignments::mark_running(Assignment& assignment, Job* job, TimePoint now) {
  assignment.running_since = now;
  if (job == nullptr || assignment.orphaned) return;
  jobs_.before_change(*job);
  ++job->running;
}

}  // namespace violetpulley::core
