/// @file
/// Chooses machine types jointly with task groups (paper 3.3). A group consists of the i longest
/// unplaced tasks; its score is the normalized use of the constraining resource divided by the
/// price. The tasks of one job are equal, so groups hold only their number, and the cost of a
/// choice grows with the number of jobs rather than tasks. Owns the unplaced tasks and the
/// offerings while a scale-out is planned.
#pragma once

#include <functional>
#include <map>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// The waiting tasks of one job for which no machine has capacity.
struct ScalerJob {
  const JobSpec* spec = nullptr;
  Seconds estimate{0};
  std::vector<TaskIndex> tasks;
  /// Number of further tasks that each zone may take; empty: unlimited.
  std::map<std::string, TaskIndex> zone_capacity{};
};

/// A machine type in a zone, spot or on demand, with its price.
struct InstanceOffering {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;
};

/// The tasks of one job within a group.
struct GroupPart {
  /// Index into the unplaced tasks.
  std::size_t job = 0;
  std::size_t tasks = 0;
};

/// An offering and the group of tasks that one of its machines would take.
struct ScaleOutChoice {
  /// Index into the offerings.
  std::size_t offering = 0;
  std::vector<GroupPart> group;
  double score = 0;
};

/// Whether the job's tasks may run on a machine of this type in this zone, spot or on demand.
bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

/// Score of a group on a machine type: the use of the constraining resource, in units of the
/// smallest capacity of any type, divided by the price. 0 if there is no such resource or no price.
double offering_score(const Resources& used, const MachineType& type, double price,
                      const Resources& smallest);

/// Whether an offering may be requested for a job; checked in addition to `allowed_on`.
using OfferingFilter = std::function<bool(const JobSpec&, const InstanceOffering&)>;

/// Selects pairs of a task group and an offering, the best pair first.
class Scaler {
 public:
  /// Number of the job's unplaced tasks that the zone may take.
  static std::size_t max_tasks_in(const ScalerJob& job, const std::string& zone);

  /// `unplaced_tasks` must be sorted by descending estimate.
  Scaler(
      std::vector<ScalerJob> unplaced_tasks, std::vector<InstanceOffering> offerings,
      const OfferingFilter& may_use_offering = [](const JobSpec&, const InstanceOffering&) {
        return true;
      });

  /// The best pair of group and offering; nullopt if no offering takes any task.
  std::optional<ScaleOutChoice> choose() const;
  /// Removes the tasks of one such group from the unplaced tasks and returns them.
  std::vector<TaskKey> take(const ScaleOutChoice& choice);
  /// Whether enough tasks are left to make the same choice again. If so, it is still the best one.
  bool can_repeat(const ScaleOutChoice& choice) const;

  /// Excludes the offering for the rest of the round, because its request is full. The tasks that
  /// may use it then use only other offerings that are as cheap, or wait for the next round, so
  /// that no task gets a more expensive machine only because one request is full.
  void exhaust(const ScaleOutChoice& choice);

  const InstanceOffering& offering_of(const ScaleOutChoice& choice) const {
    return offerings_[choice.offering];
  }

 private:
  /// Scores the groups for the offering at this index and replaces `best` if one of them scores
  /// higher.
  void consider(std::size_t index, std::optional<ScaleOutChoice>& best) const;
  void update_smallest_capacity(const Resources& capacity);
  double price_per_cpu(std::size_t offering) const;

  /// Initial value for the search for the smallest capacity; above the capacity of any machine.
  static constexpr double kNoCapacity = 1e18;

  std::vector<ScalerJob> unplaced_tasks_;
  std::vector<InstanceOffering> offerings_;
  /// Whether an offering may be requested for a job, by offering and job.
  std::vector<std::vector<bool>> allowed_;
  Resources smallest_{kNoCapacity, kNoCapacity, kNoCapacity};
};

}  // namespace violetpulley::core
