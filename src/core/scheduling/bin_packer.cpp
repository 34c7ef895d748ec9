#include "core/scheduling/bin_packer.hpp"

#include <algorithm>
#include <cmath>

#include "core/model/price_rules.hpp"

namespace violetpulley::core {

double free_capacity(const Machine& machine) {
  const auto free = machine.free();
  return free.cpus + free.memory_gb * 0.01;
}

int image_rank(const Machine& machine, const std::string& image) {
  if (image.empty()) return 2;
  for (const auto& cached : machine.images)
    if (cached.name == image) return cached.present ? 2 : 1;
  return 0;
}

void BinPacker::refresh(Offer& offer) {
  offer.remaining = offer.machine->remaining(now_);
  offer.bin = bin_of(offer.remaining, unit_);
}

void BinPacker::offer(Machine& machine) {
  offers_.push_back({&machine, {}, 0});
  refresh(offers_.back());
  if (machine.capacity.cpus > 0 && machine.price > 0)
    cheapest_per_cpu_ = std::min(cheapest_per_cpu_, machine.price / machine.capacity.cpus);
}

void BinPacker::placed(Machine& machine) {
  for (auto& offer : offers_)
    if (offer.machine == &machine) refresh(offer);
}

bool BinPacker::expensive_per_cpu(const Machine& machine) const {
  return machine.capacity.cpus > 0 &&
         is_expensive(machine.price / machine.capacity.cpus, cheapest_per_cpu_);
}

BinPacker::Choices::Choices(BinPacker& packer, const JobSpec& spec, Seconds estimate)
    : packer_(packer), spec_(spec), estimate_(estimate) {}

BinPacker::Choices BinPacker::choices(const JobSpec& spec, Seconds estimate,
                                      const std::function<bool(const Machine&)>& may_use,
                                      int min_rank) {
  Choices out(*this, spec, estimate);
  inspections_ += offers_.size();
  for (std::size_t i = 0; i < offers_.size(); ++i) {
    const auto& machine = *offers_[i].machine;
    if (!spec.per_task.fits_in(machine.free())) continue;
    const int rank = image_rank(machine, spec.image);
    if (rank < min_rank || !may_use(machine)) continue;
    Choices::Entry entry;
    entry.offer = i;
    entry.image_rank = rank;
    entry.expensive = expensive_per_cpu(machine);
    entry.breaks_whole = keep_whole_ && !machine.spot && machine.tasks.empty();
    out.place_in_order(entry);
    out.entries_.push_back(entry);
  }
  return out;
}

// Order of bins: own, then greater (nearest first), then lesser (nearest first).
void BinPacker::Choices::place_in_order(Entry& entry) const {
  const int own = bin_of(estimate_, packer_.unit_);
  const int bin = packer_.offers_[entry.offer].bin;
  entry.own_bin = bin == own;
  entry.bin_order = bin >= own ? bin - own : 1000 + (own - bin);
}

bool BinPacker::Choices::better(const Entry& a, const Entry& b) const {
  // Exception to the design: machines that hold the image come before those that must fetch it,
  // since a fetch takes as long as much of the work (docs/design.md, "Images").
  if (a.image_rank != b.image_rank) return a.image_rank > b.image_rank;
  // Exception to the design: dear machines come after all cheaper ones, so that they run empty
  // and are returned first (docs/design.md, "Dear machines last").
  if (a.expensive != b.expensive) return b.expensive;
  // Exception to the design: most free room would spread small tasks over all machines and leave
  // none to a gang whose tasks need whole ones (docs/design.md, "Gangs").
  if (a.breaks_whole != b.breaks_whole) return b.breaks_whole;
  if (a.bin_order != b.bin_order) return a.bin_order < b.bin_order;
  const auto& x = packer_.offers_[a.offer];
  const auto& y = packer_.offers_[b.offer];
  if (a.own_bin)
    return std::abs((x.remaining - estimate_).count()) <
           std::abs((y.remaining - estimate_).count());
  return free_capacity(*x.machine) > free_capacity(*y.machine);
}

Machine* BinPacker::Choices::best() {
  packer_.inspections_ += entries_.size();
  constexpr auto kNone = std::numeric_limits<std::size_t>::max();
  auto best = kNone;
  for (std::size_t i = 0; i < entries_.size();) {
    if (!spec_.per_task.fits_in(packer_.offers_[entries_[i].offer].machine->free())) {
      entries_[i] = entries_.back();  // full by now
      entries_.pop_back();
      continue;
    }
    if (best == kNone || better(entries_[i], entries_[best])) best = i;
    ++i;
  }
  return best == kNone ? nullptr : packer_.offers_[entries_[best].offer].machine;
}

void BinPacker::Choices::placed(Machine& machine) {
  for (auto& entry : entries_) {
    auto& offer = packer_.offers_[entry.offer];
    if (offer.machine != &machine) continue;
    packer_.refresh(offer);
    entry.image_rank = image_rank(machine, spec_.image);
    entry.breaks_whole = false;
    place_in_order(entry);
  }
}

}  // namespace violetpulley::core
