#include "core/autoscaling/scaler.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {

/// Prices per CPU that differ by less than this factor count as equal.
constexpr double kAsCheapFactor = 1.05;
/// Relative difference below which scores count as equal, so that rounding errors decide nothing.
constexpr double kScoreTolerance = 1e-9;
/// Divisor in place of the CPUs of a machine type that has none.
constexpr double kMinCpus = 1e-9;

}  // namespace

bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot_allowed) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

double offering_score(const Resources& used, const MachineType& type, double price,
                      const Resources& smallest) {
  struct Dimension {
    double used;
    double capacity;
    double smallest;
  };
  const Dimension dimensions[] = {
      {used.cpus, type.capacity.cpus, smallest.cpus},
      {used.gpus, type.capacity.gpus, smallest.gpus},
      {used.memory_gb, type.capacity.memory_gb, smallest.memory_gb},
  };
  const Dimension* constraining = nullptr;
  double max_share = -1;
  for (const auto& dimension : dimensions) {
    if (dimension.capacity <= 0) continue;
    const double share = dimension.used / dimension.capacity;
    if (share > max_share) {
      max_share = share;
      constraining = &dimension;
    }
  }
  if (constraining == nullptr || price <= 0 || constraining->smallest <= 0) return 0;
  return constraining->used / constraining->smallest / price;
}

Scaler::Scaler(std::vector<ScalerJob> unplaced_tasks, std::vector<InstanceOffering> offerings,
               const OfferingFilter& may_use_offering)
    : unplaced_tasks_(std::move(unplaced_tasks)), offerings_(std::move(offerings)) {
  for (const auto& offering : offerings_) {
    const auto& capacity = offering.type->capacity;
    update_smallest_capacity(capacity);
    std::vector<bool> allowed;
    for (const auto& job : unplaced_tasks_)
      allowed.push_back(allowed_on(*job.spec, offering.type->name, offering.zone, offering.spot) &&
                        job.spec->per_task.fits_in(capacity) &&
                        may_use_offering(*job.spec, offering));
    allowed_.push_back(std::move(allowed));
  }
}

void Scaler::update_smallest_capacity(const Resources& capacity) {
  smallest_.cpus = std::min(smallest_.cpus, capacity.cpus);
  smallest_.memory_gb = std::min(smallest_.memory_gb, capacity.memory_gb);
  if (capacity.gpus > 0) smallest_.gpus = std::min(smallest_.gpus, capacity.gpus);
}

std::size_t Scaler::max_tasks_in(const ScalerJob& job, const std::string& zone) {
  if (job.zone_capacity.empty()) return job.tasks.size();
  const auto capacity = job.zone_capacity.find(zone);
  if (capacity == job.zone_capacity.end()) return 0;
  return std::min<std::size_t>(job.tasks.size(), capacity->second);
}

std::optional<ScaleOutChoice> Scaler::choose() const {
  std::optional<ScaleOutChoice> best;
  for (std::size_t offering = 0; offering < offerings_.size(); ++offering) consider(offering, best);
  return best;
}

// A group for an offering grows by the next longest task that may run there, until a task does not
// fit. Tasks that may not run there are left for other offerings.
void Scaler::consider(std::size_t index, std::optional<ScaleOutChoice>& best) const {
  const auto& offering = offerings_[index];
  std::vector<GroupPart> group;
  Resources used;
  for (std::size_t job_index = 0; job_index < unplaced_tasks_.size(); ++job_index) {
    const auto& job = unplaced_tasks_[job_index];
    if (job.tasks.empty() || !allowed_[index][job_index]) continue;
    group.push_back({job_index, 0});
    const auto max_tasks = max_tasks_in(job, offering.zone);
    while (group.back().tasks < max_tasks) {
      const auto grown = used + job.spec->per_task;
      if (!grown.fits_in(offering.type->capacity)) return;
      used = grown;
      ++group.back().tasks;
      const double score = offering_score(used, *offering.type, offering.price, smallest_);
      if (!best || score > best->score * (1 + kScoreTolerance))
        best = ScaleOutChoice{index, group, score};
    }
  }
}

std::vector<TaskKey> Scaler::take(const ScaleOutChoice& choice) {
  std::vector<TaskKey> taken;
  for (const auto& part : choice.group) {
    auto& job = unplaced_tasks_[part.job];
    for (std::size_t count = 0; count < part.tasks; ++count) {
      taken.push_back({job.spec->id, job.tasks.back()});
      job.tasks.pop_back();
    }
    if (!job.zone_capacity.empty())
      job.zone_capacity[offerings_[choice.offering].zone] -= static_cast<TaskIndex>(part.tasks);
  }
  return taken;
}

double Scaler::price_per_cpu(std::size_t offering) const {
  const auto& capacity = offerings_[offering].type->capacity;
  return offerings_[offering].price / std::max(capacity.cpus, kMinCpus);
}

void Scaler::exhaust(const ScaleOutChoice& choice) {
  const auto served = allowed_[choice.offering];
  const double max_price = price_per_cpu(choice.offering) * kAsCheapFactor;
  for (std::size_t offering = 0; offering < offerings_.size(); ++offering) {
    if (offering != choice.offering && price_per_cpu(offering) <= max_price) continue;
    for (std::size_t job = 0; job < served.size(); ++job)
      if (served[job]) allowed_[offering][job] = false;
  }
}

bool Scaler::can_repeat(const ScaleOutChoice& choice) const {
  return std::all_of(choice.group.begin(), choice.group.end(), [&](const GroupPart& part) {
    return max_tasks_in(unplaced_tasks_[part.job], offerings_[choice.offering].zone) >= part.tasks;
  });
}

}  // namespace violetpulley::core
