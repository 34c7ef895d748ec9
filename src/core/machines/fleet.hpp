// Machines, what may possibly be on each of them, and what that makes each team use.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "core/model/types.hpp"
#include "core/scheduling/run_time_bins.hpp"

namespace violetpulley::core {

// A task that is, or may be, on a machine.
struct Assignment {
  Attempt attempt = 0;
  Resources resources;
  std::string team;
  std::string job_class;
  std::string image;
  Shape shape = Shape::array;
  Seconds estimate{0};  // of what is left after `saved`
  Seconds saved{0};
  Seconds fetch{0};             // expected image fetch when placed
  Seconds checkpoint_every{0};  // 0: it never saves
  Seconds checkpoint_time{0};
  TimePoint placed{};
  std::optional<TimePoint> running_since;
  TaskState state = TaskState::fetching;
  bool seen = false;       // reported by the worker under this attempt
  bool stop = false;       // must go
  bool orphaned = false;   // its job has ended; nothing waits for it
  bool preempted = false;  // stopped to make room for others
  Seconds grace{0};        // for saving, when it is stopped
  std::optional<TimePoint> stop_since;
  std::uint64_t record =
      0;  // version of its job's placements that must be committed before it is sent
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.attempt, s.resources, s.team, s.job_class, s.image, s.shape, s.estimate, s.saved, s.fetch,
      s.checkpoint_every, s.checkpoint_time, s.placed, s.running_since, s.state, s.seen, s.stop,
      s.orphaned, s.preempted, s.grace, s.stop_since, s.record);
  }
};

struct CachedImage {
  std::string name;
  double gb = 0;
  bool present = false;  // false: being fetched
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.gb, s.present);
  }
};

struct Machine {
  MachineId id;
  std::string endpoint;  // empty: booting
  std::string type;
  std::string zone;
  bool spot = false;
  Resources capacity;
  Resources used;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;

  std::uint64_t epoch = 0;
  std::uint64_t heartbeat_sequence = 0;
  bool confirmed = false;   // answered under our token: its list is complete
  bool registered = false;  // the record with its endpoint is committed
  bool registering = false;
  TimePoint since{};  // rented, or first known
  std::optional<TimePoint> up_since;
  std::optional<TimePoint> last_heartbeat;  // Contact's, like the next four
  std::optional<TimePoint>
      last_lease_renewal;  // its last report of its own, which our answer renews
  std::optional<TimePoint> outbound_partition_since;  // it answers orders and reports to nobody
  std::optional<TimePoint> last_acknowledged;         // our word arrived there, in this session
  std::optional<TimePoint>
      unacknowledged_since;  // the first order list since that was not answered
  std::optional<TimePoint> notice_ends;

  std::map<TaskKey, Assignment> tasks;
  std::vector<TaskStatus> task_statuses;
  std::vector<CachedImage> images;  // most recently used last
  bool images_changed = false;

  bool draining = false;
  bool quarantined = false;
  bool releasing = false;
  std::string release_cause;
  std::optional<TimePoint> release_retry;
  std::optional<TimePoint> underused_since;
  std::optional<TimePoint> sparse_since;  // few replicas and nothing else
  std::optional<TimePoint> idle_since;
  JobId reserved_for;  // a gang that collects machines; nothing else may start here
  int errors = 0;
  std::set<JobId> error_jobs;

  std::set<Attempt>
      in_doubt_attempts;  // started by orders without an answer: those may arrive once more
  std::vector<Attempt> starts_in_flight;
  bool commands_in_flight = false;
  int unanswered_commands = 0;  // orders in a row, asks among them
  TimePoint next_commands_at{};
  TimePoint commands_sent_at{};

  bool up() const { return !endpoint.empty(); }
  Resources free() const { return capacity - used; }
  // With what is being stopped.
  Resources free_after_stops() const;
  // Time until its longest task is expected to end (its bin follows from it).
  Seconds remaining(TimePoint now) const;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.capacity, s.used, s.cache_gb, s.fetch_gb_per_s,
      s.price, s.epoch, s.heartbeat_sequence, s.confirmed, s.registered, s.registering, s.since,
      s.up_since, s.last_heartbeat, s.notice_ends, s.tasks, s.task_statuses, s.images,
      s.images_changed, s.draining, s.quarantined, s.releasing, s.release_cause, s.release_retry,
      s.underused_since, s.sparse_since, s.idle_since, s.reserved_for, s.errors, s.error_jobs,
      s.in_doubt_attempts, s.starts_in_flight, s.commands_in_flight, s.unanswered_commands,
      s.next_commands_at, s.commands_sent_at, s.last_acknowledged, s.unacknowledged_since,
      s.last_lease_renewal, s.outbound_partition_since);
  }
};

Seconds remaining_of(const Assignment& assignment, TimePoint now);

// The run time that would be repeated if it were stopped now without a save.
Seconds unsaved(const Assignment& assignment, TimePoint now);

// Whether saving on a stop gains more than it takes; all else is stopped at once.
bool worth_checkpointing(const Assignment& assignment, TimePoint now);

// What a stop costs: the run time to repeat, or the time to save it.
Seconds cost_of_stop(const Assignment& assignment, TimePoint now);

class Fleet {
 public:
  Machine* find(const MachineId& id);
  const Machine* find(const MachineId& id) const;
  Machine& add(const MachineId& id);
  void erase(const MachineId& id);

  void assign(Machine& machine, const TaskKey& task, Assignment assignment);
  void unassign(Machine& machine, const TaskKey& task);

  // While a save is taken, who takes it is told of each machine before it changes or goes. Whoever
  // changes a machine calls `touch` first (Captures in tests/history_test.cpp hold it against the
  // simulation).
  using BeforeChange = std::function<void(const Machine&)>;
  void set_change_observer(BeforeChange told) { before_change_ = std::move(told); }
  void before_change(const Machine& machine) {
    if (before_change_) before_change_(machine);
  }
  // Sets one field, if that changes it.
  template <class T>
  void set(Machine& machine, T Machine::*field, const T& value) {
    if (machine.*field == value) return;
    before_change(machine);
    machine.*field = value;
  }

  // Everything of a team that is possibly on a machine.
  Resources team_use(const std::string& team) const;

  void touch_image(Machine& machine, const std::string& image, double gb, bool present);

  std::map<MachineId, Machine>& all() { return machines_; }
  const std::map<MachineId, Machine>& all() const { return machines_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machines_, s.team_use_);
  }

 private:
  std::map<MachineId, Machine> machines_;
  std::map<std::string, Resources> team_use_;
  BeforeChange before_change_;
};

}  // namespace violetpulley::core
