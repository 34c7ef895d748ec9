// What is to be placed where. Pure values: no clock, no floating point, no randomness. Amounts are
// counted in millionths, so that sums never drift: ten tasks of 0.1 processors fill one exactly.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetpulley::solver {

using Amount = std::int64_t;  // millionths
inline constexpr Amount kOne = 1'000'000;

enum Resource : std::size_t { cpus, gpus, memory_gb };
inline constexpr std::size_t kResources = 3;
inline constexpr std::array<const char*, kResources> kResourceNames{"cpus", "gpus", "memory"};

struct Resources {
  std::array<Amount, kResources> amounts{};

  Resources& operator+=(const Resources& other) {
    for (std::size_t r = 0; r < kResources; ++r) amounts[r] += other.amounts[r];
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    for (std::size_t r = 0; r < kResources; ++r) amounts[r] -= other.amounts[r];
    return *this;
  }
  friend Resources operator*(const Resources& resources, std::int64_t factor) {
    Resources out;
    for (std::size_t r = 0; r < kResources; ++r) out.amounts[r] = resources.amounts[r] * factor;
    return out;
  }
  friend auto operator<=>(const Resources&, const Resources&) = default;
};

struct Machine {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  bool rented = true;  // false: it could be asked for
  Resources capacity;
  Amount price = 0;  // an hour
};

// What a task may not do without a limit is 0.
struct Team {
  std::string name;
  Resources guaranteed;
  Resources limit;
};

enum class Shape { array, gang, service };

struct Job {
  std::string id;
  std::string team;  // empty: none
  Shape shape = Shape::array;
  int priority = 0;  // greater ones go first
  std::uint32_t tasks = 1;
  Resources per_task;
  std::vector<std::string> types;   // empty: any
  std::optional<std::string> zone;  // none: any
  bool same_zone = false;
  bool spread = false;       // half of the tasks, rounded up, in one zone at most
  bool spot_allowed = true;  // may run on spot machines
  int bin = 0;               // of its remaining run time, as DESIGN counts them
  bool movable = false;
  Amount loss = 0;  // of one task that is stopped, or moved
  // How many of its tasks run on each machine now; empty: none runs.
  std::vector<std::uint32_t> running_tasks;

  std::uint32_t running_on(std::size_t machine) const {
    return running_tasks.empty() ? 0 : running_tasks[machine];
  }
  // What one placed task counts among jobs of one priority.
  Amount weight() const;
};

struct Problem {
  std::vector<Machine> machines;
  std::vector<Job> jobs;
  std::vector<Team> teams;
};

// How many tasks of each job are on each machine: [job][machine].
using Placement = std::vector<std::vector<std::uint32_t>>;

// The aim, in the order of comparing.
struct Score {
  Amount guaranteed = 0;       // of the teams' guarantees that is used
  std::vector<Amount> placed;  // weight by priority, the greatest first
  Amount loss = 0;
  std::int64_t machines = 0;  // that hold a task
  Amount price = 0;           // theirs, and what mixing bins on one costs later

  bool better_than(const Score& other) const;
  friend bool operator==(const Score&, const Score&) = default;
};

// Which of a job's wishes about its place are dropped, to find out what keeps it out.
struct Relaxation {
  std::array<bool, kResources> resources{};  // there is always enough of it
  bool types = false;
  bool zone = false;
  bool spot = false;
  bool same_zone = false;
  bool spread = false;
  bool team = false;
};

bool allowed_on(const Job& job, const Machine& machine, const Relaxation& relaxed = {});
// How many tasks of a spread job may be in one zone.
std::uint32_t max_tasks_in_zone(const Job& job);
// The placement as it is now; `movable` false: without what may be moved.
Placement current_placement(const Problem& problem, bool movable = true);
Score score_of(const Problem& problem, const Placement& placement);
// The first limit that a placement breaks, in words; none: it keeps all.
std::optional<std::string> broken_limit(const Problem& problem, const Placement& placement);
// What the longest of its tasks costs beside shorter ones: a machine with mixed bins is kept half
// empty later (DESIGN: tasks of one bin end together).
Amount mixing_cost(const Machine& machine, int min_bin, int max_bin);
// The priorities of all jobs, the greatest first.
std::vector<int> priorities_of(const Problem& problem);
const Team* team_of(const Problem& problem, const Job& job);

}  // namespace violetpulley::solver
