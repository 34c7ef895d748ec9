/// @file
/// Packing by run-time bins (paper 3.2.2, DESIGN): a task goes to its own bin by closest remaining
/// time, then to greater bins, then to lesser bins, in each by most free capacity. Owns the
/// machines of one scheduling round with their bins.
#pragma once

#include <functional>
#include <limits>

#include "core/machines/fleet.hpp"

namespace violetpulley::core {

/// How much of an image a machine holds.
enum class ImageRank { absent, fetching, present };

/// A job without an image finds it present everywhere.
ImageRank image_rank(const Machine& machine, const std::string& image);

/// Chooses machines for the tasks of one scheduling round.
class BinPacker {
 public:
  BinPacker(Seconds bin_unit, TimePoint now) : bin_unit_(bin_unit), now_(now) {}

  /// Adds a machine that may take tasks in this round.
  void add_machine(Machine& machine);
  bool empty() const { return machines_.empty(); }
  /// Tasks wait that need whole machines: work that fits elsewhere leaves empty machines alone.
  void preserve_empty_machines() { preserve_empty_machines_ = true; }

  /// What the tasks of one job may choose from. The tasks are alike, so one pass over the machines
  /// serves them all.
  class Choices {
   public:
    /// The best machine that still has free capacity for a task; null if there is none.
    Machine* best();
    /// A task was placed on the machine: its bin and its image rank follow.
    void task_placed(Machine& machine);

   private:
    friend class BinPacker;
    struct Entry {
      /// Index into `BinPacker::machines_`.
      std::size_t index = 0;
      ImageRank image_rank = ImageRank::absent;
      /// Position of the machine's bin among all bins; lower is better.
      int bin_order = 0;
      bool own_bin = false;
      bool expensive = false;
      /// The machine is empty, and kept so while other machines have free capacity.
      bool takes_empty_machine = false;
    };
    Choices(BinPacker& packer, const JobSpec& spec, Seconds estimate);
    void set_bin_order(Entry& entry) const;
    bool has_capacity(const Entry& entry) const;
    bool is_better(const Entry& a, const Entry& b) const;

    BinPacker& packer_;
    const JobSpec& spec_;
    Seconds estimate_;
    std::vector<Entry> entries_;
  };

  /// The machines that a job's tasks may choose from. `may_use` filters by zone, type and
  /// reservations; `min_image_rank` is the least that a machine must hold of the image.
  Choices choices(const JobSpec& spec, Seconds estimate,
                  const std::function<bool(const Machine&)>& may_use,
                  ImageRank min_image_rank = ImageRank::absent);

  /// A task was placed on the machine outside of any choices.
  void task_placed(Machine& machine);

  /// Machines examined, each time counted: what a round costs.
  std::uint64_t inspections() const { return inspections_; }

 private:
  struct BinnedMachine {
    Machine* machine;
    Seconds remaining;
    int bin;
  };
  bool is_expensive_per_cpu(const Machine& machine) const;
  void update_bin(BinnedMachine& binned);

  Seconds bin_unit_;
  TimePoint now_;
  double cheapest_per_cpu_ = std::numeric_limits<double>::infinity();
  bool preserve_empty_machines_ = false;
  std::vector<BinnedMachine> machines_;
  std::uint64_t inspections_ = 0;
};

}  // namespace violetpulley::core
