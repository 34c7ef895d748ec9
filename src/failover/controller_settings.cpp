#include "failover/controller_settings.hpp"

namespace violetpulley::failover {

namespace {

// Share of the cloud's rate limit for requesting and returning machines; the rest is for listing
// machines and reading the catalog.
constexpr double kScalingShare = 0.8;

// Values of an objective's kind in the settings file.
constexpr const char* kCompletionKind = "finished";
constexpr const char* kTardinessKind = "deadline";

}  // namespace

core::ControllerSettings controller_settings(const config::Settings& settings,
                                             const core::Tuning& tuning, core::WallTime now,
                                             bool resigns_when_isolated) {
  core::ControllerSettings out{settings.teams,
                               settings.workers,
                               tuning,
                               settings.cloud_requests_per_s * kScalingShare,
                               settings.cloud_list_lag,
                               {},
                               {},
                               now,
                               resigns_when_isolated,
                               {settings.max_sockets, settings.nodes()}};
  for (const auto& objective : settings.objectives) {
    if (objective.kind == kCompletionKind)
      out.completion_objectives.push_back({objective.job_class, objective.within});
    if (objective.kind == kTardinessKind)
      out.tardiness_objectives.push_back({objective.job_class, objective.times});
  }
  return out;
}

}  // namespace violetpulley::failover
