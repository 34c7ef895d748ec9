// Packing by run-time bins (paper 3.2.2, DESIGN): own bin by closest remaining time, then greater
// bins, then lesser bins, in each by most free room.
#pragma once

#include <functional>
#include <limits>

#include "core/fleet.hpp"

namespace violetpulley::core {

struct PackTask {
  const JobSpec* spec = nullptr;
  Seconds estimate{0};
};

class Packer {
 public:
  Packer(Seconds bin_unit, TimePoint now) : unit_(bin_unit), now_(now) {}

  // The machines that may take tasks in this round.
  void offer(Machine& machine);

  // The machine for the task, or none. `may_use` filters by place, kind and reservations.
  // `least_rank`: how much of the image the machine must hold at least (see image_rank).
  Machine* choose(const PackTask& task, const std::function<bool(const Machine&)>& may_use,
                  int least_rank = 0);

  // Tells that the task was placed, so that the machine's bin follows.
  void placed(Machine& machine);

 private:
  struct Offer {
    Machine* machine;
    Seconds remaining;
    int bin;
  };
  Machine* choose_among(const PackTask& task, const std::function<bool(const Machine&)>& may_use,
                        int image_rank);

  bool dear_per_cpu(const Machine& machine) const;

  Seconds unit_;
  TimePoint now_;
  double cheapest_per_cpu_ = std::numeric_limits<double>::infinity();
  std::vector<Offer> offers_;
};

// Free room as one figure, for "most free room" among machines of different types.
double free_room(const Machine& machine);

// What of a machine's image a task finds there: 0 nothing, 1 being fetched, 2 present.
int image_rank(const Machine& machine, const std::string& image);

}  // namespace violetpulley::core
