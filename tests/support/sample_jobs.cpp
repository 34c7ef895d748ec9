#include "support/sample_jobs.hpp"

#include <utility>

namespace violetpulley::core {

JobSpec make_spec(double cpus, double memory_gb, Seconds estimate, std::string image) {
  JobSpec spec;
  spec.id = JobId("req-1");
  spec.team = std::string("t");
  spec.tasks = 1;
  spec.per_task = {cpus, 0, memory_gb};
  spec.image = std::move(image);
  spec.estimate = estimate;
  spec.spot_allowed = true;
  return spec;
}

Machine& add_machine(Fleet& fleet, const MachineId& id, double cpus, Seconds remaining,
                     bool has_image) {
  auto& machine = fleet.add(id);
  machine.capacity = {cpus, 0, cpus * 8};
  machine.cache_gb = 100;
  if (has_image) machine.images.push_back({"i", 1, true});
  if (remaining > Seconds(0)) {
    Assignment assignment;
    assignment.resources = {1, 0, 1};
    assignment.estimate = remaining;
    assignment.running_since = kNow;
    fleet.assign(machine, {"req-9" + id, 0}, assignment);
  }
  return machine;
}

}  // namespace violetpulley::core
