/// @file
/// Bounded records of attempts, and the notes that follow from them.
#include "core/dispatch/attempt_audit.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace violetpulley::core {

namespace {
constexpr std::size_t kMaxNotes = 100;
constexpr std::size_t kMaxStartsOfMachine = 32;
constexpr std::size_t kMaxEnds = 20'000;
}  // namespace

void AttemptAudit::batch_sent(const MachineId& machine, const std::vector<Command>& commands,
                              TimePoint now) {
  auto& attempts = machines_[machine];
  ++attempts.batches;
  for (const auto& command : commands) {
    if (command.type != CommandType::start) continue;
    attempts.starts.push_back({command.attempt, attempts.batches, std::nullopt, false});
    if (attempts.starts.size() > kMaxStartsOfMachine) attempts.starts.pop_front();
  }
  acknowledge(attempts, commands, now);
}

void AttemptAudit::response_sent(const MachineId& machine, const std::vector<Command>& commands,
                                 TimePoint now) {
  const auto attempts = machines_.find(machine);
  if (attempts != machines_.end()) acknowledge(attempts->second, commands, now);
}

void AttemptAudit::acknowledge(MachineAttempts& attempts, const std::vector<Command>& commands,
                               TimePoint now) {
  for (const auto& command : commands) {
    if (command.type != CommandType::acknowledge) continue;
    for (auto& start : attempts.starts)
      if (start.attempt == command.attempt && !start.acknowledged_at) start.acknowledged_at = now;
  }
}

void AttemptAudit::attempt_ended(const TaskKey& task, AttemptEnd end) {
  ends_.insert_or_assign(task, std::move(end));
  if (ends_.size() > kMaxEnds) ends_.erase(ends_.begin());
}

void AttemptAudit::end_proven(const TaskKey& task, EndProof proof) {
  const auto end = ends_.find(task);
  if (end != ends_.end()) end->second.proof = proof;
}

void AttemptAudit::task_placed(const TaskKey& task, const MachineId& machine, Attempt attempt,
                               FencingToken token, TimePoint now) {
  const auto end = ends_.find(task);
  if (end == ends_.end()) return;
  const auto former = std::move(end->second);
  ends_.erase(end);
  if (former.machine == machine) return;
  ++counts_.started_elsewhere;
  add(StartedElsewhere{task, machine, attempt, token, former, Seconds(now - former.at)});
}

void AttemptAudit::unassigned_listed(const MachineId& machine, const TaskStatus& status,
                                     TimePoint now) {
  const auto attempts = machines_.find(machine);
  if (attempts == machines_.end()) return;
  auto& starts = attempts->second.starts;
  const auto start = std::find_if(starts.begin(), starts.end(), [&](const SentStart& sent) {
    return sent.attempt == status.attempt && sent.acknowledged_at;
  });
  if (start == starts.end() || start->is_noted) return;
  start->is_noted = true;
  ++counts_.acknowledged_listed;
  add(AcknowledgedAttemptListed{machine, status.task, status.attempt,
                                Seconds(now - *start->acknowledged_at),
                                attempts->second.batches - start->batch});
}

void AttemptAudit::token_shown(const UnexpectedToken& token) {
  ++counts_.unexpected_tokens;
  add(token);
}

void AttemptAudit::job_closed(const JobId& job) {
  ends_.erase(ends_.lower_bound({job, 0}),
              ends_.upper_bound({job, std::numeric_limits<TaskIndex>::max()}));
}

void AttemptAudit::add(AuditNote note) {
  if (notes_.size() < kMaxNotes) notes_.push_back(std::move(note));
}

}  // namespace violetpulley::core
