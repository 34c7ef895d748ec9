/// @file
/// The machines as this leader knows them, the assignments on each, and the resources that each
/// team uses by them. Owns machines and assignments; the parts named at the fields change them.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "core/model/types.hpp"
#include "core/scheduling/run_time_bins.hpp"

namespace violetpulley::core {

/// A task that is, or may be, on a machine.
struct Assignment {
  // What the job asks for, copied so that the assignment outlives its job.
  Attempt attempt = 0;    ///< unique over all leaders; shared by the tasks of a gang
  Resources resources;    ///< of this task
  std::string team;       ///< whose limit the resources count against
  std::string job_class;  ///< groups jobs with similar run times
  std::string image;      ///< empty: none
  Shape shape = Shape::array;
  Seconds estimate{0};          ///< expected run time of what is left after `saved`
  Seconds saved{0};             ///< run time that checkpoints of earlier attempts cover
  Seconds fetch{0};             ///< expected time of the image fetch when placed
  Seconds checkpoint_every{0};  ///< interval of checkpoints; 0: the task makes none
  Seconds checkpoint_time{0};   ///< time that a checkpoint takes

  // Progress, from placement and heartbeats.
  TimePoint placed{};
  std::optional<TimePoint> running_since;  ///< none: not reported as running yet
  TaskState state = TaskState::fetching;   ///< as last reported
  bool reported = false;                   ///< reported by the agent under this attempt

  // Stopping (CommandDispatcher).
  bool stop = false;       ///< stop commands are sent until the agent reports the end
  bool orphaned = false;   ///< its job has ended or was cancelled; nothing waits for the task
  bool preempted = false;  ///< stopped for other work
  Seconds grace{0};        ///< time to make a checkpoint when stopped
  std::optional<TimePoint> stop_since;

  /// Version of the placements of its job that must be committed before the start is sent.
  std::uint64_t placement_version = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.attempt, s.resources, s.team, s.job_class, s.image, s.shape, s.estimate, s.saved, s.fetch,
      s.checkpoint_every, s.checkpoint_time, s.placed, s.running_since, s.state, s.reported, s.stop,
      s.orphaned, s.preempted, s.grace, s.stop_since, s.placement_version);
  }
};

/// An image on a machine, or on its way there.
struct CachedImage {
  std::string name;
  double gb = 0;
  bool present = false;  ///< false: being fetched
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.gb, s.present);
  }
};

/// A machine, from its request on until it is returned. The fields are grouped by the part that
/// changes them; a part must call Fleet::before_change first.
struct Machine {
  // Identity, from the cloud or the first heartbeat.
  MachineId id;
  std::string endpoint;  ///< address of the agent; empty: booting
  std::string type;
  std::string zone;
  bool spot = false;

  // Properties of the machine type (Catalog).
  Resources capacity;
  double cache_gb = 0;        ///< size of the image cache; 0: unknown
  double fetch_gb_per_s = 0;  ///< speed of image fetches
  double price = 0;           ///< per hour

  // Agent state (HeartbeatHandler).
  std::uint64_t epoch = 0;               ///< grows when the agent has lost its tasks; 0: unknown
  std::uint64_t heartbeat_sequence = 0;  ///< of the newest heartbeat in this epoch
  bool confirmed = false;    ///< answered under our fencing token: its task list is complete
  TimePoint requested_at{};  ///< when it was requested, or first known
  std::optional<TimePoint> up_since;      ///< first heartbeat to this leader
  std::optional<TimePoint> notice_ends;   ///< when the cloud reclaims a spot machine
  std::vector<TaskStatus> task_statuses;  ///< of the newest heartbeat
  int errors = 0;                         ///< failed tasks since the last one that was done
  std::set<JobId> error_jobs;             ///< jobs of these tasks

  // Record in the state service (MachineRegistry).
  bool registered = false;      ///< the record with its endpoint is committed
  bool registering = false;     ///< a write of the record with its endpoint is in flight
  bool images_changed = false;  ///< since the record was last written

  // Contact (FailureDetector).
  std::optional<TimePoint> last_heartbeat;            ///< any heartbeat or response
  std::optional<TimePoint> last_lease_renewal;        ///< periodic heartbeat, which we answered
  std::optional<TimePoint> outbound_partition_since;  ///< answers commands, sends no heartbeats
  std::optional<TimePoint> last_acknowledged;         ///< something of ours arrived, in this epoch
  /// When the first of the command batches without a response was sent; none: the last one was
  /// answered.
  std::optional<TimePoint> unacknowledged_since;

  // Work on the machine (Fleet).
  std::map<TaskKey, Assignment> tasks;
  Resources used;                   ///< sum over `tasks`
  std::vector<CachedImage> images;  ///< most recently used last

  // Commands (CommandDispatcher, HeartbeatHandler).
  std::set<Attempt> in_doubt_attempts;    ///< starts without a response: they may arrive once more
  std::vector<Attempt> starts_in_flight;  ///< starts of the command batch in flight
  bool commands_in_flight = false;        ///< a command batch waits for its response
  int unanswered_commands = 0;            ///< command batches in a row without a response
  TimePoint next_commands_at{};           ///< no command batch is sent earlier
  TimePoint commands_sent_at{};           ///< when the last command batch was sent

  // Scheduling marks.
  bool quarantined = false;                  ///< takes no new tasks: they fail here
  bool draining = false;                     ///< takes no new tasks: to be returned when empty
  std::optional<TimePoint> underused_since;  ///< for Consolidation
  std::optional<TimePoint> sparse_since;     ///< runs few replicas and nothing else
  std::optional<TimePoint> idle_since;       ///< since when nothing runs or starts here
  JobId reserved_for;  ///< gang that reserves the machine; no other job may start here

  // Return to the cloud (MachineWatch).
  bool releasing = false;
  std::string release_cause;               ///< for the log and the ScaleIn action
  std::optional<TimePoint> release_retry;  ///< when the return is requested next

  bool up() const { return !endpoint.empty(); }
  Resources free() const { return capacity - used; }
  /// Free resources once all tasks that are being stopped have ended.
  Resources free_after_stops() const;
  /// Time until the last of its tasks is expected to end, which determines its run time bin.
  Seconds remaining(TimePoint now) const;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.endpoint, s.type, s.zone, s.spot, s.capacity, s.used, s.cache_gb, s.fetch_gb_per_s,
      s.price, s.epoch, s.heartbeat_sequence, s.confirmed, s.registered, s.registering,
      s.requested_at, s.up_since, s.last_heartbeat, s.notice_ends, s.tasks, s.task_statuses,
      s.images, s.images_changed, s.draining, s.quarantined, s.releasing, s.release_cause,
      s.release_retry, s.underused_since, s.sparse_since, s.idle_since, s.reserved_for, s.errors,
      s.error_jobs, s.in_doubt_attempts, s.starts_in_flight, s.commands_in_flight,
      s.unanswered_commands, s.next_commands_at, s.commands_sent_at, s.last_acknowledged,
      s.unacknowledged_since, s.last_lease_renewal, s.outbound_partition_since);
  }
};

/// Time until the task is expected to end.
Seconds remaining_of(const Assignment& assignment, TimePoint now);

/// Run time that would be repeated if the task were stopped now without a checkpoint.
Seconds unsaved_run_time(const Assignment& assignment, TimePoint now);

/// Whether a checkpoint at the stop saves more run time than it takes. Other tasks are stopped
/// without a checkpoint.
bool worth_checkpointing(const Assignment& assignment, TimePoint now);

/// What a stop costs: the run time to repeat, or the time of the checkpoint.
Seconds cost_of_stop(const Assignment& assignment, TimePoint now);

/// All machines by their id, and the use of resources by team.
class Fleet {
 public:
  /// The machine with this id; null if it is unknown.
  Machine* find(const MachineId& id);
  const Machine* find(const MachineId& id) const;
  /// The machine with this id, created if it is unknown.
  Machine& add(const MachineId& id);
  void erase(const MachineId& id);

  /// Adds or replaces the assignment of a task.
  void assign(Machine& machine, const TaskKey& task, Assignment assignment);
  /// Removes the assignment of a task, if there is one.
  void unassign(Machine& machine, const TaskKey& task);

  /// Observer that is called with each machine before it changes or is erased, while a snapshot is
  /// written in parts.
  using BeforeChange = std::function<void(const Machine&)>;
  void set_change_observer(BeforeChange observer) { before_change_ = std::move(observer); }
  /// To be called before any change of a machine (tests/history/history_test.cpp checks this
  /// against the simulation).
  void before_change(const Machine& machine) {
    if (before_change_) before_change_(machine);
  }
  /// Sets a field if its value differs.
  template <class T>
  void set(Machine& machine, T Machine::*field, const T& value) {
    if (machine.*field == value) return;
    before_change(machine);
    machine.*field = value;
  }

  /// Resources of all assignments of a team.
  Resources team_use(const std::string& team) const;

  /// Marks an image as the most recently used one of the machine and evicts the oldest images that
  /// exceed its cache. `present`: false if the fetch has only begun; an image that is present stays
  /// present.
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
