/// @file
/// Tracks what a new leader does not know yet: machines registered before its election that have
/// not answered, and machines that list tasks without an assignment (docs/safety.md, "One copy of a
/// task", 3, "A copy without an assignment", and "Limits and places"; docs/design.md: a new leader
/// rebuilds its state from heartbeats before it places tasks). Owns both sets. Decides which tasks
/// may run somewhere and must not start, and which resources count as possibly in use.
#pragma once

#include <algorithm>
#include <set>

#include "core/jobs/job.hpp"
#include "core/machines/unassigned_copies.hpp"
#include "core/model/catalog.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

/// Tracks the unconfirmed machines from the election until all of them have answered or are gone.
class Recovery {
 public:
  /// `former_leases_end`: when the last lease that a former leader may have renewed expires.
  /// `lease`: lease time of an agent.
  Recovery(Outbox& out, Fleet& fleet, UnassignedCopies& unassigned_copies,
           TimePoint former_leases_end, Seconds lease)
      : out_(out),
        fleet_(fleet),
        unassigned_copies_(unassigned_copies),
        former_leases_end_(former_leases_end),
        lease_(lease) {}

  /// Records that no former leader answers heartbeats any more: every other controller has seen our
  /// leader key and reported that it does not lead. So the last lease that a former leader may have
  /// renewed expires at the latest one full lease after `now`.
  void former_leaders_gone(TimePoint now);

  /// Time without any answer after which an agent has ended its tasks: the lease, clock drift, and
  /// the travel time of the last answer.
  Seconds full_lease() const { return lease_ * kClockDriftFactor + kAnswerTravelTime; }

  /// Adds a machine on which a former leader may have started tasks.
  void add_unconfirmed(const Machine& machine) {
    unconfirmed_.insert(machine.id);
    unconfirmed_offerings_.insert({machine.type, machine.zone, machine.spot});
  }
  /// Removes a machine that has answered under our fencing token or is gone.
  void confirm(const MachineId& id) { unconfirmed_.erase(id); }
  bool is_unconfirmed(const MachineId& id) const { return unconfirmed_.contains(id); }
  std::size_t unconfirmed_count() const { return unconfirmed_.size(); }
  const std::set<MachineId>& unconfirmed() const { return unconfirmed_; }

  /// Removes machines whose tasks have ended because their lease has expired, and ends the recovery
  /// when no machine is unconfirmed. `last_proven`: latest time at which this node is proven to
  /// have led; after that time a newer leader may have renewed leases.
  void check(TimePoint last_proven);
  bool recovering() const { return recovering_; }
  /// Whether any waiting task of this job may be running on an unconfirmed machine.
  bool blocked_on_reconciliation(const Job& job) const;
  /// Whether this waiting task may be running on an unconfirmed machine.
  bool blocked_on_reconciliation(const Job& job, TaskIndex index) const;
  /// Whether this waiting task must not start: it may be running on an unconfirmed machine, or a
  /// machine lists a copy of it. The tasks of a gang start together, so all of them are blocked if
  /// one is.
  bool is_blocked(const Job& job, TaskIndex index) const;
  /// Number of waiting tasks of the job that must not start.
  std::size_t blocked_tasks(const Job& job) const;

  /// Records the copies without an assignment in the machine's newest task list.
  void update_unassigned_copies(const Machine& machine, UnassignedCopies::OfMachine copies,
                                TimePoint now);
  /// Removes the copies on a machine that is gone or has ended its tasks.
  void clear_unassigned_copies(const Machine& machine);
  /// Adds the zones of the live copies of the job's tasks.
  void add_zones_of_copies(const Job& job, std::map<std::string, TaskIndex>& use) const;
  /// Since when the machine has listed live tasks without an assignment (of a job that has ended or
  /// was cancelled, or copies of tasks that are assigned elsewhere); none if it lists no such task.
  std::optional<TimePoint> unknown_tasks_since(const MachineId& id) const {
    const auto found = unknown_tasks_since_.find(id);
    return found == unknown_tasks_since_.end() ? std::nullopt : std::optional(found->second);
  }

  /// Recomputes `possible_use` and the types of unconfirmed machines for a scheduling round.
  void refresh();
  /// Resources that may be in use beyond the known assignments, as of the last `refresh`. Their
  /// team is unknown, so they count against the limit of every team.
  const Resources& possible_use() const { return possible_use_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.former_leases_end_, s.recovering_, s.unconfirmed_, s.unconfirmed_offerings_,
      s.unknown_tasks_since_, s.possible_use_);
  }

 private:
  static constexpr double kClockDriftFactor = 1.001;
  static constexpr Seconds kAnswerTravelTime{1};

  bool is_recorded_on_unconfirmed(const Job& job, TaskIndex index) const;
  bool has_unassigned_copy(const Job& job, TaskIndex index) const;
  Resources compute_possible_use() const;

  Outbox& out_;
  Fleet& fleet_;
  UnassignedCopies& unassigned_copies_;
  TimePoint former_leases_end_;
  Seconds lease_;
  bool recovering_ = true;
  std::set<MachineId> unconfirmed_;
  /// Type, zone and spot of the unconfirmed machines; a superset between two calls of `refresh`.
  std::set<OfferingKey> unconfirmed_offerings_;
  std::map<MachineId, TimePoint> unknown_tasks_since_;
  Resources possible_use_;
};

}  // namespace violetpulley::core
