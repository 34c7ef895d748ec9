/// @file
/// Chooses machine types jointly with task groups (paper 3.3): the groups are the first i longest
/// unplaced tasks, the score is the normalized used constraining resource over the price. Tasks of
/// one job are alike, so they are counted and not listed: the cost grows with the jobs, not with
/// the tasks.
#pragma once

#include <functional>
#include <map>

#include "core/model/types.hpp"

namespace violetpulley::core {

/// The waiting tasks of one job that no machine has capacity for.
struct ScalerJob {
  const JobSpec* spec = nullptr;
  Seconds estimate{0};
  std::vector<TaskIndex> tasks;
  /// How many more tasks a zone may take; empty: any number.
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

/// An offering and the group of tasks that one machine of it is for.
struct ScaleOutChoice {
  /// Index into the offerings.
  std::size_t offering = 0;
  std::vector<GroupPart> group;
  double score = 0;
};

/// Whether a task may run on a machine of this type in this zone, spot or on demand.
bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

/// Score of a group on a machine type: its use of the constraining resource, in the smallest
/// machine's capacity, over the price. 0 if there is no such resource or no price.
double offering_score(const Resources& used, const MachineType& type, double price,
                      const Resources& smallest);

/// Whether an offering may be requested for a job, beyond what `allowed_on` demands.
using OfferingFilter = std::function<bool(const JobSpec&, const InstanceOffering&)>;

/// Pairs groups of unplaced tasks with offerings, best pair first.
class Scaler {
 public:
  /// How many tasks of a job may go to a zone.
  static std::size_t max_tasks_in(const ScalerJob& job, const std::string& zone);

  /// `unplaced_tasks` are sorted by falling estimate.
  Scaler(
      std::vector<ScalerJob> unplaced_tasks, std::vector<InstanceOffering> offerings,
      const OfferingFilter& may_use_offering = [](const JobSpec&, const InstanceOffering&) {
        return true;
      });

  /// The best pair of group and offering, or none.
  std::optional<ScaleOutChoice> choose() const;
  /// Takes the tasks of one such group off the unplaced tasks.
  std::vector<TaskKey> take(const ScaleOutChoice& choice);
  /// Whether the same choice could be made once more: then it is still the best one.
  bool can_repeat(const ScaleOutChoice& choice) const;

  /// No more of this offering in this round. What would have used it waits for the next round,
  /// unless an offering as cheap remains: tasks must not go to a more expensive one only because
  /// one request is full.
  void exhaust(const ScaleOutChoice& choice);

  const InstanceOffering& offering_of(const ScaleOutChoice& choice) const {
    return offerings_[choice.offering];
  }

 private:
  /// Grows the groups for the offering at this index and keeps the best of them, if it beats
  /// `best`.
  void consider(std::size_t index, std::optional<ScaleOutChoice>& best) const;
  void update_smallest_capacity(const Resources& capacity);
  double price_per_cpu(std::size_t offering) const;

  /// Above any machine's capacity, in each dimension.
  static constexpr double kNoCapacity = 1e18;

  std::vector<ScalerJob> unplaced_tasks_;
  std::vector<InstanceOffering> offerings_;
  /// Whether an offering may be requested for a job, by offering and job.
  std::vector<std::vector<bool>> allowed_;
  Resources smallest_{kNoCapacity, kNoCapacity, kNoCapacity};
};

}  // namespace violetpulley::core
