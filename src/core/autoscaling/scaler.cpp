#include "core/autoscaling/scaler.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr double kAsCheap = 1.05;
}

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
  double highest = -1;
  for (const auto& dimension : dimensions) {
    if (dimension.capacity <= 0) continue;
    const double use = dimension.used / dimension.capacity;
    if (use > highest) {
      highest = use;
      constraining = &dimension;
    }
  }
  if (constraining == nullptr || price <= 0 || constraining->smallest <= 0) return 0;
  return constraining->used / constraining->smallest / price;
}

Scaler::Scaler(std::vector<ScalerJob> unplaced_tasks, std::vector<InstanceOffering> options,
               const OfferingFilter& may_use_offering)
    : unplaced_tasks_(std::move(unplaced_tasks)), options_(std::move(options)) {
  for (const auto& option : options_) {
    const auto& capacity = option.type->capacity;
    smallest_.cpus = std::min(smallest_.cpus, capacity.cpus);
    smallest_.memory_gb = std::min(smallest_.memory_gb, capacity.memory_gb);
    if (capacity.gpus > 0) smallest_.gpus = std::min(smallest_.gpus, capacity.gpus);
    std::vector<bool> rentable;
    for (const auto& job : unplaced_tasks_)
      rentable.push_back(allowed_on(*job.spec, option.type->name, option.zone, option.spot) &&
                         job.spec->per_task.fits_in(capacity) &&
                         may_use_offering(*job.spec, option));
    rentable_.push_back(std::move(rentable));
  }
}

std::size_t Scaler::max_tasks_in(const ScalerJob& job, const std::string& zone) {
  if (job.zone_capacity.empty()) return job.tasks.size();
  const auto room = job.zone_capacity.find(zone);
  return room == job.zone_capacity.end() ? 0
                                         : std::min<std::size_t>(job.tasks.size(), room->second);
}

std::optional<ScaleOutChoice> Scaler::choose() const {
  std::optional<ScaleOutChoice> best;
  for (std::size_t at = 0; at < options_.size(); ++at) {
    const auto& option = options_[at];
    // The groups for this option grow by the next longest task that fits and may run there; a
    // task that may not run there is left for another option.
    std::vector<GroupPart> group;
    Resources used;
    bool full = false;
    for (std::size_t i = 0; i < unplaced_tasks_.size() && !full; ++i) {
      const auto& job = unplaced_tasks_[i];
      if (job.tasks.empty() || !rentable_[at][i]) continue;
      group.push_back({i, 0});
      const auto most = max_tasks_in(job, option.zone);
      for (std::size_t n = 0; n < most; ++n) {
        const auto grown = used + job.spec->per_task;
        full = !grown.fits_in(option.type->capacity);
        if (full) break;
        used = grown;
        ++group.back().tasks;
        const double score = offering_score(used, *option.type, option.price, smallest_);
        if (!best || score > best->score * (1 + 1e-9)) best = ScaleOutChoice{at, group, score};
      }
    }
  }
  return best;
}

std::vector<TaskKey> Scaler::take(const ScaleOutChoice& choice) {
  std::vector<TaskKey> out;
  for (const auto& part : choice.group) {
    auto& job = unplaced_tasks_[part.job];
    for (std::size_t n = 0; n < part.tasks; ++n) {
      out.push_back({job.spec->id, job.tasks.back()});
      job.tasks.pop_back();
    }
    if (!job.zone_capacity.empty())
      job.zone_capacity[options_[choice.option].zone] -= static_cast<TaskIndex>(part.tasks);
  }
  return out;
}

void Scaler::exhaust(const ScaleOutChoice& choice) {
  const auto unit_price = [&](std::size_t at) {
    const auto& capacity = options_[at].type->capacity;
    return options_[at].price / std::max(capacity.cpus, 1e-9);
  };
  const auto served = rentable_[choice.option];
  const double most = unit_price(choice.option) * kAsCheap;
  for (std::size_t at = 0; at < options_.size(); ++at)
    for (std::size_t job = 0; job < served.size(); ++job)
      if (served[job] && (at == choice.option || unit_price(at) > most)) rentable_[at][job] = false;
}

bool Scaler::repeats(const ScaleOutChoice& choice) const {
  return std::all_of(choice.group.begin(), choice.group.end(), [&](const GroupPart& part) {
    return max_tasks_in(unplaced_tasks_[part.job], options_[choice.option].zone) >= part.tasks;
  });
}

}  // namespace violetpulley::core
