// What can be rented now: types in zones and kinds, less those that were refused lately (paper 3.3;
// DESIGN, "Expected trouble"). Owns when each was asked for last and which ones rest.
#pragma once

#include "core/catalog.hpp"
#include "core/scaler.hpp"

namespace violetpulley::core {

class Market {
 public:
  explicit Market(const Catalog& catalog) : catalog_(catalog) {}

  // Those asked for longest ago come first.
  std::vector<RentalOption> options(TimePoint now) const;
  // Whether a machine for the job can be rented in the zone; any zone if empty.
  bool rentable(const JobSpec& spec, const std::string& region, TimePoint now) const;

  void asked(const OptionKey& option, TimePoint now) { last_rented_[option] = now; }
  TimePoint last_asked(const OptionKey& option) const {
    const auto found = last_rented_.find(option);
    return found == last_rented_.end() ? TimePoint{} : found->second;
  }
  // Refused: not asked for until then.
  void rest(const OptionKey& option, TimePoint until) { resting_[option] = until; }
  const std::map<OptionKey, TimePoint>& resting() const { return resting_; }

  template <class S, class F>
  static void fields(S& s, F&& f) {
    f(s.resting_, s.last_rented_);
  }

 private:
  const Catalog& catalog_;
  std::map<OptionKey, TimePoint> resting_;
  std::map<OptionKey, TimePoint> last_rented_;
};

}  // namespace violetpulley::core
