/// @file
/// Selection, order and sending of command batches.
#include "core/dispatch/command_dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include "core/jobs/each_assignment.hpp"

namespace violetpulley::core {

namespace {

Command immediate_stop(const TaskStatus& status) {
  return {CommandType::stop, status.task, status.attempt, Seconds(0)};
}

// Whether the agent is saving a checkpoint within the grace period: a second stop would end the
// task before the checkpoint is complete.
bool is_checkpointing(const Assignment& assignment) {
  return assignment.state == TaskState::checkpointing && assignment.grace > Seconds(0);
}

}  // namespace

// A start may be carried out again at any later time, and an agent that no longer remembers the
// attempt would run the task again. So the message that lets the agent forget the attempt carries a
// token above that of the start.
bool CommandDispatcher::may_be_forgotten(const Machine& machine, Attempt attempt) const {
  if (!tokens_.enabled()) return !machine.in_doubt_attempts.contains(attempt);
  return tokens_.is_fenced_by_next_message(machine.id, attempt);
}

bool CommandDispatcher::acknowledgeable(const Machine& machine, const TaskStatus& status) const {
  if (!may_be_forgotten(machine, status.attempt)) return false;
  if (status.cause != ExitCause::done) return true;
  const auto found = jobs_.find(status.task.job);
  if (found == jobs_.end()) return true;
  const auto& job = found->second;
  if (job.service() || status.task.index >= job.tasks.size()) return true;
  return job.tasks[status.task.index].persisted;
}

bool CommandDispatcher::may_have_sent_start(const Machine& machine, const Assignment& assignment) {
  return machine.in_doubt_attempts.contains(assignment.attempt) ||
         machine.commands_sent_at >= assignment.placed;
}

bool CommandDispatcher::committed(const TaskKey& key, const Assignment& assignment) const {
  if (assignment.placement_version == 0) return true;
  const auto job = jobs_.find(key.job);
  return job != jobs_.end() &&
         assignment.placement_version <= job->second.committed_placement_version;
}

std::vector<Command> CommandDispatcher::commands_for(const Machine& machine,
                                                     IncludeStarts include_starts) const {
  std::vector<Command> commands;
  if (!machine.confirmed) {
    add_stops_of_ended_jobs(machine, commands);
    return commands;
  }
  add_acknowledgements(machine, commands);
  add_stops_of_unknown_attempts(machine, commands);
  add_starts_and_stops(machine, include_starts, commands);
  return commands;
}

// The task list of an unconfirmed machine may be out of date, but an ended job never starts again.
// The answer to the machine's heartbeat renews the lease, so that answer must carry these stops:
// otherwise a task that was cancelled under a former leader outlives `cancel_s` if the machine is
// partitioned right after the answer.
void CommandDispatcher::add_stops_of_ended_jobs(const Machine& machine,
                                                std::vector<Command>& commands) const {
  for (const auto& status : machine.task_statuses)
    if (status.state != TaskState::exited && !jobs_.table().contains(status.task.job))
      commands.push_back(immediate_stop(status));
}

void CommandDispatcher::add_acknowledgements(const Machine& machine,
                                             std::vector<Command>& commands) const {
  for (const auto& status : machine.task_statuses)
    if (status.state == TaskState::exited && acknowledgeable(machine, status))
      commands.push_back({CommandType::acknowledge, status.task, status.attempt, Seconds(0)});
}

void CommandDispatcher::add_stops_of_unknown_attempts(const Machine& machine,
                                                      std::vector<Command>& commands) {
  for (const auto& status : machine.task_statuses) {
    if (status.state == TaskState::exited) continue;
    const auto assigned = machine.tasks.find(status.task);
    if (assigned == machine.tasks.end() || assigned->second.attempt != status.attempt)
      commands.push_back(immediate_stop(status));
  }
}

void CommandDispatcher::add_starts_and_stops(const Machine& machine, IncludeStarts include_starts,
                                             std::vector<Command>& commands) const {
  for (const auto& [key, assignment] : machine.tasks) {
    // An unanswered start may be executed late. As long as the job has not ended, the start is
    // repeated before the stop: the agent then knows the attempt and reports its exit.
    if (include_starts == IncludeStarts::yes && !assignment.reported && !assignment.orphaned &&
        committed(key, assignment))
      commands.push_back({CommandType::start, key, assignment.attempt, Seconds(0)});
    if (assignment.stop && !is_checkpointing(assignment))
      commands.push_back({CommandType::stop, key, assignment.attempt, assignment.grace});
  }
}

bool CommandDispatcher::ends_with_next_message(const Machine& machine, const TaskStatus& status) {
  if (status.state == TaskState::exited) return true;
  const auto assigned = machine.tasks.find(status.task);
  return assigned == machine.tasks.end() || assigned->second.attempt != status.attempt ||
         assigned->second.stop;
}

void CommandDispatcher::raise_token_if_needed(const Machine& machine) {
  if (!machine.confirmed || tokens_.unfenced(machine.id) == nullptr) return;
  const auto& statuses = machine.task_statuses;
  const bool ends_attempts =
      std::any_of(statuses.begin(), statuses.end(), [&](const TaskStatus& status) {
        return ends_with_next_message(machine, status) &&
               !tokens_.is_fenced_by_next_message(machine.id, status.attempt);
      });
  if (ends_attempts || tokens_.needs_raise(machine.id)) tokens_.raise(machine.id);
}

void CommandDispatcher::prepare_response(const Machine& machine) {
  if (!machine.confirmed || tokens_.unfenced(machine.id) == nullptr) return;
  if (machine.commands_in_flight && !machine.starts_in_flight.empty()) return;
  const auto& statuses = machine.task_statuses;
  const bool fences_attempts =
      std::any_of(statuses.begin(), statuses.end(), [&](const TaskStatus& status) {
        return !tokens_.is_fenced_by_next_message(machine.id, status.attempt);
      });
  if (fences_attempts || tokens_.needs_raise(machine.id)) tokens_.raise(machine.id);
}

std::vector<Command> CommandDispatcher::response_commands(const MachineId& id,
                                                          HeartbeatNumber heartbeat) const {
  const auto* machine = fleet_.find(id);
  if (machine == nullptr ||
      heartbeat != HeartbeatNumber{machine->epoch, machine->heartbeat_sequence})
    return {};
  return commands_for(*machine, IncludeStarts::no);
}

void CommandDispatcher::stop(Machine& machine, Assignment& assignment, TimePoint now,
                             Seconds grace) {
  if (assignment.stop && assignment.grace <= grace) return;
  fleet_.before_change(machine);
  assignment.grace = grace;
  if (!assignment.stop) {
    assignment.stop = true;
    assignment.stop_since = now;
  }
  mark_due(machine);
}

void CommandDispatcher::stop_with_checkpoint(Machine& machine, const TaskKey& key,
                                             Assignment& assignment, Seconds available,
                                             TimePoint now) {
  // The extra time lets the checkpoint end even if the agent's clock runs slightly fast.
  const auto grace = assignment.checkpoint_time + kCommandTravelTime;
  const auto found = jobs_.find(key.job);
  const bool saves =
      found != jobs_.end() && worth_checkpointing(assignment, now) && available > grace;
  if (!saves) return stop(machine, assignment, now);
  const auto& job = found->second;
  if (!job.gang()) return stop(machine, assignment, now, grace);
  for_each_assignment(fleet_, job,
                      [&](Machine& peer_machine, const TaskKey&, Assignment& peer_assignment) {
                        stop(peer_machine, peer_assignment, now, grace);
                      });
}

bool CommandDispatcher::holds_cancelled_task(const Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [](const auto& entry) { return entry.second.orphaned; });
}

SocketShares CommandDispatcher::shares() const {
  auto shares = allocate_sockets(sockets_, fleet_.all().size());
  if (max_in_flight_ > 0) shares.commands = std::min(shares.commands, max_in_flight_);
  return shares;
}

std::size_t CommandDispatcher::available_slots() const {
  // Machines that left their last batch unanswered do not take slots from machines that have not
  // been queried yet.
  const auto due = static_cast<std::size_t>(
      std::count_if(machines_due_.begin(), machines_due_.end(), [&](const MachineId& id) {
        const auto* machine = fleet_.find(id);
        return machine != nullptr && machine->unanswered_commands == 0;
      }));
  const auto taken = window_.in_flight() + due;
  return window_.size() > taken ? window_.size() - taken : 0;
}

CommandDispatcher::Urgency CommandDispatcher::urgency_of(const Machine& machine) {
  Attempt oldest_unreported = std::numeric_limits<Attempt>::max();
  for (const auto& [key, assignment] : machine.tasks) {
    if (assignment.stop) return {UrgencyRank::stops, 0};
    if (!assignment.reported) oldest_unreported = std::min(oldest_unreported, assignment.attempt);
  }
  const bool unresponsive = machine.unanswered_commands > 0;
  return {unresponsive ? UrgencyRank::unresponsive : UrgencyRank::normal, oldest_unreported};
}

// Stops are needed for safety, so only the socket share limits them. Machines that are likely dead
// leave half of the window to the others.
bool CommandDispatcher::window_admits(UrgencyRank rank) const {
  switch (rank) {
    case UrgencyRank::stops:
      return window_.admits_stops();
    case UrgencyRank::unresponsive:
      return window_.admits_unresponsive();
    case UrgencyRank::normal:
      break;
  }
  return window_.admits();
}

// A machine whose release the cloud has not answered yet still gets the stops of cancelled tasks:
// the cloud may be unreachable, and a delayed start of such a task may arrive meanwhile.
bool CommandDispatcher::accepts_commands(const Machine& machine) {
  return machine.up() && (!machine.releasing || holds_cancelled_task(machine));
}

// Removes due machines that take no commands and returns those that may be sent a batch now.
std::vector<CommandDispatcher::ReadyMachine> CommandDispatcher::collect_ready(TimePoint now) {
  std::vector<ReadyMachine> ready;
  for (auto due = machines_due_.begin(); due != machines_due_.end();) {
    auto* machine = fleet_.find(*due);
    if (machine == nullptr || !accepts_commands(*machine)) {
      due = machines_due_.erase(due);
      continue;
    }
    ++due;
    if (!machine->commands_in_flight && now >= machine->next_commands_at)
      ready.push_back({urgency_of(*machine), machine});
  }
  return ready;
}

void CommandDispatcher::send_due(TimePoint now) {
  out_.count_inspections(machines_due_.size());
  auto ready = collect_ready(now);
  if (ready.empty()) return;
  std::sort(ready.begin(), ready.end(), [](const ReadyMachine& a, const ReadyMachine& b) {
    return std::tie(a.urgency, a.machine->id) < std::tie(b.urgency, b.machine->id);
  });
  window_.set_share(shares().commands);
  for (const auto& [urgency, machine] : ready) {
    if (!window_admits(urgency.rank)) continue;
    send_batch(*machine, now);
    machines_due_.erase(machine->id);
  }
}

void CommandDispatcher::send_batch(Machine& machine, TimePoint now) {
  fleet_.before_change(machine);
  machine.commands_in_flight = true;
  machine.commands_sent_at = now;
  window_.sent();
  // A machine that does not answer gets no repeated starts, as each copy might be delayed in
  // transit and executed late. Stops are repeated nevertheless.
  const auto include_starts = machine.unacknowledged_since ? IncludeStarts::no : IncludeStarts::yes;
  raise_token_if_needed(machine);
  auto commands = commands_for(machine, include_starts);
  machine.starts_in_flight.clear();
  for (const auto& command : commands)
    if (command.type == CommandType::start) {
      machine.starts_in_flight.push_back(command.attempt);
      tokens_.start_sent(machine.id, command.attempt);
    }
  audit_.batch_sent(machine.id, commands, now);
  // Batches may be empty: the response under our fencing token confirms the machine. A batch with
  // a wrong epoch is answered with a heartbeat that holds the current epoch.
  const auto epoch = std::max<AgentEpoch>(1, machine.epoch);
  out_.push_back(SendCommands{machine.id, machine.endpoint, epoch, std::move(commands),
                              tokens_.raised_token(machine.id)});
}

void CommandDispatcher::record_outcome(Machine& machine, bool answered, TimePoint now) {
  fleet_.before_change(machine);
  if (machine.commands_in_flight) {
    if (answered)
      window_.answered(now - machine.commands_sent_at);
    else
      window_.lost(now);
  }
  machine.commands_in_flight = false;
  machine.unanswered_commands = answered ? 0 : machine.unanswered_commands + 1;
}

void CommandDispatcher::machine_returned(const Machine& machine) {
  if (machine.commands_in_flight) window_.release_slot();
}

}  // namespace violetpulley::core
