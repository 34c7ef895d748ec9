#include "failover/failover_timeline.hpp"

#include <spdlog/fmt/fmt.h>

namespace violetpulley::failover {

std::string FailoverTimeline::text() const {
  static constexpr std::array<const char*, kSteps> kNames{
      "pages_read",   "jobs_read",     "proved",      "core_built", "first_order",
      "first_answer", "younger_start", "older_start", "reckoned"};
  std::string out;
  for (std::size_t i = 0; i < kSteps; ++i)
    if (at_[i])
      out += fmt::format("{}{}={:.3f}", out.empty() ? "" : " ", kNames[i],
                         core::Seconds(*at_[i] - key_).count());
  return out;
}

}  // namespace violetpulley::failover
