#include "core/machines/machine_registry.hpp"

namespace violetpulley::core {

namespace {
constexpr std::size_t kRemembered = 20'000;  // names: about two megabytes
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
  // A leader starts tasks only on machines whose record is committed with its endpoint: the
  // next leader must know every machine that it has to confirm.
  if (ok && with_endpoint) machine->registered = true;
  out_.want_placing();
}

void MachineRegistry::released(const MachineId& id) {
  out_.push_back(DeleteMachine{id});
  if (!released_.insert(id).second) return;
  released_order_.push_back(id);
  if (released_order_.size() <= kRemembered) return;
  released_.erase(released_order_.front());
  released_order_.pop_front();
}

}  // namespace violetpulley::core
