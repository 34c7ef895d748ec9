// Chooses machine types jointly with task groups (paper 3.3): the groups are the first i longest
// leftovers, the score is the normalized used constraining resource over the price. Tasks of one
// job are alike, so they are counted and not listed: the work grows with the jobs, not with the
// tasks.
#pragma once

#include <functional>
#include <map>

#include "core/model/types.hpp"

namespace violetpulley::core {

// The waiting tasks of one job that no machine has room for.
struct ScalerJob {
  const JobSpec* spec = nullptr;
  Seconds estimate{0};
  std::vector<TaskIndex> tasks;
  std::map<std::string, TaskIndex>
      zone_capacity{};  // how many more a zone may take; empty: any number
};

struct InstanceOffering {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;
};

struct GroupPart {
  std::size_t job = 0;  // index into the leftovers
  std::size_t tasks = 0;
};

struct ScaleOutChoice {
  std::size_t option = 0;  // index into the options
  std::vector<GroupPart> group;
  double score = 0;
};

// Whether a task may run on what the option rents.
bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

double offering_score(const Resources& used, const MachineType& type, double price,
                      const Resources& smallest);

// Further reasons not to rent an option for a job.
using OfferingFilter = std::function<bool(const JobSpec&, const InstanceOffering&)>;

class Scaler {
 public:
  // How many tasks of a job may go to a zone.
  static std::size_t max_tasks_in(const ScalerJob& job, const std::string& zone);

  // `leftovers` are sorted by falling estimate.
  Scaler(
      std::vector<ScalerJob> unplaced_tasks, std::vector<InstanceOffering> options,
      const OfferingFilter& may_use_offering = [](const JobSpec&, const InstanceOffering&) {
        return true;
      });

  // The best pair of group and option, or none.
  std::optional<ScaleOutChoice> choose() const;
  // Takes the tasks of one such group off the leftovers.
  std::vector<TaskKey> take(const ScaleOutChoice& choice);
  // Whether the same choice could be made once more: then it is still the best one.
  bool repeats(const ScaleOutChoice& choice) const;

  // No more of this option in this round. What would have used it waits for the next one, unless
  // an option as cheap remains: it must not go to a dearer one only because one request is full.
  void exhaust(const ScaleOutChoice& choice);

  const InstanceOffering& option(const ScaleOutChoice& choice) const {
    return options_[choice.option];
  }

 private:
  std::vector<ScalerJob> unplaced_tasks_;
  std::vector<InstanceOffering> options_;
  std::vector<std::vector<bool>> rentable_;  // by option and job
  Resources smallest_{1e18, 1e18, 1e18};
};

}  // namespace violetpulley::core
