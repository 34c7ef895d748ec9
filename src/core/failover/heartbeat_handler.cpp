#include "core/failover/heartbeat_handler.hpp"

#include <algorithm>

namespace violetpulley::core {

using std::chrono::milliseconds;

namespace {
constexpr milliseconds kCommandRetry{1000};
constexpr milliseconds kAskRetry{100};
constexpr Seconds kFirstPause{2};
}  // namespace

void HeartbeatHandler::handle(const Heartbeat& heartbeat, HeartbeatSource said, TimePoint now) {
  if (heartbeat.token > token_) {
    out_.push_back(Resign{"worker " + heartbeat.machine + " has seen a higher token", false});
    return;
  }
  auto* known = fleet_.find(heartbeat.machine);
  if (known == nullptr) {
    // A machine that was released may still have a report on its way, or a copy of one.
    if (registry_.was_released(heartbeat.machine)) return;
    known = &fleet_.add(heartbeat.machine);
    known->since = now;
    reconciler_.count(&ReconciliationStats::unregistered);
  }
  auto& machine = *known;
  if (std::pair(heartbeat.epoch, heartbeat.heartbeat_sequence) <=
      std::pair(machine.epoch, machine.heartbeat_sequence))
    return reconciler_.count(&ReconciliationStats::late);
  if (machine.epoch != 0 && heartbeat.epoch > machine.epoch) {
    reconciler_.count(&ReconciliationStats::new_sessions);
    assignments_.lose_all(machine, now);
    failure_detector_.agent_restarted(machine);
  }
  fleet_.before_change(machine);
  if (heartbeat.epoch > machine.epoch) machine.in_doubt_attempts.clear();
  const bool first = !machine.up();
  machine.epoch = heartbeat.epoch;
  machine.heartbeat_sequence = heartbeat.heartbeat_sequence;
  failure_detector_.record_heartbeat(machine, said, now);
  const bool moved = machine.type != heartbeat.type || machine.zone != heartbeat.zone ||
                     machine.spot != heartbeat.spot;
  if (machine.registered && machine.endpoint != heartbeat.endpoint) machine.registered = false;
  machine.endpoint = heartbeat.endpoint;
  if (first || moved) {
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    catalog_.apply(machine);
  }
  if (first) {
    machine.up_since = now;
    commands_.mark_due(machine);
  }
  if (heartbeat.token == token_ && !machine.confirmed) {
    machine.confirmed = true;
    failure_detector_.record_acknowledgement(machine, now);  // our token did
    recovery_.confirm(machine.id);
    out_.want_placing();
  }
  // One that nobody waits for and that does not know us may be the copy of a report of a machine
  // that an older leader returned: neither a place for work, nor one that the next leader should
  // wait for, nor one that what it lists is on. Until it answers, only what ended is believed.
  const bool known_truth = machine.confirmed || recovery_.is_unconfirmed(machine.id);
  if (machine.confirmed && !machine.registered && !machine.registering) registry_.save(machine);
  if (heartbeat.notice && !machine.notice_ends) {
    machine.notice_ends = now + to_duration(*heartbeat.notice);
    for (auto& [key, assignment] : machine.tasks)
      if (now + to_duration(remaining_of(assignment, now)) > *machine.notice_ends)
        commands_.stop_with_checkpoint(machine, key, assignment, *heartbeat.notice, now);
    out_.want_placing();
  }

  machine.task_statuses = heartbeat.tasks;
  std::vector<Attempt> listed;  // an attempt's number belongs to one task only
  for (const auto& entry : heartbeat.tasks) listed.push_back(entry.attempt);
  std::sort(listed.begin(), listed.end());
  // What was seen and is listed no more is gone. What was never seen may still be started by a
  // command on its way (docs/safety.md, "One copy of a task", 5). It goes before the list is taken
  // in: a task may be here under a later attempt, of which a report that was held on its way and
  // came first after a takeover could not know (found by seed 400 of Committing: ran_twice).
  std::vector<TaskKey> gone;
  for (const auto& [key, assignment] : machine.tasks)
    if (assignment.seen && !std::binary_search(listed.begin(), listed.end(), assignment.attempt))
      gone.push_back(key);
  for (const auto& key : gone) {
    // A machine that came back without its tasks may yet be sent a start that was held on its way,
    // and would run it anew. So it is started there again, where that start has no effect then.
    if (machine.in_doubt_attempts.contains(machine.tasks.at(key).attempt)) {
      assignments_.unseen(machine, key, now);
      continue;
    }
    const bool orphaned = machine.tasks.at(key).orphaned;
    assignments_.drop(machine, key, now);
    if (!orphaned) assignments_.lost(key);
    out_.want_placing();
  }
  for (const auto& entry : heartbeat.tasks)
    if (known_truth || entry.state == TaskState::exited) update_assignment(machine, entry, now);
  if (known_truth) recovery_.update_unknown_tasks(machine, now);
}

void HeartbeatHandler::update_assignment(Machine& machine, const TaskStatus& entry, TimePoint now) {
  const auto found = machine.tasks.find(entry.task);
  if (found == machine.tasks.end() || found->second.attempt != entry.attempt)
    return adopt(machine, entry, now);
  auto& assignment = found->second;
  if (!assignment.seen) failure_detector_.record_acknowledgement(machine, now);  // its start did
  assignment.seen = true;
  if (entry.state == TaskState::exited) return handle_task_exit(machine, entry, now);
  assignment.state = entry.state;
  if (entry.state == TaskState::running && !assignment.running_since) {
    const auto found_job = jobs_.find(entry.task.job);
    auto* job = found_job == jobs_.end() ? nullptr : &found_job->second;
    assignments_.mark_running(assignment, job, now);
    if (job != nullptr) fleet_.touch_image(machine, assignment.image, job->spec().image_gb, true);
  }
}

void HeartbeatHandler::adopt(Machine& machine, const TaskStatus& entry, TimePoint now) {
  const auto found = jobs_.find(entry.task.job);
  if (found == jobs_.end() || entry.task.index >= found->second.tasks.size())
    return reconciler_.count(&ReconciliationStats::of_no_job);
  auto& job = found->second;
  jobs_.before_change(job);
  auto& task = job.tasks[entry.task.index];
  if (entry.state == TaskState::exited) {
    if (entry.cause == ExitCause::done && task.phase == Phase::waiting && !job.service()) {
      reconciler_.count(&ReconciliationStats::ended);
      if (job.gang()) return gang_scheduler_.done(job);
      jobs_.task_done(job, entry.task.index);
      jobs_.progress_changed(job, entry.task.index);
    }
    return;
  }
  // A second copy: commands_for stops it.
  if (task.phase != Phase::waiting)
    return reconciler_.count(task.phase == Phase::done ? &ReconciliationStats::stored_done
                                                       : &ReconciliationStats::second_copies);
  reconciler_.count(&ReconciliationStats::adopted);
  auto assignment = assignment_of(job.spec(), entry.attempt,
                                  forecaster_.estimate_left(job, entry.task.index), now);
  assignment.state = entry.state;
  assignment.seen = true;
  if (entry.state == TaskState::running) {
    assignments_.mark_running(assignment, &job, now);
    fleet_.touch_image(machine, assignment.image, job.spec().image_gb, true);
  }
  fleet_.assign(machine, entry.task, std::move(assignment));
  job.set_assigned(entry.task.index, machine.id);
  // Two attempts of one gang: both end, then it starts anew.
  if (job.gang() && job.attempt != 0 && job.attempt != entry.attempt) {
    jobs_.note_broken(entry.task.job);
    job.attempt = std::max(job.attempt, entry.attempt);
  } else if (job.gang()) {
    job.attempt = entry.attempt;
    if (!recovery_.recovering()) jobs_.note_broken(entry.task.job);  // it was held to be gone
  }
}

void HeartbeatHandler::handle_task_exit(Machine& machine, const TaskStatus& entry, TimePoint now) {
  const auto assignment = machine.tasks.at(entry.task);
  assignments_.drop(machine, entry.task, now, entry.stored);
  out_.want_placing();
  const auto found = jobs_.find(entry.task.job);
  if (found == jobs_.end()) return;
  auto& job = found->second;
  jobs_.before_change(job);
  const auto index = entry.task.index;
  if (entry.cause == ExitCause::done && job.service()) {
    // A replica runs until its job is cancelled; one that ends by itself is replaced, with a pause.
    job.set_waiting(index);
    job.backoff_until = std::max(job.backoff_until, now + std::chrono::seconds(1));
    return;
  }
  if (entry.cause == ExitCause::done) {
    if (assignment.running_since && !assignment.stop)
      estimator_.record_run_time(job.spec(),
                                 assignment.saved + Seconds(now - *assignment.running_since));
    fleet_.touch_image(machine, assignment.image, job.spec().image_gb, true);
    machine.errors = 0;
    machine.error_jobs.clear();
    if (job.gang()) return gang_scheduler_.done(job);
    jobs_.task_done(job, index);
    jobs_.progress_changed(job, index);
    return;
  }
  job.set_waiting(index);
  if (job.gang()) jobs_.note_broken(entry.task.job);
  if (entry.cause == ExitCause::error) task_failed(machine, job, now);
  if (entry.cause == ExitCause::unknown || entry.cause == ExitCause::no_capacity ||
      entry.cause == ExitCause::busy)
    job.backoff_until = std::max(job.backoff_until, now + std::chrono::seconds(1));
}

void HeartbeatHandler::task_failed(Machine& machine, Job& job, TimePoint now) {
  ++job.failures;
  job.failed_on.insert(machine.id);
  job.last_failure = now;
  // A job that fails on machine after machine was submitted with a mistake: it must neither be
  // tried without pause nor bring healthy machines into quarantine.
  if (job.done == 0 && job.failed_on.size() >= 3) {
    if (job.waiting.size() == job.tasks.size()) return all_failed(job, now);
    const int doublings = std::min(static_cast<int>(job.failed_on.size()) - 2, 6);
    job.backoff_until = now + std::chrono::seconds(1L << doublings);
    return;
  }
  ++machine.errors;
  machine.error_jobs.insert(job.spec().id);
  const bool several = machine.errors >= settings_.tuning.quarantine_errors;
  if (several && (machine.error_jobs.size() >= 2 || job.done > 0)) machine.quarantined = true;
}

// The pause grows with each try, of one task by then: with all of them each try cost as much as the
// first.
void HeartbeatHandler::all_failed(Job& job, TimePoint now) {
  const auto pause = std::clamp(job.pause * 2, kFirstPause, kLongestPause);
  if (pause > job.pause) out_.push_back(JobSuspected{job.spec().id, job.failed_on.size(), pause});
  job.suspected = true;
  job.pause = pause;
  job.backoff_until = now + to_duration(pause);
}

void HeartbeatHandler::commands_answered(const MachineId& id, const Heartbeat* answer,
                                         TimePoint now) {
  auto* machine = fleet_.find(id);
  if (machine == nullptr) return;
  commands_.record_outcome(*machine, answer != nullptr, now);
  if (answer == nullptr) {
    failure_detector_.record_missed_response(*machine, machine->commands_sent_at);
    machine->in_doubt_attempts.insert(machine->starts_in_flight.begin(),
                                      machine->starts_in_flight.end());
    // One that is waited for is asked once more at once, so that a lost packet is told from a dead
    // machine.
    const bool first = machine->unanswered_commands == 1 && recovery_.is_unconfirmed(id);
    machine->next_commands_at = now + (first ? kAskRetry : kCommandRetry);
    commands_.mark_due(*machine);
    return;
  }
  const bool was_confirmed = machine->confirmed;
  handle(*answer, HeartbeatSource::answer, now);
  machine = fleet_.find(id);
  if (machine == nullptr) return;
  // It came back on the connection that we opened. An answer that a later report has overtaken
  // shows the same.
  failure_detector_.record_acknowledgement(*machine, now);
  out_.want_placing();
  if (!machine->confirmed) {
    machine->next_commands_at = now + milliseconds(50);
    commands_.mark_due(*machine);
    return;
  }
  const auto left = commands_.commands_for(*machine, IncludeStarts::yes);
  const bool urgent = std::any_of(left.begin(), left.end(), [](const Command& c) {
    return c.type != CommandType::acknowledge;
  });
  if (urgent) {
    commands_.mark_due(*machine);
    machine->next_commands_at = was_confirmed ? now + milliseconds(500) : now;
  }
}

}  // namespace violetpulley::core
