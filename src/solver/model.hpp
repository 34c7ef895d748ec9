/// @file
/// The placement problem: machines, jobs, teams, placements and their score. Plain values that
/// depend on no clock and no randomness. Amounts are integers in millionths, so that sums are
/// exact: ten tasks of 0.1 processors fill one processor.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetpulley::solver {

/// In millionths of a unit.
using Amount = std::int64_t;
inline constexpr Amount kOne = 1'000'000;

enum Resource : std::size_t { cpus, gpus, memory_gb };
inline constexpr std::size_t kResourceCount = 3;
inline constexpr std::array<const char*, kResourceCount> kResourceNames{"cpus", "gpus", "memory"};

struct Resources {
  std::array<Amount, kResourceCount> amounts{};

  Resources& operator+=(const Resources& other) {
    for (std::size_t r = 0; r < kResourceCount; ++r) amounts[r] += other.amounts[r];
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    for (std::size_t r = 0; r < kResourceCount; ++r) amounts[r] -= other.amounts[r];
    return *this;
  }
  friend Resources operator*(const Resources& resources, std::int64_t factor) {
    Resources out;
    for (std::size_t r = 0; r < kResourceCount; ++r) out.amounts[r] = resources.amounts[r] * factor;
    return out;
  }
  friend auto operator<=>(const Resources&, const Resources&) = default;
};

struct Machine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool rented = true;  ///< false: could be rented
  Resources capacity;
  Amount price = 0;  ///< per hour
};

/// Guaranteed and maximum use of a team; a limit of 0 means no limit.
struct Team {
  std::string name;
  Resources guaranteed;
  Resources limit;
};

enum class Shape { array, gang, service };

struct Job {
  std::string id;
  std::string team;  ///< empty: none
  Shape shape = Shape::array;
  int priority = 0;  ///< greater values go first
  std::uint32_t tasks = 1;
  Resources per_task;
  std::vector<std::string> types;   ///< allowed machine types; empty: any
  std::optional<std::string> zone;  ///< none: any
  bool same_zone = false;
  bool spread = false;  ///< at most half of the tasks, rounded up, in one zone
  bool spot_allowed = true;
  int bin = 0;  ///< run-time bin of the remaining run time (DESIGN)
  bool movable = false;
  Amount loss = 0;  ///< lost work of one task that is stopped or moved
  /// Tasks that run now, by machine; empty: no task runs.
  std::vector<std::uint32_t> running_tasks;

  std::uint32_t running_on(std::size_t machine) const {
    return running_tasks.empty() ? 0 : running_tasks[machine];
  }
  /// Weight of one placed task in `Score::placed`.
  Amount weight() const;
};

struct Problem {
  std::vector<Machine> machines;
  std::vector<Job> jobs;
  std::vector<Team> teams;
};

/// Number of tasks by job and machine: [job][machine].
using Placement = std::vector<std::vector<std::uint32_t>>;

/// Value of a placement. Fields are compared in this order.
struct Score {
  Amount guaranteed = 0;       ///< used part of the teams' guarantees
  std::vector<Amount> placed;  ///< weight of placed tasks by priority, the highest first
  Amount loss = 0;
  std::int64_t machines = 0;  ///< machines with tasks
  Amount price = 0;           ///< of these machines, and their mixing cost

  bool better_than(const Score& other) const;
  friend bool operator==(const Score&, const Score&) = default;
};

/// Constraints that are ignored, to find out which of them keep a job from being placed.
struct Relaxation {
  std::array<bool, kResourceCount> resources{};  ///< capacity of the machine
  bool types = false;
  bool zone = false;
  bool spot = false;
  bool same_zone = false;
  bool spread = false;
  bool team = false;
};

bool allowed_on(const Job& job, const Machine& machine, const Relaxation& relaxed = {});
/// Number of tasks of a spread job that may be in one zone.
std::uint32_t max_tasks_in_zone(const Job& job);
/// Placement of the tasks that run now; `movable` false: only of those that may not be moved.
Placement current_placement(const Problem& problem, bool movable = true);
Score score_of(const Problem& problem, const Placement& placement);
/// Describes the first limit that a placement breaks; none: it keeps all limits.
std::optional<std::string> broken_limit(const Problem& problem, const Placement& placement);
/// Added to the price of a machine whose tasks have different run-time bins: when the shorter tasks
/// have ended, the machine is paid for although it is partly empty (DESIGN: tasks of one bin end
/// together).
Amount mixing_cost(const Machine& machine, int min_bin, int max_bin);
/// Distinct priorities of all jobs, the highest first.
std::vector<int> priorities_of(const Problem& problem);
const Team* team_of(const Problem& problem, const Job& job);

}  // namespace violetpulley::solver
