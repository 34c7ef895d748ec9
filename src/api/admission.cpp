#include "api/admission.hpp"

#include <algorithm>

namespace violetpulley::api {

namespace {

template <typename Value>
bool contains(const std::vector<Value>& values, const Value& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// The tasks of gangs and services run at the same time; those of an array may run one by one.
bool runs_together(const core::JobSpec& spec) { return spec.shape != core::Shape::array; }

bool exceeds_limit(const core::JobSpec& spec, const core::Team& team) {
  const auto needed = spec.per_task * (runs_together(spec) ? static_cast<double>(spec.tasks) : 1.0);
  return (team.max_cpus > 0 && needed.cpus > team.max_cpus + core::Resources::kRoundingTolerance) ||
         (team.max_gpus > 0 && needed.gpus > team.max_gpus + core::Resources::kRoundingTolerance);
}

bool fits(const core::JobSpec& spec, const core::MachineType& type) {
  const bool type_allowed = spec.types.empty() || contains(spec.types, type.name);
  const bool in_zone = !spec.zone || contains(type.zones, *spec.zone);
  return type_allowed && in_zone && spec.per_task.fits_in(type.capacity);
}

}  // namespace

std::optional<std::string> refusal_reason(const core::JobSpec& spec,
                                          const std::vector<core::Team>& teams,
                                          const std::vector<core::MachineType>& types,
                                          const std::vector<std::string>& zones) {
  const auto team = std::find_if(teams.begin(), teams.end(),
                                 [&](const core::Team& t) { return t.name == spec.team; });
  if (team == teams.end()) return "unknown team " + spec.team;
  if (exceeds_limit(spec, *team))
    return (runs_together(spec) ? "the job needs" : "a task needs") +
           std::string(" more than the limit of team ") + spec.team;
  if (spec.zone && !contains(zones, *spec.zone)) return "unknown zone " + *spec.zone;
  if (!std::any_of(types.begin(), types.end(),
                   [&](const core::MachineType& type) { return fits(spec, type); }))
    return "a task fits no machine type that the job allows";
  // `spread` allows at most half of the tasks, rounded up, in one zone. For one task that is the
  // whole job, so it may also ask for the same zone.
  if (spec.same_zone && spec.spread && spec.tasks > 1)
    return "same_place and spread contradict each other";
  return std::nullopt;
}

}  // namespace violetpulley::api
