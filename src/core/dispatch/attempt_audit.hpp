/// @file
/// What on-call needs in order to see why a task is, or was, on two machines: starts of tasks that
/// were on another machine before, attempts that are listed as running after they were
/// acknowledged, and fencing tokens that nobody expected. Owns the last end of each unfinished task
/// and the newest attempts of each machine. No decision depends on it, so it is not part of
/// snapshots.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/dispatch/machine_tokens.hpp"
#include "core/model/command.hpp"
#include "core/model/heartbeat.hpp"

namespace violetpulley::core {

/// Why an attempt that has ended cannot run beside the next one.
enum class EndProof {
  none,              ///< not proven yet: the task is held
  listed,            ///< its end was listed; used only without tokens that can be raised
  fenced,            ///< its agent has seen a token above that of its start
  epoch_grown,       ///< its agent has a new epoch
  lease_expired,     ///< the lease of its machine has expired
  machine_returned,  ///< its machine was returned to the cloud
};

/// An attempt of a task that has ended.
struct AttemptEnd {
  MachineId machine;
  Attempt attempt = 0;
  ExitCause cause = ExitCause::none;  ///< none: the machine has lost the task
  TimePoint at{};
  EndProof proof = EndProof::none;
};

/// A task starts on another machine than its attempt before.
struct StartedElsewhere {
  TaskKey task;
  MachineId machine;
  Attempt attempt = 0;
  FencingToken token = 0;  ///< of the messages to the machine
  AttemptEnd former;
  Seconds since_end{0};
};

/// A machine lists an attempt as running that it was told to forget; one note an attempt.
struct AcknowledgedAttemptListed {
  MachineId machine;
  TaskKey task;
  Attempt attempt = 0;
  Seconds since_acknowledgement{0};
  std::uint64_t batches_since_start = 0;  ///< sent to the machine after the one with the start
};

/// A heartbeat shows a fencing token that its machine was not sent, or a lower one than before.
struct UnexpectedToken {
  MachineId machine;
  FencingToken shown = 0;
  FencingToken sent = 0;
  ShownToken kind = ShownToken::expected;
};

using AuditNote = std::variant<StartedElsewhere, AcknowledgedAttemptListed, UnexpectedToken>;

/// Number of notes of each kind.
struct AuditCounts {
  std::uint64_t started_elsewhere = 0;
  std::uint64_t acknowledged_listed = 0;
  std::uint64_t unexpected_tokens = 0;
};

/// Records attempts and writes the notes.
class AttemptAudit {
 public:
  /// Commands that were sent to the machine in a batch.
  void batch_sent(const MachineId& machine, const std::vector<Command>& commands, TimePoint now);
  /// Commands that were sent to the machine in the answer to a heartbeat.
  void response_sent(const MachineId& machine, const std::vector<Command>& commands, TimePoint now);
  /// An attempt has ended, or its machine has lost it.
  void attempt_ended(const TaskKey& task, AttemptEnd end);
  /// The last attempt of the task cannot run again.
  void end_proven(const TaskKey& task, EndProof proof);
  /// The task was placed on a machine.
  void task_placed(const TaskKey& task, const MachineId& machine, Attempt attempt,
                   FencingToken token, TimePoint now);
  /// The machine lists a live attempt that has no assignment there.
  void unassigned_listed(const MachineId& machine, const TaskStatus& status, TimePoint now);
  void token_shown(const UnexpectedToken& token);

  void machine_gone(const MachineId& machine) { machines_.erase(machine); }
  void job_closed(const JobId& job);

  /// The notes since the last call. Later notes are only counted while `kMaxNotes` are kept.
  std::vector<AuditNote> take_notes() { return std::exchange(notes_, {}); }
  const AuditCounts& counts() const { return counts_; }

 private:
  struct SentStart {
    Attempt attempt = 0;
    std::uint64_t batch = 0;  ///< number of the machine's batch with the start
    std::optional<TimePoint> acknowledged_at;
    bool is_noted = false;  ///< that the machine runs it once more
  };
  struct MachineAttempts {
    std::uint64_t batches = 0;
    std::deque<SentStart> starts;  ///< newest last
  };

  void acknowledge(MachineAttempts& attempts, const std::vector<Command>& commands, TimePoint now);
  void add(AuditNote note);

  std::map<TaskKey, AttemptEnd> ends_;
  std::unordered_map<MachineId, MachineAttempts> machines_;
  std::vector<AuditNote> notes_;
  AuditCounts counts_;
};

}  // namespace violetpulley::core
