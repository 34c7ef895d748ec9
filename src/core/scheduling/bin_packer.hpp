// Packing by run-time bins (paper 3.2.2, DESIGN): own bin by closest remaining time, then greater
// bins, then lesser bins, in each by most free room.
#pragma once

#include <functional>
#include <limits>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

class BinPacker {
 public:
  BinPacker(Seconds bin_unit, TimePoint now) : unit_(bin_unit), now_(now) {}

  // A machine that may take tasks in this round.
  void offer(Machine& machine);
  bool empty() const { return offers_.empty(); }
  // Tasks wait that need whole machines: work that fits elsewhere leaves empty ones alone.
  void keep_whole() { keep_whole_ = true; }

  // What the tasks of one job may choose from. They are alike, so one look at the fleet serves all.
  class Choices {
   public:
    // The best machine that still has room, or none.
    Machine* best();
    // Tells that a task was placed there, so that its bin and its image follow.
    void placed(Machine& machine);

   private:
    friend class BinPacker;
    struct Entry {
      std::size_t offer = 0;
      int image_rank = 0;
      int bin_order = 0;
      bool own_bin = false;
      bool expensive = false;
      bool breaks_whole = false;  // it is empty, and kept so while there is other room
    };
    Choices(BinPacker& packer, const JobSpec& spec, Seconds estimate);
    void place_in_order(Entry& entry) const;
    bool better(const Entry& a, const Entry& b) const;

    BinPacker& packer_;
    const JobSpec& spec_;
    Seconds estimate_;
    std::vector<Entry> entries_;
  };

  // `may_use` filters by place, kind and reservations. `min_rank`: how much of the image a
  // machine must hold at least (see image_rank).
  Choices choices(const JobSpec& spec, Seconds estimate,
                  const std::function<bool(const Machine&)>& may_use, int min_rank = 0);

  // A task was placed outside of any choices.
  void placed(Machine& machine);

  // How many machines were looked at, each time counted: what a round costs.
  std::uint64_t inspections() const { return inspections_; }

 private:
  struct Offer {
    Machine* machine;
    Seconds remaining;
    int bin;
  };
  bool expensive_per_cpu(const Machine& machine) const;
  void refresh(Offer& offer);

  Seconds unit_;
  TimePoint now_;
  double cheapest_per_cpu_ = std::numeric_limits<double>::infinity();
  bool keep_whole_ = false;
  std::vector<Offer> offers_;
  std::uint64_t inspections_ = 0;
};

// Free room as one figure, for "most free room" among machines of different types.
double free_capacity(const Machine& machine);

// What of a machine's image a task finds there: 0 nothing, 1 being fetched, 2 present.
int image_rank(const Machine& machine, const std::string& image);

}  // namespace violetpulley::core
