// The leader's brain: events and the time in, actions out. It does no input or output, holds no
// clock, and is made anew at every takeover. This front only hands events to the parts, each of
// which owns its state and says in its header what it decides.
#pragma once

#include "core/autoscaling/consolidation.hpp"
#include "core/failover/heartbeat_handler.hpp"
#include "core/failover/reconciler.hpp"
#include "core/scheduling/replica_consolidation.hpp"
#include "core/scheduling/scheduler.hpp"

namespace violetpulley::core {

struct JobCounts {
  TaskIndex done = 0;
  TaskIndex running = 0;
};

struct ListedMachine {
  MachineId id;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  bool failed = false;
  Seconds age{0};

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.failed, s.age);
  }
};

class Controller {
 public:
  Controller(ControllerSettings settings, FencingToken token, TimePoint now,
             TimePoint former_leases_end, const RecoveredState& recovered);
  // The parts refer to each other.
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void set_catalog(std::vector<MachineType> types);

  // Only jobs that were read while leadership was proved.
  void job_opened(const JobRecord& record, TimePoint now) { jobs_.open(record, now); }
  void job_closed(const JobId& id, TimePoint now);

  void heartbeat(const Heartbeat& heartbeat, TimePoint now) {
    heartbeats_.heartbeat(heartbeat, now);
  }
  // Every other controller has said, after it saw our key, that it does not lead.
  void former_leaders_gone(TimePoint now) { recovery_.former_leaders_gone(now); }
  // Workers come to another controller.
  void note_peer_receives_heartbeats(TimePoint now) {
    failure_detector_.note_peer_receives_heartbeats(now);
  }
  // What others hear matters then.
  bool possibly_isolated(TimePoint now) const {
    return failure_detector_.no_heartbeats(now) || failure_detector_.no_lease_renewals(now);
  }
  // Stops and forgets that travel in the answer to a report.
  std::vector<Command> response_commands(const Heartbeat& heartbeat) const {
    return commands_.response_commands(heartbeat.machine,
                                       {heartbeat.epoch, heartbeat.heartbeat_sequence});
  }
  void commands_answered(const MachineId& machine, const Heartbeat* heartbeat, TimePoint now) {
    heartbeats_.commands_answered(machine, heartbeat, now);
  }

  void machine_saved(const MachineId& id, bool with_endpoint, bool ok) {
    registry_.saved(id, with_endpoint, ok);
  }
  void progress_saved(const SaveProgress& saved, bool ok) { jobs_.progress_saved(saved, ok); }
  void placements_saved(const JobId& job, std::uint64_t version);
  void finish_answered(const JobId& job, TimePoint retry) { jobs_.finish_answered(job, retry); }
  void scale_out_answered(const std::string& name, const ScaleOutResult& answer, TimePoint now) {
    scale_out_.answered(name, answer, now);
  }
  void scale_in_answered(const std::vector<MachineId>& machines, bool ok, TimePoint now);
  void cloud_listed(const std::vector<ListedMachine>& machines, TimePoint now);

  // Deadlines, placing and scaling. `may_place`: leadership may still be served. `proved`: the
  // latest time of which it is known that nobody else led then (Leadership::contact).
  void tick(TimePoint now, bool may_place, TimePoint proved);
  std::vector<Action> take_actions() { return out_.take(); }
  bool placing_wanted() const { return out_.placing_wanted(); }

  std::optional<JobCounts> counts(const JobId& id) const;
  const Jobs::Table& jobs() const { return jobs_.table(); }
  const Fleet& fleet() const { return fleet_; }
  const Estimator& estimator() const { return estimator_; }
  const InstanceOfferings& offerings() const { return offerings_; }
  bool recovering() const { return recovery_.recovering(); }
  const Reconciler& reconciler() const { return reconciler_; }
  const CommandDispatcher& commands() const { return commands_; }
  // Machines looked at so far, each time counted; tests hold it against the events.
  std::uint64_t inspections() const { return out_.inspections(); }
  std::string summary() const;
  // What the next leader may go by. `wall`: the time of day now.
  LearnedState learned_state(TimePoint now, WallTime wall) const;

  // Who takes a save is told of machines and jobs before they change or go.
  void before_changes(Fleet::BeforeChange machine, Jobs::BeforeChange job);

  // Calls `visit(name, part)` for every part that owns state, in the order in which saves hold
  // them.
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
  }

 private:
  void apply_learned_state(const LearnedState& learned_state, TimePoint now);

  const ControllerSettings settings_;
  Outbox out_;
  Catalog catalog_;
  Fleet fleet_;
  Jobs jobs_;
  Estimator estimator_;
  DeadlineForecaster forecaster_;
  FailureDetector failure_detector_;
  Recovery recovery_;
  MachineRegistry registry_;
  CommandDispatcher commands_;
  Assignments assignments_;
  TaskStarter task_starter_;
  Reconciler reconciler_;
  InstanceOfferings offerings_;
  TaskBindings bindings_;
  Scarcity scarcity_;
  Preemption preemption_;
  GangScheduler gang_scheduler_;
  ScaleOutPlanner scale_out_;
  MachineWatch watch_;
  HeartbeatHandler heartbeats_;
  Consolidation consolidation_;
  ReplicaConsolidation replica_consolidation_;
  StarvationGuard starvation_guard_;
  Scheduler scheduler_;
};

}  // namespace violetpulley::core
