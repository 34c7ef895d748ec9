// Vocabulary shared by the whole core. Wire names never appear here: the codecs translate them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetpulley::core {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;
using Seconds = std::chrono::duration<double>;

using JobId = std::string;
using MachineId = std::string;
using FencingToken = std::uint64_t;
using Revision = std::uint64_t;
using Attempt = std::uint64_t;
using TaskIndex = std::uint32_t;

inline Duration to_duration(Seconds seconds) {
  return std::chrono::duration_cast<Duration>(seconds);
}

// What is kept in saves and events names its fields in `fields`, in the order in which they are
// written (src/history/pack.hpp): new ones go to the end, under a new version of the format.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double n) {
    return {a.cpus * n, a.gpus * n, a.memory_gb * n};
  }

  // Amounts are decimal numbers, so sums may be off by a rounding error.
  static constexpr double kSlack = 1e-6;
  bool fits_in(const Resources& room) const {
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.cpus, s.gpus, s.memory_gb);
  }
};

enum class Shape { array, gang, service };

// Replicas run until their job is cancelled: in place of an estimate they count as endless, which
// gives them a bin of their own above all others (docs/design.md, "Services").
inline constexpr Seconds kEndless{1e7};
enum class Priority { idle, normal, high, production };

struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  TaskIndex tasks = 0;
  Resources per_task;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::optional<std::string> zone;
  bool same_zone = false;
  bool spread = false;
  bool spot_allowed = false;
  Seconds estimate{0};
  Seconds checkpoint_every{0};
  Seconds checkpoint_time{0};
  std::optional<Seconds> deadline;  // from submission
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.job_class, s.team, s.shape, s.priority, s.tasks, s.per_task, s.image, s.image_gb,
      s.types, s.zone, s.same_zone, s.spread, s.spot_allowed, s.estimate, s.checkpoint_every,
      s.checkpoint_time, s.deadline);
  }
};

struct JobRecord {
  JobSpec spec;
  WallTime submitted{};
  Revision revision = 0;  // of the transaction that accepted the job
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.spec, s.submitted, s.revision);
  }
};

enum class FinalState { done, cancelled };

struct Team {
  std::string name;
  double guaranteed_cpus = 0;  // 0: no guarantee
  double max_cpus = 0;         // 0: no limit
  double guaranteed_gpus = 0;
  double max_gpus = 0;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.guaranteed_cpus, s.max_cpus, s.guaranteed_gpus, s.max_gpus);
  }
};

struct MachineType {
  std::string name;
  Resources capacity;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Seconds boot{0};
  std::vector<std::string> zones;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.name, s.capacity, s.cache_gb, s.fetch_gb_per_s, s.price, s.spot_price, s.boot, s.zones);
  }
};

// What machines differ in when they are rented.
struct OfferingKey {
  std::string type;
  std::string zone;
  bool spot = false;
  friend auto operator<=>(const OfferingKey&, const OfferingKey&) = default;

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.type, s.zone, s.spot);
  }
};

enum class TaskState { fetching, waiting, running, checkpointing, exited };
enum class ExitCause {
  none,
  done,
  stopped,
  peers_gone,
  incomplete,
  error,
  no_capacity,
  busy,
  unknown
};

struct TaskKey {
  JobId job;
  TaskIndex index = 0;
  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.job, s.index);
  }
};

struct TaskStatus {
  TaskKey task;
  Attempt attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool stored = false;  // its progress was saved when it was stopped
  friend bool operator==(const TaskStatus&, const TaskStatus&) = default;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.task, s.attempt, s.state, s.cause, s.stored);
  }
};

struct Heartbeat {
  MachineId machine;
  std::string endpoint;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t epoch = 0;
  std::uint64_t heartbeat_sequence = 0;
  FencingToken token = 0;
  std::optional<Seconds> notice;
  std::vector<TaskStatus> tasks;
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.machine, s.endpoint, s.type, s.zone, s.spot, s.epoch, s.heartbeat_sequence, s.token,
      s.notice, s.tasks);
  }
};

enum class CommandType { start, stop, acknowledge };

struct Command {
  CommandType type = CommandType::start;
  TaskKey task;
  Attempt attempt = 0;
  Seconds grace{0};
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.type, s.task, s.attempt, s.grace);
  }
};

// What the platform's settings file says about workers and the services around us.
struct WorkerTimes {
  Seconds heartbeat_interval{3};
  Seconds lease{27};
  Seconds cancel{47};
  Seconds gang_wait{35};
  Seconds gang_peer{4};
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.heartbeat_interval, s.lease, s.cancel, s.gang_wait, s.gang_peer);
  }
};

// Starting values of the design's open constants; operators may change them in YAML.
struct Tuning {
  Seconds bin_unit{1};
  Seconds round{2};
  Seconds quick_round{0.1};
  Seconds consolidation_wait{30};
  double consolidation_threshold = 0.5;
  Seconds idle_wait{25};
  double boot_late_factor = 2.0;
  Seconds refused_cooldown{15};
  Seconds silent_after{7};
  Seconds lost_after{9};
  Seconds lost_after_failover{5};
  bool bound_tasks_may_move = true;
  int quarantine_errors = 3;
  Seconds on_demand_patience{40};
  Seconds on_demand_idle_wait{10};
  bool commit_starts = false;              // of gangs and services, before they are sent
  std::size_t max_commands_in_flight = 0;  // order lists under way; 0: as the sockets allow
  double max_declared_dead_share = 0.25;   // of the machines, returned early after a takeover
  double still_alive = 0.1;                // of machines that two asks did not reach
  Seconds begin_within{240};               // the operators' word for every job, the largest too
  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.bin_unit, s.round, s.quick_round, s.consolidation_wait, s.consolidation_threshold,
      s.idle_wait, s.boot_late_factor, s.refused_cooldown, s.silent_after, s.lost_after,
      s.lost_after_failover, s.bound_tasks_may_move, s.quarantine_errors, s.on_demand_patience,
      s.on_demand_idle_wait, s.commit_starts, s.max_commands_in_flight, s.max_declared_dead_share,
      s.still_alive, s.begin_within);
  }
};

}  // namespace violetpulley::core
