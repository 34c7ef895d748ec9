/// @file
/// Applies heartbeats and command responses of agents to the fleet and to the jobs.
#include "core/failover/heartbeat_handler.hpp"

#include <algorithm>
#include <string_view>

namespace violetpulley::core {

using std::chrono::milliseconds;

namespace {
constexpr milliseconds kCommandRetryDelay{1000};        // after a batch without a response
constexpr milliseconds kFirstQueryRetryDelay{100};      // after the first query without a response
constexpr milliseconds kUnconfirmedRetryDelay{50};      // after a response without our token
constexpr milliseconds kPendingCommandRetryDelay{500};  // if the response left commands pending

// An attempt that a heartbeat lists. Refers to the task's key instead of copying it, as the
// attempts are sorted for each heartbeat. The tasks of a gang share their attempt.
struct ListedAttempt {
  Attempt attempt;
  std::string_view job;
  TaskIndex index;

  ListedAttempt(Attempt of, const TaskKey& task) : attempt(of), job(task.job), index(task.index) {}
  friend auto operator<=>(const ListedAttempt&, const ListedAttempt&) = default;
};
}  // namespace

void HeartbeatHandler::handle(const Heartbeat& heartbeat, HeartbeatSource source, TimePoint now) {
  if (!tokens_.is_known(heartbeat.token)) {
    out_.push_back(Resign{"worker " + heartbeat.machine + " has seen a higher token", false});
    return;
  }
  auto* known = find_or_add(heartbeat.machine, now);
  if (known == nullptr) return;
  auto& machine = *known;
  if (is_stale(heartbeat, machine))
    return reconciler_.count(&ReconciliationStats::stale_heartbeats);
  update_epoch(machine, heartbeat, now);
  failure_detector_.record_heartbeat(machine, source, now);
  update_identity(machine, heartbeat, now);
  record_token(machine, heartbeat);
  if (heartbeat.token >= token_ && !machine.confirmed) confirm(machine, now);
  // A machine that is neither recorded as unconfirmed nor confirmed may be known only from a
  // delayed copy of a heartbeat that was sent before a former leader returned the machine. Until
  // the machine answers, no task starts there, it is not registered (the next leader would wait for
  // it), and only the exits in its task list are applied.
  const bool is_list_trusted = machine.confirmed || recovery_.is_unconfirmed(machine.id);
  if (machine.confirmed && !machine.registered && !machine.registering) registry_.save(machine);
  if (heartbeat.notice && !machine.notice_ends)
    accept_reclaim_notice(machine, *heartbeat.notice, now);
  machine.task_statuses = heartbeat.tasks;
  remove_missing_tasks(machine, heartbeat.tasks, now);
  apply_statuses(machine, heartbeat.tasks, is_list_trusted, now);
  release_fenced_attempts(machine);
  fence_forgotten_attempts(machine, now);
  if (tokens_.fence_request(machine.id) != nullptr) commands_.mark_due(machine);
  if (source == HeartbeatSource::periodic) commands_.prepare_response(machine);
}

void HeartbeatHandler::record_token(Machine& machine, const Heartbeat& heartbeat) {
  const auto sent = tokens_.of(machine.id);
  const auto shown = tokens_.record_heartbeat(machine.id, heartbeat.token);
  if (shown != ShownToken::expected) audit_.token_shown({machine.id, heartbeat.token, sent, shown});
  if (shown == ShownToken::lower) commands_.mark_due(machine);
  const auto is_fenced = [&](Attempt attempt) {
    return !tokens_.may_run_again(machine.id, attempt);
  };
  if (!tokens_.enabled() || machine.in_doubt_attempts.empty()) return;
  fleet_.before_change(machine);
  std::erase_if(machine.in_doubt_attempts, is_fenced);
}

void HeartbeatHandler::release_fenced_attempts(Machine& machine) {
  if (!tokens_.enabled()) return;
  const auto& statuses = machine.task_statuses;
  const auto is_over = [&](const TaskKey& task, const EndedAttempt& ended) {
    const auto runs = [&](const TaskStatus& status) {
      return status.task == task && status.attempt == ended.attempt &&
             status.state != TaskState::exited;
    };
    return !tokens_.may_run_again(machine.id, ended.attempt) &&
           std::none_of(statuses.begin(), statuses.end(), runs);
  };
  for (const auto& task : ended_attempts_.remove_if(machine.id, is_over))
    assignments_.requeue(task, EndProof::fenced);
}

void HeartbeatHandler::fence_forgotten_attempts(const Machine& machine, TimePoint now) {
  const auto* unfenced = tokens_.unfenced(machine.id);
  if (unfenced == nullptr) return;
  std::set<Attempt> remembered;
  for (const auto& status : machine.task_statuses) remembered.insert(status.attempt);
  for (const auto& [key, assignment] : machine.tasks) remembered.insert(assignment.attempt);
  std::vector<Attempt> forgotten;
  for (const auto& [attempt, token] : *unfenced)
    if (!remembered.contains(attempt)) forgotten.push_back(attempt);
  for (const auto attempt : forgotten) tokens_.request_fence(machine.id, attempt, now);
}

void HeartbeatHandler::apply_statuses(Machine& machine, const std::vector<TaskStatus>& statuses,
                                      bool is_list_trusted, TimePoint now) {
  UnassignedCopies::OfMachine copies;
  for (const auto& status : statuses)
    if (is_list_trusted || status.state == TaskState::exited)
      update_assignment(machine, status, copies, now);
  if (is_list_trusted) recovery_.update_unassigned_copies(machine, std::move(copies), now);
}

Machine* HeartbeatHandler::find_or_add(const MachineId& id, TimePoint now) {
  if (auto* machine = fleet_.find(id)) return machine;
  // A heartbeat of a returned machine, or a delayed copy of one, may still arrive.
  if (registry_.was_released(id)) return nullptr;
  auto& machine = fleet_.add(id);
  machine.requested_at = now;
  reconciler_.count(&ReconciliationStats::unregistered);
  return &machine;
}

bool HeartbeatHandler::is_stale(const Heartbeat& heartbeat, const Machine& machine) {
  return std::pair(heartbeat.epoch, heartbeat.heartbeat_sequence) <=
         std::pair(machine.epoch, machine.heartbeat_sequence);
}

void HeartbeatHandler::update_epoch(Machine& machine, const Heartbeat& heartbeat, TimePoint now) {
  if (machine.epoch != 0 && heartbeat.epoch > machine.epoch) {
    reconciler_.count(&ReconciliationStats::new_epochs);
    assignments_.requeue_all(machine, EndProof::epoch_grown, now);
    failure_detector_.agent_restarted(machine);
    tokens_.epoch_grown(machine.id);
  }
  fleet_.before_change(machine);
  if (heartbeat.epoch > machine.epoch) machine.in_doubt_attempts.clear();
  machine.epoch = heartbeat.epoch;
  machine.heartbeat_sequence = heartbeat.heartbeat_sequence;
}

void HeartbeatHandler::update_identity(Machine& machine, const Heartbeat& heartbeat,
                                       TimePoint now) {
  const bool is_first_heartbeat = !machine.up();
  const bool offering_changed = machine.type != heartbeat.type || machine.zone != heartbeat.zone ||
                                machine.spot != heartbeat.spot;
  if (machine.registered && machine.endpoint != heartbeat.endpoint) machine.registered = false;
  machine.endpoint = heartbeat.endpoint;
  if (is_first_heartbeat || offering_changed) {
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    catalog_.apply(machine);
  }
  if (is_first_heartbeat) {
    machine.up_since = now;
    commands_.mark_due(machine);
  }
}

void HeartbeatHandler::confirm(Machine& machine, TimePoint now) {
  machine.confirmed = true;
  // The agent knows our fencing token, so a message of this leader has reached the agent.
  failure_detector_.record_acknowledgement(machine, now);
  recovery_.confirm(machine.id);
  out_.request_scheduling_round();
}

void HeartbeatHandler::accept_reclaim_notice(Machine& machine, Seconds notice, TimePoint now) {
  machine.notice_ends = now + to_duration(notice);
  for (auto& [key, assignment] : machine.tasks)
    if (now + to_duration(remaining_of(assignment, now)) > *machine.notice_ends)
      commands_.stop_with_checkpoint(machine, key, assignment, notice, now);
  out_.request_scheduling_round();
}

// A task that was listed before and is no longer listed has ended. A task that was never listed may
// still be started by a command in transit (docs/safety.md, "One copy of a task", 5). Missing tasks
// are removed before the list is applied, because the list may contain the same task under a later
// attempt: if the first heartbeat after a failover is a delayed one, it lists only the earlier
// attempt. With the reverse order the later attempt was taken for lost, and the task ran twice.
void HeartbeatHandler::remove_missing_tasks(Machine& machine,
                                            const std::vector<TaskStatus>& statuses,
                                            TimePoint now) {
  std::vector<ListedAttempt> listed;
  for (const auto& status : statuses) listed.emplace_back(status.attempt, status.task);
  std::sort(listed.begin(), listed.end());
  std::vector<TaskKey> missing;
  for (const auto& [key, assignment] : machine.tasks)
    if (assignment.reported &&
        !std::binary_search(listed.begin(), listed.end(), ListedAttempt(assignment.attempt, key)))
      missing.push_back(key);
  if (missing.empty()) return;
  out_.push_back(MachineLostTasks{machine.id, machine.epoch, missing.size()});
  for (const auto& key : missing) remove_missing_task(machine, key, now);
}

void HeartbeatHandler::remove_missing_task(Machine& machine, const TaskKey& key, TimePoint now) {
  // A copy of the start may still reach the machine that has lost this task and run it again. So
  // the task is held until the agent has seen a higher token. Without tokens that can be raised,
  // the same attempt is started there again, after which the copy has no effect, unless the task is
  // done: it must not start again.
  const bool orphaned = machine.tasks.at(key).orphaned;
  const auto attempt = machine.tasks.at(key).attempt;
  const bool may_run_again = tokens_.enabled() ? tokens_.may_run_again(machine.id, attempt)
                                               : machine.in_doubt_attempts.contains(attempt);
  if (may_run_again) {
    if (!orphaned && is_done(key)) return task_exits_.handle_loss_of_done_task(machine, key, now);
    if (tokens_.enabled()) return task_exits_.handle_loss_of_unfenced_task(machine, key, now);
    return assignments_.reset_to_unreported(machine, key, now);
  }
  assignments_.drop(machine, key, now);
  const auto proof = tokens_.enabled() ? EndProof::fenced : EndProof::listed;
  audit_.attempt_ended(key, {machine.id, attempt, ExitCause::none, now, proof});
  if (!orphaned) assignments_.requeue(key, proof);
  out_.request_scheduling_round();
}

// A job that is closed, and whose tasks were not orphaned, has completed.
bool HeartbeatHandler::is_done(const TaskKey& key) const {
  const auto found = jobs_.find(key.job);
  return found == jobs_.end() || found->second.tasks[key.index].phase == Phase::done;
}

void HeartbeatHandler::update_assignment(Machine& machine, const TaskStatus& status,
                                         UnassignedCopies::OfMachine& copies, TimePoint now) {
  const auto found = machine.tasks.find(status.task);
  if (found == machine.tasks.end() || found->second.attempt != status.attempt)
    return reconcile_unassigned_task(machine, status, copies, now);
  auto& assignment = found->second;
  // The first listing shows that the start command has arrived.
  if (!assignment.reported) failure_detector_.record_acknowledgement(machine, now);
  assignment.reported = true;
  if (status.state == TaskState::exited) return task_exits_.handle(machine, status, now);
  assignment.state = status.state;
  if (status.state == TaskState::running && !assignment.running_since) {
    const auto found_job = jobs_.find(status.task.job);
    auto* job = found_job == jobs_.end() ? nullptr : &found_job->second;
    assignments_.mark_running(assignment, job, now);
    if (job != nullptr) fleet_.touch_image(machine, assignment.image, job->spec().image_gb, true);
  }
}

void HeartbeatHandler::reconcile_unassigned_task(Machine& machine, const TaskStatus& status,
                                                 UnassignedCopies::OfMachine& copies,
                                                 TimePoint now) {
  const bool is_live = status.state != TaskState::exited;
  if (is_live) audit_.unassigned_listed(machine.id, status, now);
  const auto found = jobs_.find(status.task.job);
  if (found == jobs_.end() || status.task.index >= found->second.tasks.size()) {
    if (is_live) copies.emplace(status.task, CopyState::live);
    return reconciler_.count(&ReconciliationStats::unknown_job);
  }
  auto& job = found->second;
  jobs_.before_change(job);
  const auto phase = job.tasks[status.task.index].phase;
  if (!is_live) return reconcile_exited_task(job, status, copies, now);
  // CommandDispatcher::commands_for stops a copy that has no assignment. Until it has ended, the
  // task must not start again: the task's assignment may follow from a delayed heartbeat, and end
  // with the machine's next heartbeat.
  if (phase != Phase::waiting) {
    copies.emplace(status.task, CopyState::live);
    return reconciler_.count(phase == Phase::done ? &ReconciliationStats::stored_done
                                                  : &ReconciliationStats::duplicate_copies);
  }
  reconciler_.count(&ReconciliationStats::adopted);
  adopt_task(machine, job, status, now);
}

void HeartbeatHandler::reconcile_exited_task(Job& job, const TaskStatus& status,
                                             UnassignedCopies::OfMachine& copies, TimePoint now) {
  if (status.cause != ExitCause::done || job.service()) return;
  const auto phase = job.tasks[status.task.index].phase;
  if (phase == Phase::assigned) copies.emplace(status.task, CopyState::done);
  if (phase != Phase::waiting) return;
  reconciler_.count(&ReconciliationStats::done_unrecorded);
  task_exits_.record_done(job, status.task.index, now);
}

void HeartbeatHandler::adopt_task(Machine& machine, Job& job, const TaskStatus& status,
                                  TimePoint now) {
  auto assignment = assignment_of(job.spec(), status.attempt,
                                  forecaster_.remaining_estimate(job, status.task.index), now);
  assignment.state = status.state;
  assignment.reported = true;
  if (status.state == TaskState::running) {
    assignments_.mark_running(assignment, &job, now);
    fleet_.touch_image(machine, assignment.image, job.spec().image_gb, true);
  }
  fleet_.assign(machine, status.task, std::move(assignment));
  job.set_assigned(status.task.index, machine.id);
  if (!job.gang()) return;
  if (job.attempt != 0 && job.attempt != status.attempt) {
    // Machines list two attempts of the gang: both are stopped, then the gang is started again.
    jobs_.mark_gang_broken(status.task.job);
    job.attempt = std::max(job.attempt, status.attempt);
    return;
  }
  job.attempt = status.attempt;
  // After the recovery, tasks that no machine has listed count as ended: the gang is incomplete.
  if (!recovery_.recovering()) jobs_.mark_gang_broken(status.task.job);
}

void HeartbeatHandler::commands_answered(const MachineId& id, const Heartbeat* response,
                                         TimePoint now) {
  auto* machine = fleet_.find(id);
  if (machine == nullptr) return;
  commands_.record_outcome(*machine, response != nullptr, now);
  if (response == nullptr) return handle_missed_response(*machine, now);
  const bool was_confirmed = machine->confirmed;
  handle(*response, HeartbeatSource::command_response, now);
  machine = fleet_.find(id);
  if (machine == nullptr) return;
  // The response shows that our connection reached the agent, even if the response is older than
  // the newest heartbeat.
  failure_detector_.record_acknowledgement(*machine, now);
  out_.request_scheduling_round();
  schedule_next_commands(*machine, was_confirmed, now);
}

void HeartbeatHandler::handle_missed_response(Machine& machine, TimePoint now) {
  failure_detector_.record_missed_response(machine, machine.commands_sent_at);
  machine.in_doubt_attempts.insert(machine.starts_in_flight.begin(),
                                   machine.starts_in_flight.end());
  // An unconfirmed machine is queried a second time without the usual delay, to tell a lost packet
  // from a dead machine.
  const bool is_first_query =
      machine.unanswered_commands == 1 && recovery_.is_unconfirmed(machine.id);
  machine.next_commands_at = now + (is_first_query ? kFirstQueryRetryDelay : kCommandRetryDelay);
  commands_.mark_due(machine);
}

void HeartbeatHandler::schedule_next_commands(Machine& machine, bool was_confirmed, TimePoint now) {
  if (!machine.confirmed) {
    machine.next_commands_at = now + kUnconfirmedRetryDelay;
    commands_.mark_due(machine);
    return;
  }
  const auto pending = commands_.commands_for(machine, IncludeStarts::yes);
  const bool is_urgent = std::any_of(pending.begin(), pending.end(), [](const Command& command) {
    return command.type != CommandType::acknowledge;
  });
  if (!is_urgent) return;
  commands_.mark_due(machine);
  machine.next_commands_at = was_confirmed ? now + kPendingCommandRetryDelay : now;
}

}  // namespace violetpulley::core
