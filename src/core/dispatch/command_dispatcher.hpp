/// @file
/// Sends commands (starts, stops and acknowledgements) to machines until a heartbeat shows their
/// effect (PROTOCOL, "Workers"; docs/safety.md, "One copy of a task", 5). Owns the set of machines
/// that are due for a command batch and the window of unanswered batches. Decides when commands are
/// sent, not which tasks run.
#pragma once

#include <set>

#include "core/dispatch/attempt_audit.hpp"
#include "core/dispatch/in_flight_window.hpp"
#include "core/dispatch/machine_tokens.hpp"
#include "core/dispatch/socket_budget.hpp"
#include "core/jobs/jobs.hpp"
#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// Upper bound assumed for the time in which a command reaches the agent.
inline constexpr Seconds kCommandTravelTime{1};

/// Whether a command batch may contain starts.
enum class IncludeStarts : bool { no, yes };

/// Sends command batches to machines, the most urgent first, within the in-flight window.
class CommandDispatcher {
 public:
  /// `max_in_flight`: the operators' limit of unanswered command batches; 0: limited by the socket
  /// share only.
  CommandDispatcher(const SocketBudget& sockets, std::size_t max_in_flight, Outbox& out,
                    Fleet& fleet, const Jobs& jobs, MachineTokens& tokens, AttemptAudit& audit)
      : sockets_(sockets),
        max_in_flight_(max_in_flight),
        out_(out),
        fleet_(fleet),
        jobs_(jobs),
        tokens_(tokens),
        audit_(audit) {}

  /// Schedules a command batch for the machine, even if the batch is empty.
  void mark_due(const Machine& machine) { machines_due_.insert(machine.id); }

  /// The commands that follow from the machine's last heartbeat and its assignments, in this order:
  /// acknowledgements, stops of unknown attempts, starts and stops by task.
  std::vector<Command> commands_for(const Machine& machine, IncludeStarts include_starts) const;

  /// The stops and acknowledgements for the answer to a heartbeat. Empty unless `heartbeat` is the
  /// machine's newest one: the answer to a delayed copy carries no commands.
  std::vector<Command> response_commands(const MachineId& id, HeartbeatNumber heartbeat) const;

  /// Prepares the answer to the machine's newest heartbeat: raises the token that the answer
  /// carries above those of the starts that the agent has listed, so that most attempts are fenced
  /// before they end. A batch with starts that is on its way would be refused, so the token is not
  /// raised meanwhile.
  void prepare_response(const Machine& machine);

  /// Sends as many batches as the window admits; the other machines stay due. Machines with stops
  /// come first, then machines by their oldest unconfirmed attempt (the order in which the
  /// scheduler chose the tasks), then machines that left their last batch unanswered.
  void send_due(TimePoint now);

  /// Records the outcome of the machine's batch in flight. `answered`: false if the request failed
  /// or timed out.
  void record_outcome(Machine& machine, bool answered, TimePoint now);

  /// Releases the window slot of a machine that was returned.
  void machine_returned(const Machine& machine);

  /// How many more machines may be marked due before the window is full.
  std::size_t available_slots() const;

  /// The socket shares for the current number of machines, with the operators' limit applied.
  SocketShares shares() const;

  /// The window of unanswered command batches.
  const InFlightWindow& window() const { return window_; }

  /// Whether the machine has, or may have, a task of a job that has ended or was cancelled.
  static bool holds_cancelled_task(const Machine& machine);

  /// Whether the start of the assignment may have been sent: an earlier start of the attempt is in
  /// doubt, or a command batch was sent since the task was placed.
  static bool may_have_sent_start(const Machine& machine, const Assignment& assignment);

  /// Whether the placement record of the assignment is committed, so that its start may be sent.
  bool committed(const TaskKey& key, const Assignment& assignment) const;

  /// Marks the assignment to be stopped, with `grace` as the time to save a checkpoint. A repeated
  /// stop can shorten the grace but not extend it.
  void stop(Machine& machine, Assignment& assignment, TimePoint now, Seconds grace = Seconds(0));

  /// Stops a task that has to leave its machine, with time for a checkpoint if the checkpoint takes
  /// less time than `available` and saves more run time than it takes. In this case all tasks of a
  /// gang are stopped, as their checkpoint fails unless all of them save it together.
  void stop_with_checkpoint(Machine& machine, const TaskKey& key, Assignment& assignment,
                            Seconds available, TimePoint now);

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines_due_, s.window_);
  }

 private:
  /// In descending order of urgency.
  enum class UrgencyRank { stops, normal, unresponsive };

  /// Order in which machines get their batches: by rank, then by the oldest unconfirmed attempt.
  struct Urgency {
    UrgencyRank rank = UrgencyRank::normal;
    Attempt oldest_unreported_attempt = 0;
    friend auto operator<=>(const Urgency&, const Urgency&) = default;
  };

  struct ReadyMachine {
    Urgency urgency;
    Machine* machine = nullptr;
  };

  bool acknowledgeable(const Machine& machine, const TaskStatus& status) const;
  bool may_be_forgotten(const Machine& machine, Attempt attempt) const;
  /// Raises the machine's token if the next message ends attempts that are not fenced, or if that
  /// was requested.
  void raise_token_if_needed(const Machine& machine);
  static bool ends_with_next_message(const Machine& machine, const TaskStatus& status);
  void add_stops_of_ended_jobs(const Machine& machine, std::vector<Command>& commands) const;
  void add_acknowledgements(const Machine& machine, std::vector<Command>& commands) const;
  static void add_stops_of_unknown_attempts(const Machine& machine, std::vector<Command>& commands);
  void add_starts_and_stops(const Machine& machine, IncludeStarts include_starts,
                            std::vector<Command>& commands) const;

  static Urgency urgency_of(const Machine& machine);
  bool window_admits(UrgencyRank rank) const;
  static bool accepts_commands(const Machine& machine);
  std::vector<ReadyMachine> collect_ready(TimePoint now);
  void send_batch(Machine& machine, TimePoint now);

  const SocketBudget& sockets_;
  std::size_t max_in_flight_;
  Outbox& out_;
  Fleet& fleet_;
  const Jobs& jobs_;
  MachineTokens& tokens_;
  AttemptAudit& audit_;
  std::set<MachineId> machines_due_;
  InFlightWindow window_;
};

}  // namespace violetpulley::core
