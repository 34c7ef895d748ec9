/// @file
/// The machines known to this leader, the assignments on each machine, and the resources that each
/// team uses. Owns machines and assignments. The comments in `Machine` name the part of the
/// controller that changes a group of fields.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "core/model/types.hpp"
#include "core/scheduling/run_time_bins.hpp"

namespace violetpulley::core {

/// A task that was placed on a machine and may run there.
struct Assignment {
  // Requirements and estimates, copied from the job because the assignment may outlive it.
  Attempt attempt = 0;    ///< unique over all leaders; shared by the tasks of a gang
  Resources resources;    ///< of this task
  std::string team;       ///< whose limit the resources count against
  std::string job_class;  ///< groups jobs with similar run times
  std::string image;      ///< empty: none
  Shape shape = Shape::array;
  Seconds estimate{0};          ///< expected run time without the part that `checkpointed` covers
  Seconds checkpointed{0};      ///< run time that checkpoints of earlier attempts cover
  Seconds fetch{0};             ///< time of the image fetch, as expected at the placement
  Seconds checkpoint_every{0};  ///< interval of checkpoints; 0: the task makes none
  Seconds checkpoint_time{0};   ///< time to write a checkpoint

  // Progress, from placement and heartbeats.
  TimePoint placed{};
  std::optional<TimePoint> running_since;  ///< nullopt: not reported as running yet
  TaskState state = TaskState::fetching;   ///< as last reported
  bool reported = false;                   ///< reported by the agent under this attempt

  // Stopping (CommandDispatcher).
  bool stop = false;       ///< stop commands are sent until the agent reports the end of the task
  bool orphaned = false;   ///< the job has ended or was cancelled: the task does not restart
  bool preempted = false;  ///< stopped in favour of other tasks
  Seconds grace{0};        ///< time that the agent allows for a checkpoint before it stops the task
  std::optional<TimePoint> stop_since;

  /// Version of the job's placements that must be committed before the start is sent; 0: none.
  std::uint64_t placement_version = 0;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.attempt, s.resources, s.team, s.job_class, s.image, s.shape, s.estimate, s.checkpointed,
      s.fetch, s.checkpoint_every, s.checkpoint_time, s.placed, s.running_since, s.state,
      s.reported, s.stop, s.orphaned, s.preempted, s.grace, s.stop_since, s.placement_version);
  }
};

/// An image that a machine has cached or is fetching.
struct CachedImage {
  std::string name;
  double gb = 0;
  bool present = false;  ///< false: being fetched
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.gb, s.present);
  }
};

/// A machine, from the request to the cloud until its return. The fields are grouped by the part
/// that changes them; Fleet::before_change must be called before each change.
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
  std::uint64_t epoch = 0;  ///< increased by the agent when it has lost its tasks; 0: unknown
  std::uint64_t heartbeat_sequence = 0;  ///< of the newest heartbeat in this epoch
  bool confirmed = false;    ///< has answered under this leader's token: its task list is complete
  TimePoint requested_at{};  ///< if unknown: when this leader first learned of the machine
  std::optional<TimePoint> up_since;      ///< first heartbeat to this leader
  std::optional<TimePoint> notice_ends;   ///< when the cloud reclaims a spot machine
  std::vector<TaskStatus> task_statuses;  ///< of the newest heartbeat
  int errors = 0;                         ///< tasks that failed in a row
  std::set<JobId> error_jobs;             ///< jobs of these tasks

  // Record in the state service (MachineRegistry).
  bool registered = false;      ///< the record with the endpoint is committed
  bool registering = false;     ///< a write of the record with the endpoint is in flight
  bool images_changed = false;  ///< `images` has changed since the record was last written

  // Contact (FailureDetector).
  std::optional<TimePoint> last_heartbeat;            ///< periodic heartbeat or command response
  std::optional<TimePoint> last_lease_renewal;        ///< periodic heartbeat that was answered
  std::optional<TimePoint> outbound_partition_since;  ///< answers commands, sends no heartbeats
  std::optional<TimePoint> last_acknowledged;         ///< a message arrived there in this epoch
  /// When the first command batch of those without a response was sent; nullopt: the last batch was
  /// answered.
  std::optional<TimePoint> unacknowledged_since;

  // Work on the machine (Fleet).
  std::map<TaskKey, Assignment> tasks;
  Resources used;                   ///< sum over `tasks`
  std::vector<CachedImage> images;  ///< most recently used last

  // Commands (CommandDispatcher, HeartbeatHandler).
  std::set<Attempt> in_doubt_attempts;    ///< starts without a response, which may arrive late
  std::vector<Attempt> starts_in_flight;  ///< starts of the command batch in flight
  bool commands_in_flight = false;        ///< a command batch waits for its response
  int unanswered_commands = 0;            ///< command batches without a response, in a row
  TimePoint next_commands_at{};           ///< earliest time of the next command batch
  TimePoint commands_sent_at{};           ///< when the last command batch was sent

  // Scheduling marks.
  bool quarantined = false;                  ///< takes no new tasks, because tasks fail here
  bool draining = false;                     ///< takes no new tasks and is returned when empty
  std::optional<TimePoint> underused_since;  ///< for Consolidation
  std::optional<TimePoint> sparse_since;     ///< runs few replicas and no other tasks
  std::optional<TimePoint> idle_since;       ///< no task runs or starts here
  JobId reserved_for;  ///< gang that has reserved the machine for its tasks; empty: none

  // Return to the cloud (MachineWatch).
  bool releasing = false;
  std::string release_cause;               ///< for the log and the ScaleIn action
  std::optional<TimePoint> release_retry;  ///< time of the next request to return the machine

  bool up() const { return !endpoint.empty(); }
  Resources free() const { return capacity - used; }
  /// Free resources once all tasks that are being stopped have ended.
  Resources free_after_stops() const;
  /// Time until the last task of the machine is expected to end; determines the run time bin.
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

/// Whether a checkpoint at the stop saves more run time than it takes. If not, the task is stopped
/// without a checkpoint.
bool worth_checkpointing(const Assignment& assignment, TimePoint now);

/// Time that a stop costs: the run time to repeat, or the time to write the checkpoint.
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

  /// Observer that is called with each machine before it changes or is erased. A snapshot that is
  /// written in several steps uses it to keep the earlier state of the machine.
  using BeforeChange = std::function<void(const Machine&)>;
  void set_change_observer(BeforeChange observer) { before_change_ = std::move(observer); }
  /// Must be called before any change of a machine (tests/history/history_test.cpp checks this in
  /// the simulation).
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

  /// Marks an image as the most recently used one of the machine, and evicts the least recently
  /// used images while the cache is over its size. `present`: false if the fetch has only begun;
  /// this does not change an image that is present already.
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
