#include "core/scaler.hpp"

#include <algorithm>

namespace violetpulley::core {

bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot_allowed) return false;
  if (spec.zone && *spec.zone != zone) return false;
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

double rental_score(const Resources& used, const MachineType& type, double price,
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

std::optional<RentalChoice> choose_rental(const std::vector<ScalerTask>& leftovers,
                                          const std::vector<RentalOption>& options,
                                          const MayRent& may_rent) {
  Resources smallest{1e18, 1e18, 1e18};
  for (const auto& option : options) {
    const auto& capacity = option.type->capacity;
    smallest.cpus = std::min(smallest.cpus, capacity.cpus);
    smallest.memory_gb = std::min(smallest.memory_gb, capacity.memory_gb);
    if (capacity.gpus > 0) smallest.gpus = std::min(smallest.gpus, capacity.gpus);
  }
  std::optional<RentalChoice> best;
  for (const auto& option : options) {
    // The groups for this option grow by the next longest task that fits and may run there; a
    // task that may not run there is left for another option.
    std::vector<std::size_t> group;
    Resources used;
    for (std::size_t i = 0; i < leftovers.size(); ++i) {
      const auto& spec = *leftovers[i].spec;
      if (!allowed_on(spec, option.type->name, option.zone, option.spot)) continue;
      if (!spec.per_task.fits_in(option.type->capacity) || !may_rent(spec, option)) continue;
      const auto grown = used + spec.per_task;
      if (!grown.fits_in(option.type->capacity)) break;
      used = grown;
      group.push_back(i);
      const double score = rental_score(used, *option.type, option.price, smallest);
      if (!best || score > best->score * (1 + 1e-9)) best = RentalChoice{option, group, score};
    }
  }
  return best;
}

}  // namespace violetpulley::core
