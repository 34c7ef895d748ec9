#include "failover/controller_settings.hpp"

namespace violetpulley::failover {

namespace {
constexpr double kCloudCalls = 0.8;  // of the limit; the rest is for the list and the catalog
}  // namespace

core::ControllerSettings controller_settings(const config::Settings& settings,
                                             const core::Tuning& tuning, core::WallTime now,
                                             bool resigns_when_isolated) {
  core::ControllerSettings out{settings.teams,
                               settings.workers,
                               tuning,
                               settings.cloud_requests_per_s * kCloudCalls,
                               settings.cloud_list_lag,
                               {},
                               {},
                               now,
                               resigns_when_isolated,
                               {settings.max_sockets, settings.nodes()}};
  for (const auto& objective : settings.objectives) {
    if (objective.kind == "finished")
      out.completion_objectives.push_back({objective.job_class, objective.within});
    if (objective.kind == "deadline")
      out.tardiness_objectives.push_back({objective.job_class, objective.times});
  }
  return out;
}

}  // namespace violetpulley::failover
