#include "core/autoscaling/scarcity.hpp"

#include <algorithm>

namespace violetpulley::core {

namespace {

/// Time for which a type stays exclusive after the last job that needed it.
constexpr std::chrono::minutes kExclusiveDemandRetention{5};
/// Free slots count as scarce if more waiting tasks than this compete for each slot.
constexpr std::size_t kMaxTasksPerSlot = 8;

bool lists_type(const JobSpec& spec, const std::string& type) {
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

}  // namespace

void Scarcity::update_exclusive_types(TimePoint now) {
  if (catalog_.types().size() > 1)
    for (const auto& [id, job] : jobs_) add_exclusive_types(job.spec(), now);
  std::erase_if(exclusive_types_,
                [&](const auto& entry) { return now - entry.second > kExclusiveDemandRetention; });
}

void Scarcity::add_exclusive_types(const JobSpec& spec, TimePoint now) {
  const auto& types = catalog_.types();
  const auto fits = [&](const auto& entry) { return spec.per_task.fits_in(entry.second.capacity); };
  const auto fitting = static_cast<std::size_t>(std::count_if(types.begin(), types.end(), fits));
  if (fitting == 0 || fitting == types.size()) return;
  for (const auto& entry : types)
    if (fits(entry)) exclusive_types_[entry.first] = now;
}

bool Scarcity::reserved_for_others(const JobSpec& spec, const std::string& type) const {
  if (!exclusive_types_.contains(type)) return false;
  const auto& types = catalog_.types();
  return std::any_of(types.begin(), types.end(), [&](const auto& entry) {
    return !exclusive_types_.contains(entry.first) &&
           spec.per_task.fits_in(entry.second.capacity) && lists_type(spec, entry.first);
  });
}

std::vector<std::string> Scarcity::types_reserved_for_others(const JobSpec& spec) const {
  std::vector<std::string> types;
  for (const auto& [type, last_needed] : exclusive_types_)
    if (reserved_for_others(spec, type)) types.push_back(type);
  return types;
}

void Scarcity::update_job_kinds() {
  has_on_demand_only_jobs_ = false;
  has_gangs_ = false;
  for (const auto& [id, job] : jobs_) {
    has_on_demand_only_jobs_ = has_on_demand_only_jobs_ || !job.spec().spot_allowed;
    has_gangs_ = has_gangs_ || job.gang();
  }
}

void Scarcity::update_slot_scarcity(std::size_t waiting, std::size_t slots) {
  slots_scarce_ = waiting > kMaxTasksPerSlot * slots;
}

}  // namespace violetpulley::core
