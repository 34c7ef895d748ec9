/// @file
/// Requests and results of writes of machine records.
#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

namespace {
constexpr std::size_t kMaxReleasedMachines = 20'000;  // ids, about two megabytes
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
  // A leader starts tasks only on machines whose record is committed with the endpoint: the next
  // leader must know every machine that it has to wait for.
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
