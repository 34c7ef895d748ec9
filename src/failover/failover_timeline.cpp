#include "failover/failover_timeline.hpp"

#include <spdlog/fmt/fmt.h>

namespace violetpulley::failover {

namespace {
// Names of the steps in the log record (docs/operations.md), in the order of `FailoverStep`.
constexpr std::array<const char*, kStepCount> kStepNames{
    "pages_read",   "jobs_read",     "proved",      "core_built", "first_order",
    "first_answer", "younger_start", "older_start", "reckoned"};
}  // namespace

std::string FailoverTimeline::text() const {
  std::string out;
  for (std::size_t step = 0; step < kStepCount; ++step) {
    if (!times_[step]) continue;
    const auto seconds = core::Seconds(*times_[step] - elected_at_).count();
    out += fmt::format("{}{}={:.3f}", out.empty() ? "" : " ", kStepNames[step], seconds);
  }
  return out;
}

}  // namespace violetpulley::failover
