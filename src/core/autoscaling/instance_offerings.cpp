#include "core/autoscaling/instance_offerings.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {

OfferingKey key_of(const InstanceOffering& offering) {
  return {offering.type->name, offering.zone, offering.spot};
}

}  // namespace

bool InstanceOfferings::cooling_down(const OfferingKey& offering, TimePoint now) const {
  const auto cooldown = cooldowns_.find(offering);
  return cooldown != cooldowns_.end() && now < cooldown->second;
}

std::vector<InstanceOffering> InstanceOfferings::available(TimePoint now) const {
  std::vector<InstanceOffering> offerings;
  for (const auto& [name, type] : catalog_.types())
    for (const auto& zone : type.zones)
      for (const bool spot : {true, false}) {
        if (cooling_down({name, zone, spot}, now)) continue;
        const double price = spot ? type.spot_price : type.price;
        if (price > 0) offerings.push_back({&type, zone, spot, price});
      }
  // The first one of several offerings with equal scores is chosen, so this order makes zones
  // alternate.
  std::stable_sort(offerings.begin(), offerings.end(),
                   [&](const InstanceOffering& a, const InstanceOffering& b) {
                     return last_requested(key_of(a)) < last_requested(key_of(b));
                   });
  return offerings;
}

bool InstanceOfferings::can_scale_out(const JobSpec& spec, const std::string& zone,
                                      TimePoint now) const {
  const auto offerings = available(now);
  return std::any_of(offerings.begin(), offerings.end(), [&](const InstanceOffering& offering) {
    return (zone.empty() || offering.zone == zone) &&
           allowed_on(spec, offering.type->name, offering.zone, offering.spot) &&
           spec.per_task.fits_in(offering.type->capacity);
  });
}

}  // namespace violetpulley::core
