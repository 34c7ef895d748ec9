#include "core/packer.hpp"

#include <algorithm>
#include <cmath>

namespace violetpulley::core {

namespace {
constexpr double kDearFactor = 1.8;
}  // namespace

double free_room(const Machine& machine) {
  const auto free = machine.free();
  return free.cpus + free.memory_gb * 0.01;
}

int image_rank(const Machine& machine, const std::string& image) {
  if (image.empty() || machine.has_image(image)) return 2;
  return machine.fetching_image(image) ? 1 : 0;
}

void Packer::offer(Machine& machine) {
  const auto remaining = machine.remaining(now_);
  offers_.push_back({&machine, remaining, bin_of(remaining, unit_)});
  if (machine.capacity.cpus > 0 && machine.price > 0)
    cheapest_per_cpu_ = std::min(cheapest_per_cpu_, machine.price / machine.capacity.cpus);
}

void Packer::placed(Machine& machine) {
  for (auto& offer : offers_)
    if (offer.machine == &machine) {
      offer.remaining = machine.remaining(now_);
      offer.bin = bin_of(offer.remaining, unit_);
    }
}

bool Packer::dear_per_cpu(const Machine& machine) const {
  return machine.capacity.cpus > 0 &&
         machine.price / machine.capacity.cpus > kDearFactor * cheapest_per_cpu_;
}

Machine* Packer::choose(const PackTask& task, const std::function<bool(const Machine&)>& may_use,
                        int least_rank) {
  // Exception to the design: machines that hold the image come before those that must fetch it,
  // since a fetch takes as long as much of the work (docs/design.md, "Images").
  for (int rank = 2; rank >= least_rank; --rank)
    if (auto* machine = choose_among(task, may_use, rank)) return machine;
  return nullptr;
}

Machine* Packer::choose_among(const PackTask& task,
                              const std::function<bool(const Machine&)>& may_use, int rank) {
  const int own = bin_of(task.estimate, unit_);
  // Order of bins: own, then greater (nearest first), then lesser (nearest first).
  const auto bin_order = [own](int bin) { return bin >= own ? bin - own : 1000 + (own - bin); };
  const Offer* best = nullptr;
  for (const auto& offer : offers_) {
    const auto& machine = *offer.machine;
    if (!task.spec->per_task.fits_in(machine.free()) ||
        image_rank(machine, task.spec->image) != rank || !may_use(machine))
      continue;
    if (best == nullptr) {
      best = &offer;
      continue;
    }
    const int order = bin_order(offer.bin);
    const int best_order = bin_order(best->bin);
    // Exception to the design: dear machines come after all cheaper ones, so that they run empty
    // and are returned first (docs/design.md, "Dear machines last").
    const bool dear = dear_per_cpu(machine);
    if (dear != dear_per_cpu(*best->machine)) {
      if (!dear) best = &offer;
      continue;
    }
    if (order != best_order) {
      if (order < best_order) best = &offer;
      continue;
    }
    const bool better = offer.bin == own ? std::abs((offer.remaining - task.estimate).count()) <
                                               std::abs((best->remaining - task.estimate).count())
                                         : free_room(machine) > free_room(*best->machine);
    if (better) best = &offer;
  }
  return best == nullptr ? nullptr : best->machine;
}

}  // namespace violetpulley::core
