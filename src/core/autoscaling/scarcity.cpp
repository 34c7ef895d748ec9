#include "core/autoscaling/scarcity.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {
constexpr std::chrono::minutes kExclusiveDemandMemory{5};
constexpr std::size_t kTasksPerPlaceIfScarce = 8;
}  // namespace

void Scarcity::note_exclusive_types(TimePoint now) {
  if (catalog_.types().size() > 1)
    for (const auto& [id, job] : jobs_) {
      const auto fits = [&](const auto& entry) {
        return job.spec().per_task.fits_in(entry.second.capacity);
      };
      const auto fitting = std::count_if(catalog_.types().begin(), catalog_.types().end(), fits);
      if (fitting == 0 || static_cast<std::size_t>(fitting) == catalog_.types().size()) continue;
      for (const auto& entry : catalog_.types())
        if (fits(entry)) exclusive_types_[entry.first] = now;
    }
  std::erase_if(exclusive_types_,
                [&](const auto& entry) { return now - entry.second > kExclusiveDemandMemory; });
}

bool Scarcity::reserved_for_others(const JobSpec& spec, const std::string& type) const {
  if (!exclusive_types_.contains(type)) return false;
  return std::any_of(catalog_.types().begin(), catalog_.types().end(), [&](const auto& entry) {
    return !exclusive_types_.contains(entry.first) &&
           spec.per_task.fits_in(entry.second.capacity) &&
           (spec.types.empty() ||
            std::find(spec.types.begin(), spec.types.end(), entry.first) != spec.types.end());
  });
}

std::vector<std::string> Scarcity::types_for_others(const JobSpec& spec) const {
  std::vector<std::string> types;
  for (const auto& [name, since] : exclusive_types_)
    if (reserved_for_others(spec, name)) types.push_back(name);
  return types;
}

void Scarcity::note_jobs() {
  ordinary_work_ = false;
  gangs_ = false;
  for (const auto& [id, job] : jobs_) {
    ordinary_work_ = ordinary_work_ || !job.spec().spot_allowed;
    gangs_ = gangs_ || job.gang();
  }
}

void Scarcity::note_places(std::size_t waiting, std::size_t places) {
  scarce_ = waiting > kTasksPerPlaceIfScarce * places;
}

}  // namespace violetpulley::core
