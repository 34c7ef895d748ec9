// What can be rented now: types in zones and kinds, less those that were refused lately (paper 3.3;
// DESIGN, "Expected trouble"). Owns when each was asked for last and which ones rest.
#pragma once

#include "core/autoscaling/scaler.hpp"
#include "core/model/catalog.hpp"

namespace violetpulley::core {

class InstanceOfferings {
 public:
  explicit InstanceOfferings(const Catalog& catalog) : catalog_(catalog) {}

  // Those asked for longest ago come first.
  std::vector<InstanceOffering> options(TimePoint now) const;
  // Whether a machine for the job can be rented in the zone; any zone if empty.
  bool rentable(const JobSpec& spec, const std::string& region, TimePoint now) const;

  void asked(const OfferingKey& option, TimePoint now) { last_requested_[option] = now; }
  TimePoint last_requested(const OfferingKey& option) const {
    const auto found = last_requested_.find(option);
    return found == last_requested_.end() ? TimePoint{} : found->second;
  }
  // Refused: not asked for until then.
  void start_cooldown(const OfferingKey& option, TimePoint until) { cooldowns_[option] = until; }
  const std::map<OfferingKey, TimePoint>& cooldowns() const { return cooldowns_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.cooldowns_, s.last_requested_);
  }

 private:
  const Catalog& catalog_;
  std::map<OfferingKey, TimePoint> cooldowns_;
  std::map<OfferingKey, TimePoint> last_requested_;
};

}  // namespace violetpulley::core
