#include "core/scheduling/bin_packer.hpp"

#include <algorithm>
#include <cmath>

#include "core/model/price_rules.hpp"

namespace violetpulley::core {

namespace {

/// Weight of 1 GB of free memory in CPUs. Small, so that memory only decides between machines with
/// equally many free CPUs.
constexpr double kCpusPerFreeGb = 0.01;

/// Added to the position of lesser bins, which come after all greater ones. Exceeds the number of
/// any bin.
constexpr int kLesserBinsOffset = 1000;

/// Free capacity as one number, to compare machines of different types.
double free_capacity(const Machine& machine) {
  const auto free = machine.free();
  return free.cpus + free.memory_gb * kCpusPerFreeGb;
}

}  // namespace

ImageRank image_rank(const Machine& machine, const std::string& image) {
  if (image.empty()) return ImageRank::present;
  for (const auto& cached : machine.images)
    if (cached.name == image) return cached.present ? ImageRank::present : ImageRank::fetching;
  return ImageRank::absent;
}

void BinPacker::update_bin(BinnedMachine& binned) {
  binned.remaining = binned.machine->remaining(now_);
  binned.bin = bin_of(binned.remaining, bin_unit_);
}

void BinPacker::add_machine(Machine& machine) {
  machines_.push_back({&machine, {}, 0});
  update_bin(machines_.back());
  if (machine.capacity.cpus > 0 && machine.price > 0)
    cheapest_per_cpu_ = std::min(cheapest_per_cpu_, machine.price / machine.capacity.cpus);
}

void BinPacker::task_placed(Machine& machine) {
  for (auto& binned : machines_)
    if (binned.machine == &machine) update_bin(binned);
}

bool BinPacker::is_expensive_per_cpu(const Machine& machine) const {
  return machine.capacity.cpus > 0 &&
         is_expensive(machine.price / machine.capacity.cpus, cheapest_per_cpu_);
}

BinPacker::Choices BinPacker::choices(const JobSpec& spec, Seconds estimate,
                                      const std::function<bool(const Machine&)>& may_use,
                                      ImageRank min_image_rank) {
  Choices choices(*this, spec, estimate);
  inspections_ += machines_.size();
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    const auto& machine = *machines_[index].machine;
    if (!spec.per_task.fits_in(machine.free())) continue;
    const auto rank = image_rank(machine, spec.image);
    if (rank < min_image_rank || !may_use(machine)) continue;
    Choices::Entry entry;
    entry.machine_index = index;
    entry.image_rank = rank;
    entry.expensive = is_expensive_per_cpu(machine);
    entry.takes_empty_machine = preserve_empty_machines_ && !machine.spot && machine.tasks.empty();
    choices.set_bin_order(entry);
    choices.entries_.push_back(entry);
  }
  return choices;
}

BinPacker::Choices::Choices(BinPacker& packer, const JobSpec& spec, Seconds estimate)
    : packer_(packer), spec_(spec), estimate_(estimate) {}

// Order of bins: the task's own, then greater ones (nearest first), then lesser ones (nearest
// first).
void BinPacker::Choices::set_bin_order(Entry& entry) const {
  const int own = bin_of(estimate_, packer_.bin_unit_);
  const int bin = packer_.machines_[entry.machine_index].bin;
  entry.own_bin = bin == own;
  entry.bin_order = bin >= own ? bin - own : kLesserBinsOffset + (own - bin);
}

bool BinPacker::Choices::has_capacity(const Entry& entry) const {
  return spec_.per_task.fits_in(packer_.machines_[entry.machine_index].machine->free());
}

bool BinPacker::Choices::is_better(const Entry& a, const Entry& b) const {
  // Exception to the design: machines that hold the image come before machines that must fetch it,
  // since a fetch often takes as long as a large part of the task (docs/design.md, "Images").
  if (a.image_rank != b.image_rank) return a.image_rank > b.image_rank;
  // Exception to the design: expensive machines come after all cheaper ones, so that they become
  // empty and are returned to the cloud first (docs/design.md, "Expensive machines last").
  if (a.expensive != b.expensive) return b.expensive;
  // Exception to the design: choosing the machine with the most free capacity would spread small
  // tasks over all machines and leave none for a gang whose tasks need whole machines
  // (docs/design.md, "Gangs").
  if (a.takes_empty_machine != b.takes_empty_machine) return b.takes_empty_machine;
  if (a.bin_order != b.bin_order) return a.bin_order < b.bin_order;
  const auto& a_machine = packer_.machines_[a.machine_index];
  const auto& b_machine = packer_.machines_[b.machine_index];
  if (a.own_bin)
    return std::abs((a_machine.remaining - estimate_).count()) <
           std::abs((b_machine.remaining - estimate_).count());
  return free_capacity(*a_machine.machine) > free_capacity(*b_machine.machine);
}

Machine* BinPacker::Choices::best() {
  packer_.inspections_ += entries_.size();
  constexpr auto kNone = std::numeric_limits<std::size_t>::max();
  auto best = kNone;
  for (std::size_t index = 0; index < entries_.size();) {
    if (!has_capacity(entries_[index])) {
      entries_[index] = entries_.back();
      entries_.pop_back();
      continue;
    }
    if (best == kNone || is_better(entries_[index], entries_[best])) best = index;
    ++index;
  }
  return best == kNone ? nullptr : packer_.machines_[entries_[best].machine_index].machine;
}

void BinPacker::Choices::task_placed(Machine& machine) {
  for (auto& entry : entries_) {
    auto& binned = packer_.machines_[entry.machine_index];
    if (binned.machine != &machine) continue;
    packer_.update_bin(binned);
    entry.image_rank = image_rank(machine, spec_.image);
    entry.takes_empty_machine = false;
    set_bin_order(entry);
  }
}

}  // namespace violetpulley::core
