/// @file
/// Instance offerings that can be requested now: each machine type in each zone, spot or on demand,
/// except those that the cloud has recently refused (paper 3.3; DESIGN, "Expected trouble"). Owns
/// the time of the last request for each offering, and the cooldowns.
#pragma once

#include "core/autoscaling/scaler.hpp"
#include "core/model/catalog.hpp"

namespace violetpulley::core {

/// The offerings of the catalog, with their cooldowns.
class InstanceOfferings {
 public:
  explicit InstanceOfferings(const Catalog& catalog) : catalog_(catalog) {}

  /// All offerings that have a price and are not in a cooldown, least recently requested first.
  std::vector<InstanceOffering> available(TimePoint now) const;
  /// Whether a machine for the job can be requested in the zone; in any zone if `zone` is empty.
  bool can_scale_out(const JobSpec& spec, const std::string& zone, TimePoint now) const;

  void record_request(const OfferingKey& offering, TimePoint now) {
    last_requested_[offering] = now;
  }
  /// Time of the last request; the epoch of the clock if the offering was never requested.
  TimePoint last_requested(const OfferingKey& offering) const {
    const auto found = last_requested_.find(offering);
    return found == last_requested_.end() ? TimePoint{} : found->second;
  }
  /// Excludes an offering that the cloud has refused until `until`.
  void start_cooldown(const OfferingKey& offering, TimePoint until) {
    cooldowns_[offering] = until;
  }
  /// The end of the last cooldown of each offering, which may have passed.
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
