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

// The agent is saving a checkpoint within its grace: a second stop would end the task.
bool is_checkpointing(const Assignment& assignment) {
  return assignment.state == TaskState::checkpointing && assignment.grace > Seconds(0);
}

}  // namespace

bool CommandDispatcher::acknowledgeable(const Machine& machine, const TaskStatus& status) const {
  // Delayed packets may deliver a start a second time, and an agent that has forgotten the attempt
  // would run the task anew. So an attempt whose start was ever left unanswered stays in the
  // agent's memory until the agent epoch, the fencing token or the machine ends.
  if (machine.in_doubt_attempts.contains(status.attempt)) return false;
  if (status.cause != ExitCause::done) return true;
  const auto found = jobs_.find(status.task.job);
  if (found == jobs_.end()) return true;
  const auto& job = found->second;
  if (job.service() || status.task.index >= job.tasks.size()) return true;
  return job.tasks[status.task.index].persisted;
}

bool CommandDispatcher::committed(const TaskKey& key, const Assignment& assignment) const {
  if (assignment.record == 0) return true;
  const auto job = jobs_.find(key.job);
  return job != jobs_.end() && assignment.record <= job->second.committed_placement_version;
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

// The statuses of an unconfirmed machine may be out of date, but a job that has ended has ended for
// ever. The answer to the machine's heartbeat renews its lease, so the answer must carry these
// stops: without them a task that a former leader had seen cancelled outlived `cancel_s`, as the
// machine was cut off right afterwards (seed 1379 of Hunted).
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
    // A start that was not answered may be executed late. While the job still runs, a repeated
    // start before the stop makes the attempt known to the agent, so that its exit is reported.
    if (include_starts == IncludeStarts::yes && !assignment.seen && !assignment.orphaned &&
        committed(key, assignment))
      commands.push_back({CommandType::start, key, assignment.attempt, Seconds(0)});
    if (assignment.stop && !is_checkpointing(assignment))
      commands.push_back({CommandType::stop, key, assignment.attempt, assignment.grace});
  }
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
  // Longer than the checkpoint takes, so that an agent whose clock runs a little faster still lets
  // the checkpoint end.
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
  auto shares = share_sockets(sockets_, fleet_.all().size());
  if (max_in_flight_ > 0) shares.commands = std::min(shares.commands, max_in_flight_);
  return shares;
}

std::size_t CommandDispatcher::available_slots() const {
  // Machines that left their last batch unanswered do not keep slots from machines that were not
  // asked yet.
  const auto due = static_cast<std::size_t>(
      std::count_if(machines_due_.begin(), machines_due_.end(), [&](const MachineId& id) {
        const auto* machine = fleet_.find(id);
        return machine != nullptr && machine->unanswered_commands == 0;
      }));
  const auto taken = window_.in_flight() + due;
  return window_.size() > taken ? window_.size() - taken : 0;
}

CommandDispatcher::Urgency CommandDispatcher::urgency_of(const Machine& machine) {
  Attempt oldest_unseen = std::numeric_limits<Attempt>::max();
  for (const auto& [key, assignment] : machine.tasks) {
    if (assignment.stop) return {UrgencyRank::stops, 0};
    if (!assignment.seen) oldest_unseen = std::min(oldest_unseen, assignment.attempt);
  }
  const bool unresponsive = machine.unanswered_commands > 0;
  return {unresponsive ? UrgencyRank::unresponsive : UrgencyRank::usual, oldest_unseen};
}

// Stops are safety traffic; machines that are likely dead leave half of the window to the others.
bool CommandDispatcher::window_admits(UrgencyRank rank) const {
  switch (rank) {
    case UrgencyRank::stops:
      return window_.admits_stops();
    case UrgencyRank::unresponsive:
      return window_.admits_unresponsive();
    case UrgencyRank::usual:
      break;
  }
  return window_.admits();
}

// Until the cloud has answered the release of a machine, a cancelled task on it is still stopped:
// the cloud may be unreachable, and a delayed start may arrive meanwhile (seed 1758 of Meetings).
bool CommandDispatcher::accepts_commands(const Machine& machine) {
  return machine.up() && (!machine.releasing || holds_cancelled_task(machine));
}

// Drops the machines that take no commands and returns those that may get a batch now.
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
  out_.note_inspections(machines_due_.size());
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
  // A machine that does not answer is probed and not sent the same starts again and again: each
  // copy might be delayed on its way. Stops are worth that risk.
  const auto include_starts = machine.unacknowledged_since ? IncludeStarts::no : IncludeStarts::yes;
  auto commands = commands_for(machine, include_starts);
  machine.starts_in_flight.clear();
  for (const auto& command : commands)
    if (command.type == CommandType::start) machine.starts_in_flight.push_back(command.attempt);
  // An empty batch under our fencing token confirms a machine; a batch with a wrong epoch is
  // answered with a heartbeat that holds the right one.
  const auto epoch = std::max<AgentEpoch>(1, machine.epoch);
  out_.push_back(SendCommands{machine.id, machine.endpoint, epoch, std::move(commands)});
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
