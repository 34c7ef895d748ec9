/// @file
/// Run time estimates of assignments, and changes of the machines' assignments and cached images.
#include "core/machines/fleet.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::core {

namespace {
void evict_images(Machine& machine) {
  auto& images = machine.images;
  double total_gb = 0;
  for (const auto& cached : images) total_gb += cached.gb;
  while (images.size() > 1 && total_gb > machine.cache_gb && machine.cache_gb > 0) {
    total_gb -= images.front().gb;
    images.erase(images.begin());
    machine.images_changed = true;
  }
}
}  // namespace

Seconds remaining_of(const Assignment& assignment, TimePoint now) {
  if (assignment.running_since)
    return remaining_run_time(assignment.estimate, now - *assignment.running_since);
  const Seconds since_placed = now - assignment.placed;
  return assignment.estimate + std::max(Seconds(0), assignment.fetch - since_placed);
}

Seconds unsaved_run_time(const Assignment& assignment, TimePoint now) {
  if (!assignment.running_since) return Seconds(0);
  const Seconds run_time = assignment.checkpointed + Seconds(now - *assignment.running_since);
  if (assignment.checkpoint_every <= Seconds(0)) return run_time;
  return Seconds(std::fmod(run_time.count(), assignment.checkpoint_every.count()));
}

bool worth_checkpointing(const Assignment& assignment, TimePoint now) {
  return assignment.checkpoint_every > Seconds(0) &&
         unsaved_run_time(assignment, now) > assignment.checkpoint_time;
}

Seconds cost_of_stop(const Assignment& assignment, TimePoint now) {
  return worth_checkpointing(assignment, now) ? assignment.checkpoint_time
                                              : unsaved_run_time(assignment, now);
}

Resources Machine::free_after_stops() const {
  auto resources = free();
  for (const auto& [key, assignment] : tasks)
    if (assignment.stop) resources += assignment.resources;
  return resources;
}

Seconds Machine::remaining(TimePoint now) const {
  Seconds longest{0};
  for (const auto& [key, assignment] : tasks)
    longest = std::max(longest, remaining_of(assignment, now));
  return longest;
}

Machine* Fleet::find(const MachineId& id) {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

const Machine* Fleet::find(const MachineId& id) const {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

Machine& Fleet::add(const MachineId& id) {
  auto& machine = machines_[id];
  machine.id = id;
  return machine;
}

void Fleet::erase(const MachineId& id) {
  if (const auto* machine = find(id)) before_change(*machine);
  machines_.erase(id);
}

void Fleet::assign(Machine& machine, const TaskKey& task, Assignment assignment) {
  before_change(machine);
  machine.used += assignment.resources;
  team_use_[assignment.team] += assignment.resources;
  machine.tasks.insert_or_assign(task, std::move(assignment));
}

void Fleet::unassign(Machine& machine, const TaskKey& task) {
  const auto found = machine.tasks.find(task);
  if (found == machine.tasks.end()) return;
  before_change(machine);
  machine.used -= found->second.resources;
  team_use_[found->second.team] -= found->second.resources;
  machine.tasks.erase(found);
  if (machine.tasks.empty()) machine.used = Resources{};
}

Resources Fleet::team_use(const std::string& team) const {
  const auto found = team_use_.find(team);
  return found == team_use_.end() ? Resources{} : found->second;
}

void Fleet::touch_image(Machine& machine, const std::string& image, double gb, bool present) {
  if (image.empty()) return;
  before_change(machine);
  auto& images = machine.images;
  const auto found = std::find_if(images.begin(), images.end(),
                                  [&](const CachedImage& cached) { return cached.name == image; });
  CachedImage entry{image, gb, present};
  if (found != images.end()) {
    entry.present = entry.present || found->present;
    if (found->present != entry.present) machine.images_changed = true;
    images.erase(found);
  } else if (present) {
    machine.images_changed = true;
  }
  images.push_back(entry);
  evict_images(machine);
}

}  // namespace violetpulley::core
