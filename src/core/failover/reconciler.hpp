// How a new leader squares what is stored with what the machines tell (docs/reconciliation.md; DESIGN: a
// new leader rebuilds from reports before placing). Owns who is still to be asked, what the wait
// has cost and what was found; decides the order of the asking, how long a silent machine is waited
// for and when the fleet is known well enough to rent. Which tasks are held up is Recovery's.
#pragma once

#include <deque>

#include "core/dispatch/task_starter.hpp"

namespace violetpulley::core {

// What the wait has cost so far: time in which held-up tasks had room beside them, by shape.
struct ReconciliationCost {
  Seconds arrays{0};
  Seconds gangs{0};
  Seconds replicas{0};
  Seconds unseen{0};  // of these, of jobs none of whose tasks was seen or stored as done

  Seconds total() const { return arrays + gangs + replicas; }
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.arrays, s.gangs, s.replicas, s.unseen);
  }
};

// What differed between the state service and the reports, counted until the reckoning ends: a row
// of the table in docs/reconciliation.md each.
struct ReconciliationStats {
  std::size_t adopted = 0;        // tasks found on machines
  std::size_t ended = 0;          // reported done and not stored as done
  std::size_t second_copies = 0;  // of a task that is known elsewhere or under another attempt
  std::size_t stored_done = 0;    // stored as done and still on a machine
  std::size_t of_no_job = 0;      // tasks of jobs that have ended or were never known
  std::size_t unregistered = 0;   // machines that reported and were not stored
  std::size_t new_sessions = 0;   // machines whose lease had run out
  std::size_t late = 0;           // reports older than one that is known
  std::size_t returned = 0;       // machines given up as silent

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.adopted, s.ended, s.second_copies, s.stored_done, s.of_no_job, s.unregistered,
      s.new_sessions, s.late, s.returned);
  }
};

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

  // Puts the machines that Recovery waits for in the order in which they are asked: those first
  // that most tasks may be on.
  void begin();
  // Asks as many as the window of orders has room for. Who has reported by itself under our token
  // is not asked; who reported under an older one has ours from the answer and says so by itself,
  // which it is given time for: asking would double the work of a leader that has most of it now.
  void ask(TimePoint now);

  // Looks at who is silent. Afterwards `unresponsive_too_long` tells whether such a machine is
  // waited for no longer: as soon as the wait has cost as much as returning all of them would, so
  // that it never costs more than twice what the better of the two would have (ski rental).
  void judge(TimePoint now);
  // It was asked more than once, and no answer came, while others' did. One that was not asked yet
  // is not silent, however long the takeover is ago.
  bool silent(const Machine& machine) const {
    return recovery_.is_unconfirmed(machine.id) && machine.unanswered_commands >= 2;
  }
  bool unresponsive_too_long(const Machine& machine) const {
    return patience_exhausted_ && silent(machine) && responsive_zones_.contains(machine.zone);
  }
  // Every machine has answered or is silent: what is lacking now is lacking indeed.
  bool fleet_known(TimePoint now) const;

  // Adds to the cost what is held up now, when that is due.
  void note_cost(TimePoint now);
  const ReconciliationCost& cost() const { return cost_; }

  void count(std::size_t ReconciliationStats::*what) {
    if (recovery_.recovering()) ++(stats_.*what);
  }
  const ReconciliationStats& stats() const { return stats_; }
  std::size_t asked() const { return asked_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.queue_, s.awaiting_second_heartbeat_, s.asked_, s.cost_, s.cost_noted_,
      s.mean_blocked_resources_, s.mean_blocked_run_time_, s.patience_exhausted_,
      s.responsive_zones_, s.stats_);
  }

 private:
  Seconds cost_of_declaring_dead(const Machine& machine) const;

  const ControllerSettings& settings_;
  const Catalog& catalog_;
  Fleet& fleet_;
  const Jobs& jobs_;
  const Recovery& recovery_;
  CommandDispatcher& commands_;
  const TaskStarter& task_starter_;
  TimePoint elected_at_;
  std::deque<MachineId> queue_;
  std::deque<std::pair<TimePoint, MachineId>>
      awaiting_second_heartbeat_;  // reported under an older token, and when to ask
  std::size_t asked_ = 0;
  ReconciliationCost cost_;
  std::optional<TimePoint> cost_noted_;
  Resources mean_blocked_resources_;  // of a held-up task, in the mean
  Seconds mean_blocked_run_time_{0};
  bool patience_exhausted_ = false;
  std::set<std::string> responsive_zones_;
  ReconciliationStats stats_;
};

}  // namespace violetpulley::core
