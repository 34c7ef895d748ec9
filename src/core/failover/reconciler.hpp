/// @file
/// Reconciliation: a new leader compares the stored state with the heartbeats of the machines
/// (docs/reconciliation.md; docs/design.md: a new leader rebuilds its state from heartbeats before
/// it places tasks). Owns the queue of machines to be queried, the accrued cost of waiting and the
/// counts of differences. Decides the order of the queries, how long the leader waits for silent
/// machines and when the fleet is known well enough to scale out. `Recovery` decides which tasks
/// are blocked.
#pragma once

#include <deque>

#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

/// Cost of waiting for unconfirmed machines, by job shape: task-seconds for which blocked tasks
/// could have run on free resources.
struct ReconciliationCost {
  Seconds arrays{0};
  Seconds gangs{0};
  Seconds services{0};
  Seconds fully_waiting{0};  ///< part of the above: jobs of which every task is waiting

  Seconds total() const { return arrays + gangs + services; }
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.arrays, s.gangs, s.services, s.fully_waiting);
  }
};

/// Differences between the state service and the heartbeats, counted until the recovery ends. Each
/// count corresponds to a row of the table in docs/reconciliation.md.
struct ReconciliationStats {
  std::size_t adopted = 0;           ///< running tasks found on machines and adopted
  std::size_t done_unrecorded = 0;   ///< reported done and not stored as done
  std::size_t duplicate_copies = 0;  ///< of a task known elsewhere or under another attempt
  std::size_t stored_done = 0;       ///< stored as done and still on a machine
  std::size_t unknown_job = 0;       ///< tasks of jobs that have ended or are unknown
  std::size_t unregistered = 0;      ///< machines that sent a heartbeat without a stored record
  std::size_t new_epochs = 0;        ///< agents whose epoch increased because they lost their tasks
  std::size_t stale_heartbeats = 0;  ///< older than a heartbeat that was applied before
  std::size_t declared_dead = 0;     ///< unconfirmed machines that were returned as dead

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.adopted, s.done_unrecorded, s.duplicate_copies, s.stored_done, s.unknown_job,
      s.unregistered, s.new_epochs, s.stale_heartbeats, s.declared_dead);
  }
};

/// Paces the queries to unconfirmed machines, and compares the cost of waiting for these machines
/// with the cost of returning them.
class Reconciler {
 public:
  Reconciler(const ControllerSettings& settings, const Catalog& catalog, Fleet& fleet,
             const Jobs& jobs, const Recovery& recovery, CommandDispatcher& commands,
             const TaskStarter& starts, TimePoint elected_at)
      : settings_(settings),
        catalog_(catalog),
        fleet_(fleet),
        jobs_(jobs),
        recovery_(recovery),
        commands_(commands),
        task_starter_(starts),
        elected_at_(elected_at) {}

  /// Queues the unconfirmed machines in descending order of the number of tasks they may run.
  void queue_unconfirmed();
  /// Queries as many machines as the in-flight window admits. A machine that has sent a heartbeat
  /// under our fencing token is not queried. A machine that has sent a heartbeat under an older
  /// token learns ours from the answer and sends another heartbeat; it is queried only if that
  /// heartbeat does not arrive, as an earlier query would double the load of a leader that was just
  /// elected.
  void query_machines(TimePoint now);

  /// Counts the silent machines and compares the accrued cost of waiting with the cost of returning
  /// all of them. Once waiting has cost as much, `unresponsive_too_long` is true for the silent
  /// machines: as in the ski rental problem, the total cost is at most twice that of the better
  /// choice.
  void evaluate_silent_machines(TimePoint now);
  /// Whether an unconfirmed machine has left at least `kMinUnansweredQueries` queries unanswered. A
  /// machine that has not been queried is not silent, however long ago the election was.
  bool silent(const Machine& machine) const {
    return recovery_.is_unconfirmed(machine.id) &&
           machine.unanswered_commands >= kMinUnansweredQueries;
  }
  /// Whether the leader no longer waits for this silent machine, so that it may be returned.
  bool unresponsive_too_long(const Machine& machine) const {
    return wait_budget_exhausted_ && silent(machine) && responsive_zones_.contains(machine.zone);
  }
  /// Whether every unconfirmed machine has left a query unanswered, or the wait after the election
  /// is over. Before that, a shortage of resources may only reflect machines that are still
  /// unknown.
  bool fleet_known(TimePoint now) const;

  /// Adds the cost of the tasks that are blocked now, at most once per `kCostInterval`.
  void accrue_waiting_cost(TimePoint now);
  const ReconciliationCost& cost() const { return cost_; }

  /// Increments the counter during the recovery; has no effect afterwards.
  void count(std::size_t ReconciliationStats::*counter) {
    if (recovery_.recovering()) ++(stats_.*counter);
  }
  const ReconciliationStats& stats() const { return stats_; }
  /// Number of queries sent.
  std::size_t queries_sent() const { return queries_sent_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.queue_, s.awaiting_second_heartbeat_, s.queries_sent_, s.cost_, s.cost_updated_at_,
      s.mean_blocked_resources_, s.mean_blocked_run_time_, s.wait_budget_exhausted_,
      s.responsive_zones_, s.stats_);
  }

 private:
  static constexpr int kMinUnansweredQueries = 2;

  /// Blocked tasks of all jobs, and the cost of their waiting since the last update.
  struct BlockedWork {
    double tasks = 0;
    Resources resources;  ///< sum over the tasks
    Seconds run_time{0};  ///< sum over the tasks
    ReconciliationCost cost;
  };

  /// Number of waiting tasks that may be running on a machine of this offering.
  std::size_t tasks_possibly_on(const OfferingKey& offering) const;
  std::vector<const Machine*> machines_with_free_cpus(TimePoint now) const;
  BlockedWork blocked_work(const std::vector<const Machine*>& machines, Seconds elapsed) const;
  Seconds cost_of_declaring_dead(const Machine& machine) const;

  const ControllerSettings& settings_;
  const Catalog& catalog_;
  Fleet& fleet_;
  const Jobs& jobs_;
  const Recovery& recovery_;
  CommandDispatcher& commands_;
  const TaskStarter& task_starter_;
  TimePoint elected_at_;
  std::deque<MachineId> queue_;  ///< machines to be queried, in this order
  /// Machines that sent a heartbeat under an older token, and the time from which they are queried.
  std::deque<std::pair<TimePoint, MachineId>> awaiting_second_heartbeat_;
  std::size_t queries_sent_ = 0;
  ReconciliationCost cost_;
  std::optional<TimePoint> cost_updated_at_;
  Resources mean_blocked_resources_;  ///< per blocked task
  Seconds mean_blocked_run_time_{0};
  /// Whether waiting has cost as much as returning all silent machines, and these are few enough.
  bool wait_budget_exhausted_ = false;
  std::set<std::string> responsive_zones_;  ///< zones whose share of silent machines is small
  ReconciliationStats stats_;
};

}  // namespace violetpulley::core
