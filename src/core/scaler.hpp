// Chooses machine types jointly with task groups (paper 3.3): the groups are the first i longest
// leftovers, the score is the normalized used constraining resource over the price.
#pragma once

#include <functional>

#include "core/types.hpp"

namespace violetpulley::core {

struct ScalerTask {
  TaskKey key;
  const JobSpec* spec = nullptr;
  Seconds estimate{0};
};

struct RentalOption {
  const MachineType* type = nullptr;
  std::string zone;
  bool spot = false;
  double price = 0;
};

struct RentalChoice {
  RentalOption option;
  std::vector<std::size_t> group;  // indices into the leftovers
  double score = 0;
};

// Whether a task may run on what the option rents.
bool allowed_on(const JobSpec& spec, const std::string& type, const std::string& zone, bool spot);

double rental_score(const Resources& used, const MachineType& type, double price,
                    const Resources& smallest);

// Further reasons not to rent an option for a task.
using MayRent = std::function<bool(const JobSpec&, const RentalOption&)>;

// The best pair of group and option, or none. `leftovers` are sorted by falling estimate.
std::optional<RentalChoice> choose_rental(
    const std::vector<ScalerTask>& leftovers, const std::vector<RentalOption>& options,
    const MayRent& may_rent = [](const JobSpec&, const RentalOption&) { return true; });

}  // namespace violetpulley::core
