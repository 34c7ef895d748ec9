#include "core/market.hpp"

#include <algorithm>

namespace violetpulley::core {

std::vector<RentalOption> Market::options(TimePoint now) const {
  std::vector<RentalOption> options;
  for (const auto& [name, type] : catalog_.types())
    for (const auto& zone : type.zones)
      for (const bool spot : {true, false}) {
        const auto resting = resting_.find({name, zone, spot});
        if (resting != resting_.end() && now < resting->second) continue;
        const double price = spot ? type.spot_price : type.price;
        if (price > 0) options.push_back({&type, zone, spot, price});
      }
  // Of options that score alike the first one is chosen: zones take turns.
  std::stable_sort(options.begin(), options.end(), [&](const auto& x, const auto& y) {
    return last_asked({x.type->name, x.zone, x.spot}) < last_asked({y.type->name, y.zone, y.spot});
  });
  return options;
}

bool Market::rentable(const JobSpec& spec, const std::string& region, TimePoint now) const {
  const auto all = options(now);
  return std::any_of(all.begin(), all.end(), [&](const RentalOption& option) {
    return (region.empty() || option.zone == region) &&
           allowed_on(spec, option.type->name, option.zone, option.spot) &&
           spec.per_task.fits_in(option.type->capacity);
  });
}

}  // namespace violetpulley::core
