#include "leader/summary_log.hpp"

#include <spdlog/spdlog.h>

namespace violetpulley {

namespace {

constexpr std::chrono::seconds kSummaryInterval{5};
constexpr std::uint64_t kSummariesPerCostLine = 6;

}  // namespace

void SummaryLog::log_due(const core::Controller& controller, core::TimePoint now) {
  if (now - last_summary_ <= kSummaryInterval) return;
  last_summary_ = now;
  spdlog::info("{}", controller.summary());
  cost_breakdown_.sample(controller.fleet(), now);
  if (++summaries_ % kSummariesPerCostLine == 0) spdlog::info("{}", cost_breakdown_.text());
}

}  // namespace violetpulley
