// What a new leader does not know yet: machines registered before its takeover that have not
// answered, and machines that list tasks of unknown jobs (docs/safety.md, "One copy of a task", 3
// and "Limits and places"; DESIGN: a new leader rebuilds from reports before placing). Owns both
// sets; decides which jobs are held up and how much room counts as possibly used.
#pragma once

#include <algorithm>
#include <set>

#include "core/jobs/job.hpp"
#include "core/model/catalog.hpp"
#include "core/outbox.hpp"

namespace violetpulley::core {

class Recovery {
 public:
  // `former_leases_end`: when the leases that older leaders may have renewed have run out. `lease`:
  // of a worker.
  Recovery(Outbox& out, Fleet& fleet, TimePoint former_leases_end, Seconds lease)
      : out_(out), fleet_(fleet), former_leases_end_(former_leases_end), lease_(lease) {}

  // No older leader answers reports any more: every other controller has said, after it saw our
  // key, that it does not lead. So what they may have renewed runs out a lease from now.
  void former_leaders_gone(TimePoint now);

  // After so long without an answer of anybody a worker has ended its tasks: its lease, what a
  // clock may go wrong by, and the way of the last answer.
  Seconds full_lease() const { return lease_ * 1.001 + Seconds(1); }

  // A machine on which an older leader may have started tasks.
  void expect(const Machine& machine) {
    unconfirmed_.insert(machine.id);
    unconfirmed_kinds_.insert({machine.type, machine.zone, machine.spot});
  }
  // It has answered under our token, or is gone.
  void confirm(const MachineId& id) { unconfirmed_.erase(id); }
  bool is_unconfirmed(const MachineId& id) const { return unconfirmed_.contains(id); }
  std::size_t waiting() const { return unconfirmed_.size(); }
  const std::set<MachineId>& unconfirmed() const { return unconfirmed_; }

  // `proved`: nobody else led by then. A newer leader may renew leases that ran out under older
  // ones.
  void check(TimePoint proved);
  bool recovering() const { return recovering_; }
  // Whether any task of this job that was seen nowhere may be on a machine that has not answered.
  bool blocked_on_reconciliation(const Job& job) const;
  // Whether this task may. Of a gang with records, each if one may: it starts whole.
  bool held(const Job& job, TaskIndex index) const;
  std::size_t held(const Job& job) const;

  void update_unknown_tasks(Machine& machine, TimePoint now);
  // Since when the machine has listed live tasks of jobs that are unknown here: they have ended, or
  // were cancelled under an older leader.
  std::optional<TimePoint> unknown_tasks_since(const MachineId& id) const {
    const auto found = unknown_tasks_since_.find(id);
    return found == unknown_tasks_since_.end() ? std::nullopt : std::optional(found->second);
  }

  // Counts what is uncertain anew; `uncertain` holds until the next round.
  void refresh();
  const Resources& uncertain() const { return uncertain_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.former_leases_end_, s.recovering_, s.unconfirmed_, s.unconfirmed_kinds_,
      s.unknown_tasks_since_, s.uncertain_);
  }

 private:
  bool recorded_in_doubt(const Job& job, TaskIndex index) const;
  Resources uncertain_use() const;

  Outbox& out_;
  Fleet& fleet_;
  TimePoint former_leases_end_;
  Seconds lease_;
  bool recovering_ = true;
  std::set<MachineId> unconfirmed_;
  std::set<OfferingKey> unconfirmed_kinds_;  // type, zone and kind of those; may tell of too many
  // Machines that list tasks of jobs that are unknown here, and since when.
  std::map<MachineId, TimePoint> unknown_tasks_since_;
  Resources uncertain_;
};

}  // namespace violetpulley::core
