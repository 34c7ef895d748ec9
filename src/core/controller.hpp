/// @file
/// The decisions of the leader: takes events with their time and returns actions. The controller
/// performs no input or output, reads no clock, and is created anew at every election. It passes
/// events to its parts; each part owns its state, and its header documents its decisions.
#pragma once

#include "core/autoscaling/consolidation.hpp"
#include "core/failover/doubt_resolver.hpp"
#include "core/failover/heartbeat_handler.hpp"
#include "core/failover/reconciler.hpp"
#include "core/learned_state_handover.hpp"
#include "core/scheduling/replica_consolidation.hpp"
#include "core/scheduling/scheduler.hpp"

namespace violetpulley::core {

/// Numbers of a job's tasks by state.
struct JobCounts {
  TaskIndex done = 0;
  TaskIndex running = 0;
};

/// The scheduler core of a leader. It is deterministic: equal events at equal times lead to equal
/// actions.
class Controller {
 public:
  /// Recovers the jobs, machines and learned state that former leaders have stored. `token`: this
  /// leader's fencing token. `former_leases_end`: when the last agent lease that a former leader
  /// may have renewed has run out.
  Controller(ControllerSettings settings, FencingToken token, TimePoint now,
             TimePoint former_leases_end, const RecoveredState& recovered);
  // Not copyable, since the parts hold references to each other.
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /// Replaces the machine types.
  void set_catalog(std::vector<MachineType> types);

  /// Adds a job. The job must have been read while leadership was proven.
  void job_opened(const JobRecord& record, TimePoint now) { jobs_.open(record, now); }
  /// Stops the tasks of a job that has ended or was cancelled, and removes the job. Unknown jobs
  /// are ignored.
  void job_closed(const JobId& id, TimePoint now);

  /// Handles an agent's periodic heartbeat.
  void heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    heartbeats_.heartbeat(heartbeat, now);
  }
  /// The stops and acknowledgements that are sent in the answer to a heartbeat.
  std::vector<Command> response_commands(const Heartbeat& heartbeat) const {
    return commands_.response_commands(heartbeat.machine, heartbeat.number());
  }
  /// The fencing token of the answer to a heartbeat of the machine.
  FencingToken response_token(const MachineId& machine) const { return tokens_.of(machine); }
  /// Whether the token of a heartbeat is of this leader or of an earlier one.
  bool is_known_token(FencingToken token) const { return tokens_.is_known(token); }
  /// The leader key was unchanged at this revision of the store (docs/safety.md, "An answered start
  /// can come again"). Must be called before the first command is sent.
  void leadership_proven(Revision revision);
  /// Records for on-call that these commands are sent in the answer to a heartbeat.
  void record_response(const MachineId& machine, const std::vector<Command>& commands,
                       TimePoint now) {
    audit_.response_sent(machine, commands, now);
  }
  /// Handles the outcome of a command batch. `heartbeat`: the agent's response; null if none
  /// arrived.
  void commands_answered(const MachineId& machine, const Heartbeat* heartbeat, TimePoint now) {
    heartbeats_.commands_answered(machine, heartbeat, now);
  }

  /// Records that every other controller has seen this leader's key and reported that it does not
  /// lead.
  void former_leaders_gone(TimePoint now) { recovery_.former_leaders_gone(now); }
  /// Records that agents send their heartbeats to another controller.
  void record_peer_receives_heartbeats(TimePoint now) {
    failure_detector_.record_peer_receives_heartbeats(now);
  }
  /// Whether this leader may be isolated. It only matters then whether peers receive heartbeats.
  bool possibly_isolated(TimePoint now) const {
    return failure_detector_.no_heartbeats(now) || failure_detector_.no_lease_renewals(now);
  }

  /// Handles the result of a `SaveMachine`. `with_endpoint`: the record contained the endpoint.
  void machine_saved(const MachineId& id, bool with_endpoint, bool ok) {
    registry_.saved(id, with_endpoint, ok);
  }
  /// Handles the result of a `SaveProgress`.
  void progress_saved(const SaveProgress& saved, bool ok) { jobs_.progress_saved(saved, ok); }
  /// Handles the commit of a `SavePlacements` of this version: starts that waited for it are sent.
  void placements_saved(const JobId& id, PlacementVersion version);
  /// Handles a `FinishJob` that was not carried out; it is not retried before `retry`.
  void finish_answered(const JobId& job, TimePoint retry, TimePoint now);

  /// Handles the result of the `ScaleOut` with this name.
  void scale_out_answered(const std::string& name, const ScaleOutResult& answer, TimePoint now) {
    scale_out_.answered(name, answer, now);
  }
  /// Handles the result of a `ScaleIn`. `ok`: the machines are proven to be gone.
  void scale_in_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now);
  /// Handles the cloud's list of machines.
  void cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now);

  /// Runs the periodic work: failure detection, scheduling, scaling, and the writes and commands
  /// that are due. `may_place`: this controller may still act as leader. `last_proven`: the latest
  /// time at which it is proven that no other controller led (`Leadership::last_proven`).
  void tick(TimePoint now, bool may_place, TimePoint last_proven);

  /// Returns the actions since the last call, in the order in which to carry them out.
  std::vector<Action> take_actions() { return out_.take(); }
  /// Whether a scheduling round is requested, so that the next tick should follow soon.
  bool scheduling_round_requested() const { return out_.scheduling_round_requested(); }

  /// Null if the job is unknown.
  std::optional<JobCounts> counts(const JobId& id) const;
  const Jobs::Table& jobs() const { return jobs_.table(); }
  const Fleet& fleet() const { return fleet_; }
  const RunTimeEstimator& estimator() const { return estimator_; }
  const InstanceOfferings& offerings() const { return offerings_; }
  const Reconciler& reconciler() const { return reconciler_; }
  const CommandDispatcher& commands() const { return commands_; }
  const EndedAttempts& ended_attempts() const { return ended_attempts_; }
  const MachineTokens& tokens() const { return tokens_; }
  /// What on-call needs to know of attempts, since the last call.
  std::vector<AuditNote> take_audit_notes() { return audit_.take_notes(); }
  const AttemptAudit& audit() const { return audit_; }
  /// Whether tasks of former leaders may still be on unconfirmed machines.
  bool recovering() const { return recovery_.recovering(); }
  /// Number of machine inspections so far; tests compare it with the number of events.
  std::uint64_t inspections() const { return out_.inspections(); }
  /// State of the controller in one line, for the log.
  std::string summary() const;
  /// Learned state for the next leader. `wall`: the time of day at `now`.
  LearnedState learned_state(TimePoint now, WallTime wall) const {
    return learned_state_handover_.collect(now, wall);
  }

  /// Registers observers that are called with each machine and job before it changes or is erased.
  /// A snapshot that is written in several steps uses them to keep the earlier state.
  void before_changes(Fleet::BeforeChange machine, Jobs::BeforeChange job);

  /// Calls `visit(name, part)` for every part that owns state, in the order of snapshots. The names
  /// are stored and must not change. A new part is added at the end and omitted while it is empty
  /// (`kOmittedWhenEmpty`), so that the bytes of older snapshots stay valid.
  template <class Self, class Visit>
  static void each_part(Self& self, const Visit& visit) {
    visit("outbox", self.out_);
    visit("catalog", self.catalog_);
    visit("fleet", self.fleet_);
    visit("jobs", self.jobs_);
    visit("estimates", self.estimator_);
    visit("contact", self.failure_detector_);
    visit("recovery", self.recovery_);
    visit("reckoning", self.reconciler_);
    visit("registry", self.registry_);
    visit("orders", self.commands_);
    visit("starts", self.task_starter_);
    visit("market", self.offerings_);
    visit("bindings", self.bindings_);
    visit("scarcity", self.scarcity_);
    visit("gangs", self.gang_scheduler_);
    visit("rentals", self.scale_out_);
    visit("watch", self.watch_);
    visit("replicas", self.replica_consolidation_);
    visit("standing", self.starvation_guard_);
    visit("placing", self.scheduler_);
    visit("ended attempts", self.ended_attempts_);
    visit("unassigned copies", self.unassigned_copies_);
    visit("machine tokens", self.tokens_);
  }

 private:
  void recover_jobs(const RecoveredState& recovered, FencingToken token, TimePoint now);
  void recover_machine(const MachineRecord& record, TimePoint now);
  void return_retiring_machines(TimePoint now);
  void forget_returned_machine(Machine& machine, TimePoint now);
  /// Requests a write if a machine needs a token above all revisions that are known.
  void request_revision_if_needed();
  Machine& add_unexpected_machine(const ListedMachine& listed, TimePoint now);

  const ControllerSettings settings_;
  Outbox out_;
  Catalog catalog_;
  Fleet fleet_;
  Jobs jobs_;
  RunTimeEstimator estimator_;
  DeadlineForecaster forecaster_;
  FailureDetector failure_detector_;
  UnassignedCopies unassigned_copies_;
  Recovery recovery_;
  MachineRegistry registry_;
  MachineTokens tokens_;
  AttemptAudit audit_;
  CommandDispatcher commands_;
  EndedAttempts ended_attempts_;
  Assignments assignments_;
  TaskStarter task_starter_;
  Reconciler reconciler_;
  InstanceOfferings offerings_;
  LearnedStateHandover learned_state_handover_;
  TaskBindings bindings_;
  Scarcity scarcity_;
  Preemption preemption_;
  GangScheduler gang_scheduler_;
  ScaleOutPlanner scale_out_;
  MachineWatch watch_;
  HeartbeatHandler heartbeats_;
  DoubtResolver doubt_resolver_;
  Consolidation consolidation_;
  ReplicaConsolidation replica_consolidation_;
  StarvationGuard starvation_guard_;
  Scheduler scheduler_;
};

}  // namespace violetpulley::core
