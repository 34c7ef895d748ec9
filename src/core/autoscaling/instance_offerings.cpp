#include "core/autoscaling/instance_offerings.hpp"

#include <algorithm>

namespace violetpulley::core {

std::vector<InstanceOffering> InstanceOfferings::options(TimePoint now) const {
  std::vector<InstanceOffering> options;
  for (const auto& [name, type] : catalog_.types())
    for (const auto& zone : type.zones)
      for (const bool spot : {true, false}) {
        const auto cooldowns = cooldowns_.find({name, zone, spot});
        if (cooldowns != cooldowns_.end() && now < cooldowns->second) continue;
        const double price = spot ? type.spot_price : type.price;
        if (price > 0) options.push_back({&type, zone, spot, price});
      }
  // Of options that score alike the first one is chosen: zones take turns.
  std::stable_sort(options.begin(), options.end(), [&](const auto& x, const auto& y) {
    return last_requested({x.type->name, x.zone, x.spot}) <
           last_requested({y.type->name, y.zone, y.spot});
  });
  return options;
}

bool InstanceOfferings::rentable(const JobSpec& spec, const std::string& region,
                                 TimePoint now) const {
  const auto all = options(now);
  return std::any_of(all.begin(), all.end(), [&](const InstanceOffering& option) {
    return (region.empty() || option.zone == region) &&
           allowed_on(spec, option.type->name, option.zone, option.spot) &&
           spec.per_task.fits_in(option.type->capacity);
  });
}

}  // namespace violetpulley::core
