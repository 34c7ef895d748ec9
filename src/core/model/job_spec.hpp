/// @file
/// Jobs as users submit them and as the state service stores them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/identifiers.hpp"
#include "core/model/resources.hpp"

namespace violetpulley::core {

/// How the tasks of a job run: independently (`array`), all at the same time (`gang`), or as
/// replicas until the job is cancelled (`service`).
enum class Shape { array, gang, service };

/// In ascending order of importance.
enum class Priority { idle, normal, high, production };

/// How a job ended.
enum class FinalState { done, cancelled };

/// Expected run time of a replica, which runs until its job is cancelled. It replaces the user's
/// estimate and puts replicas into a run-time bin above all others (docs/design.md, "Services").
inline constexpr Seconds kUnboundedRunTime{1e7};

/// A job as the user submitted it.
struct JobSpec {
  JobId id;
  std::string job_class;  ///< Run times are averaged over the jobs of a class.
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
  Seconds estimate{0};          ///< Run time of a task expected by the user.
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
