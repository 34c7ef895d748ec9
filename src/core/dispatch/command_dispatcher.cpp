#include "core/dispatch/command_dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

#include "core/jobs/each_assignment.hpp"

namespace violetpulley::core {

namespace {
constexpr int kStops = 0;
constexpr int kUsual = 1;
constexpr int kSilent = 2;
}  // namespace

bool CommandDispatcher::acknowledgeable(const Machine& machine, const TaskStatus& entry) const {
  // Held packets may bring a start once more, and a worker that has forgotten the attempt would
  // run it anew. So an attempt whose start was ever left unanswered stays in the worker's memory
  // until the session, the token or the machine ends.
  if (machine.in_doubt_attempts.contains(entry.attempt)) return false;
  if (entry.cause != ExitCause::done) return true;
  const auto found = jobs_.find(entry.task.job);
  if (found != jobs_.end() && found->second.service()) return true;
  if (found == jobs_.end() || entry.task.index >= found->second.tasks.size()) return true;
  return found->second.tasks[entry.task.index].persisted;
}

// A start waits until the record of where it goes is committed.
bool CommandDispatcher::committed(const TaskKey& key, const Assignment& assignment) const {
  if (assignment.record == 0) return true;
  const auto job = jobs_.find(key.job);
  return job != jobs_.end() && assignment.record <= job->second.committed_placement_version;
}

std::vector<Command> CommandDispatcher::commands_for(const Machine& machine,
                                                     bool with_starts) const {
  std::vector<Command> commands;
  // What an unconfirmed machine lists may be out of date, but a job that has ended has for ever.
  // The answer to its report renews its lease, so it must carry these stops: without them a task
  // that an older leader had seen cancelled outlived `cancel_s`, as the machine was cut off right
  // after (seed 1379 of Hunted).
  if (!machine.confirmed) {
    for (const auto& entry : machine.task_statuses)
      if (entry.state != TaskState::exited && !jobs_.table().contains(entry.task.job))
        commands.push_back({CommandType::stop, entry.task, entry.attempt, Seconds(0)});
    return commands;
  }
  for (const auto& entry : machine.task_statuses)
    if (entry.state == TaskState::exited && acknowledgeable(machine, entry))
      commands.push_back({CommandType::acknowledge, entry.task, entry.attempt, Seconds(0)});
  for (const auto& entry : machine.task_statuses) {
    if (entry.state == TaskState::exited) continue;
    const auto ours = machine.tasks.find(entry.task);
    if (ours == machine.tasks.end() || ours->second.attempt != entry.attempt)
      commands.push_back({CommandType::stop, entry.task, entry.attempt, Seconds(0)});
  }
  for (const auto& [key, assignment] : machine.tasks) {
    // A start that was not answered may be executed late. Where the job still runs, sending it
    // once more before the stop makes the attempt known, so that its exit is reported.
    if (with_starts && !assignment.seen && !assignment.orphaned && committed(key, assignment))
      commands.push_back({CommandType::start, key, assignment.attempt, Seconds(0)});
    // What saves is left to it: a second stop would end it.
    const bool saves =
        assignment.state == TaskState::checkpointing && assignment.grace > Seconds(0);
    if (assignment.stop && !saves)
      commands.push_back({CommandType::stop, key, assignment.attempt, assignment.grace});
  }
  return commands;
}

std::vector<Command> CommandDispatcher::response_commands(const MachineId& id,
                                                          HeartbeatNumber heartbeat) const {
  const auto* machine = fleet_.find(id);
  if (machine == nullptr ||
      heartbeat != HeartbeatNumber{machine->epoch, machine->heartbeat_sequence})
    return {};
  return commands_for(*machine, false);
}

void CommandDispatcher::stop(Machine& machine, Assignment& assignment, TimePoint now,
                             Seconds grace) {
  if (assignment.stop && assignment.grace <= grace) return;
  fleet_.before_change(machine);
  assignment.grace = grace;
  if (assignment.stop) return want(machine);
  assignment.stop = true;
  assignment.stop_since = now;
  want(machine);
}

// Stops a task that has to leave its machine. It may save if that fits into the time there is and
// gains more than it takes; of a gang all tasks must be told together, or the save fails.
void CommandDispatcher::stop_with_checkpoint(Machine& machine, const TaskKey& key,
                                             Assignment& assignment, Seconds available,
                                             TimePoint now) {
  const auto job = jobs_.find(key.job);
  const bool saves = job != jobs_.end() && worth_checkpointing(assignment, now) &&
                     available > assignment.checkpoint_time + kCommandTravelTime;
  if (!saves) return stop(machine, assignment, now);
  // With more grace than the save takes, a worker that counts a little faster still lets it end.
  const auto grace = assignment.checkpoint_time + kCommandTravelTime;
  if (!job->second.gang()) return stop(machine, assignment, now, grace);
  each_on_machines(fleet_, job->second, [&](Machine& place, const TaskKey&, Assignment& mate) {
    stop(place, mate, now, grace);
  });
}

bool CommandDispatcher::holds_cancelled_task(const Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(),
                     [](const auto& entry) { return entry.second.orphaned; });
}

CommandDispatcher::Urgency CommandDispatcher::urgency(const Machine& machine) const {
  Attempt oldest = std::numeric_limits<Attempt>::max();
  for (const auto& [key, assignment] : machine.tasks) {
    if (assignment.stop) return {kStops, 0};
    if (!assignment.seen) oldest = std::min(oldest, assignment.attempt);
  }
  return {machine.unanswered_commands > 0 ? kSilent : kUsual, oldest};
}

std::size_t CommandDispatcher::room() const {
  // Those that did not answer the last time leave room to those that were not asked yet.
  const auto due = static_cast<std::size_t>(
      std::count_if(machines_due_.begin(), machines_due_.end(), [&](const MachineId& id) {
        const auto* machine = fleet_.find(id);
        return machine != nullptr && machine->unanswered_commands == 0;
      }));
  const auto taken = window_.in_flight() + due;
  return window_.size() > taken ? window_.size() - taken : 0;
}

void CommandDispatcher::send(TimePoint now) {
  out_.note_inspections(machines_due_.size());
  std::vector<std::pair<Urgency, Machine*>> ready;
  for (auto due = machines_due_.begin(); due != machines_due_.end();) {
    auto* machine = fleet_.find(*due);
    // Until the cloud has answered, a task that has to go is told so: the cloud may be out of
    // reach, and a start that was held may come meanwhile (seed 1758 of Meetings).
    if (machine == nullptr || !machine->up() ||
        (machine->releasing && !holds_cancelled_task(*machine))) {
      due = machines_due_.erase(due);
      continue;
    }
    ++due;
    if (!machine->commands_in_flight && now >= machine->next_commands_at)
      ready.emplace_back(urgency(*machine), machine);
  }
  if (ready.empty()) return;
  std::sort(ready.begin(), ready.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first, a.second->id) < std::tie(b.first, b.second->id);
  });
  window_.set_share(shares().commands);
  for (const auto& [urgency, machine] : ready) {
    // Stops are safety traffic; machines that are likely dead leave half of the window to the
    // others.
    const auto rank = urgency.first;
    if (rank == kStops ? !window_.admits_stops() : !window_.admits(rank == kSilent ? 2 : 1))
      continue;
    send(*machine, now);
    machines_due_.erase(machine->id);
  }
}

void CommandDispatcher::send(Machine& machine, TimePoint now) {
  fleet_.before_change(machine);
  machine.commands_in_flight = true;
  machine.commands_sent_at = now;
  window_.sent();
  // A machine that does not answer is asked, not given the same starts again and again: each of
  // them might be held on its way. Stops are worth it.
  auto commands = commands_for(machine, !machine.unacknowledged_since);
  machine.starts_in_flight.clear();
  for (const auto& command : commands)
    if (command.type == CommandType::start) machine.starts_in_flight.push_back(command.attempt);
  // An empty list under our token confirms a machine; a wrong session is answered with a report
  // that tells the right one.
  out_.push_back(SendCommands{machine.id, machine.endpoint,
                              std::max<std::uint64_t>(1, machine.epoch), std::move(commands)});
}

void CommandDispatcher::answered(Machine& machine, bool any, TimePoint now) {
  fleet_.before_change(machine);
  if (machine.commands_in_flight)
    any ? window_.answered(now - machine.commands_sent_at) : window_.lost(now);
  machine.commands_in_flight = false;
  machine.unanswered_commands = any ? 0 : machine.unanswered_commands + 1;
}

void CommandDispatcher::gone(const Machine& machine) {
  if (machine.commands_in_flight) window_.dropped();
}

}  // namespace violetpulley::core
