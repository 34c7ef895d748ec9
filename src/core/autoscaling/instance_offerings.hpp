/// @file
/// Instance offerings that can be requested now: machine types in zones, spot and on demand, less
/// those that were refused lately (paper 3.3; DESIGN, "Expected trouble"). Owns the time of each
/// offering's last request and the cooldowns.
#pragma once

#include "core/autoscaling/scaler.hpp"
#include "core/model/catalog.hpp"

namespace violetpulley::core {

/// The offerings of the catalog, with their cooldowns.
class InstanceOfferings {
 public:
  explicit InstanceOfferings(const Catalog& catalog) : catalog_(catalog) {}

  /// All offerings that have a price and no cooldown, those requested longest ago first.
  std::vector<InstanceOffering> available(TimePoint now) const;
  /// Whether a machine for the job can be requested in the zone; in any zone if empty.
  bool can_scale_out(const JobSpec& spec, const std::string& zone, TimePoint now) const;

  void record_request(const OfferingKey& offering, TimePoint now) {
    last_requested_[offering] = now;
  }
  /// The epoch of the clock if the offering was never requested.
  TimePoint last_requested(const OfferingKey& offering) const {
    const auto found = last_requested_.find(offering);
    return found == last_requested_.end() ? TimePoint{} : found->second;
  }
  /// The offering was refused: it is not requested before `until`.
  void start_cooldown(const OfferingKey& offering, TimePoint until) {
    cooldowns_[offering] = until;
  }
  /// The end of each offering's last cooldown, which may be past.
  const std::map<OfferingKey, TimePoint>& cooldowns() const { return cooldowns_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.cooldowns_, s.last_requested_);
  }

 private:
  bool cooling_down(const OfferingKey& offering, TimePoint now) const;

  const Catalog& catalog_;
  std::map<OfferingKey, TimePoint> cooldowns_;
  std::map<OfferingKey, TimePoint> last_requested_;
};

}  // namespace violetpulley::core
