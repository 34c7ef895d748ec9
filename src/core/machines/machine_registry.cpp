/// @file
/// Requests writes of machine records and handles their results.
#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

namespace {
constexpr std::size_t kMaxReleasedMachines = 20'000;  // ids that take about 2 MB of memory
}  // namespace

void MachineRegistry::save(Machine& machine) {
  MachineRecord record{machine.id, machine.endpoint, machine.type, machine.zone, machine.spot, {}};
  for (const auto& image : machine.images)
    if (image.present) record.images.push_back({image.name, image.gb});
  fleet_.before_change(machine);
  machine.images_changed = false;
  machine.registering = machine.up();
  out_.push_back(SaveMachine{std::move(record), machine.registered});
}

void MachineRegistry::saved(const MachineId& id, bool with_endpoint, bool ok) {
  auto* machine = fleet_.find(id);
  if (machine == nullptr) {
    if (ok) out_.push_back(DeleteMachine{id});
    return;
  }
  fleet_.before_change(*machine);
  if (with_endpoint) machine->registering = false;
  // Tasks start only on machines whose record is committed with the endpoint, because the next
  // leader must know every machine that may run tasks and has to be confirmed.
  if (ok && with_endpoint) machine->registered = true;
  out_.request_scheduling_round();
}

void MachineRegistry::released(const MachineId& id) {
  out_.push_back(DeleteMachine{id});
  if (!released_.insert(id).second) return;
  released_order_.push_back(id);
  if (released_order_.size() <= kMaxReleasedMachines) return;
  released_.erase(released_order_.front());
  released_order_.pop_front();
}

}  // namespace violetpulley::core
