/// @file
/// Jobs as users submit them and as the state service stores them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/identifiers.hpp"
#include "core/model/resources.hpp"

namespace violetpulley::core {

/// How the tasks of a job run: independently, all at the same time, or as replicas without an end.
enum class Shape { array, gang, service };

/// From the least to the most important.
enum class Priority { idle, normal, high, production };

/// How a job ended.
enum class FinalState { done, cancelled };

/// Run time of a replica, which runs until its job is cancelled: counted as endless in place of an
/// estimate, which gives replicas a run-time bin above all others (docs/design.md, "Services").
inline constexpr Seconds kUnboundedRunTime{1e7};

/// What the user asked for.
struct JobSpec {
  JobId id;
  std::string job_class;  ///< Jobs of a class are alike: their run times are averaged.
  std::string team;
  Shape shape = Shape::array;
  Priority priority = Priority::normal;
  TaskIndex tasks = 0;
  Resources per_task;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;   ///< Machine types that the tasks may use; empty: any.
  std::optional<std::string> zone;  ///< Null: any zone.
  bool same_zone = false;           ///< All tasks in one zone.
  bool spread = false;              ///< At most half of the tasks, rounded up, in one zone.
  bool spot_allowed = false;
  Seconds estimate{0};          ///< Run time of a task as the user expects.
  Seconds checkpoint_every{0};  ///< 0: the tasks never save a checkpoint.
  Seconds checkpoint_time{0};
  std::optional<Seconds> deadline;  ///< Counted from the submission; null: none.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.id, s.job_class, s.team, s.shape, s.priority, s.tasks, s.per_task, s.image, s.image_gb,
      s.types, s.zone, s.same_zone, s.spread, s.spot_allowed, s.estimate, s.checkpoint_every,
      s.checkpoint_time, s.deadline);
  }
};

/// An accepted job.
struct JobRecord {
  JobSpec spec;
  WallTime submitted{};
  Revision revision = 0;  ///< Of the transaction that accepted the job.

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.spec, s.submitted, s.revision);
  }
};

}  // namespace violetpulley::core
